package berylplan

import (
	"math"
	"time"
)

// failureConfidence is the fraction of time during which the instances set aside for independent failures must suffice.
const failureConfidence = 0.999

// PoolLoad is the demand on a pool, in slots.
type PoolLoad struct {
	Pool string
	// Mean is the number of slots busy on average.
	Mean float64
	// Burst is the number of slots busy during a burst.
	Burst float64
}

// BufferInput holds the values from which PlanBuffer computes a Buffer.
type BufferInput struct {
	Loads            []PoolLoad
	SlotsPerInstance int
	FailuresPerDay   float64
	RepairTime       time.Duration
	// LargestRack and LargestDataCentre are the largest numbers of instances that fail together with a rack or a data
	// centre.
	LargestRack       int
	LargestDataCentre int
}

// Buffer is the number of instances that a fleet needs, by purpose.
type Buffer struct {
	// Base is the number of instances for the mean load of all pools.
	Base int
	// Burst is the number of additional instances for the largest burst. Bursts of different pools are assumed not to
	// coincide, so all pools share these instances.
	Burst int
	// BurstUnshared is the number of additional instances for bursts if each pool had its own.
	BurstUnshared int
	// Random, Rack and DataCentre are the numbers of instances lost at the same time by independent failures, by the
	// failure of a rack and by that of a data centre.
	Random     int
	Rack       int
	DataCentre int
}

// Failure returns the number of instances set aside for failures: the largest of the three kinds, since they are assumed
// not to coincide.
func (b Buffer) Failure() int { return max(b.Random, b.Rack, b.DataCentre) }

// Spare returns the number of instances needed in addition to those for the mean load.
func (b Buffer) Spare() int { return b.Burst + b.Failure() }

// Total returns the number of instances needed in total.
func (b Buffer) Total() int { return b.Base + b.Spare() }

// PlanBuffer computes the number of instances that a fleet needs.
func PlanBuffer(in BufferInput) Buffer {
	b := Buffer{Rack: in.LargestRack, DataCentre: in.LargestDataCentre}
	for _, l := range in.Loads {
		mean := instancesFor(l.Mean, in.SlotsPerInstance)
		extra := max(0, instancesFor(l.Burst, in.SlotsPerInstance)-mean)
		b.Base += mean
		b.Burst = max(b.Burst, extra)
		b.BurstUnshared += extra
	}
	b.Random = concurrentFailures(in.FailuresPerDay * in.RepairTime.Hours() / 24)
	return b
}

func instancesFor(slots float64, perInstance int) int {
	return int(math.Ceil(slots / float64(max(1, perInstance))))
}

// concurrentFailures returns the smallest n such that at most n instances are down at the same time with probability
// failureConfidence, if the number of instances down has a Poisson distribution with the given mean.
func concurrentFailures(mean float64) int {
	if mean <= 0 {
		return 0
	}
	term := math.Exp(-mean)
	sum, n := term, 0
	// Rounding can keep the sum below failureConfidence; the loop then ends when the terms underflow to 0.
	for sum < failureConfidence && term > 0 {
		n++
		term *= mean / float64(n)
		sum += term
	}
	return n
}
