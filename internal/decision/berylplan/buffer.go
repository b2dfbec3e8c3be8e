package berylplan

import (
	"math"
	"time"
)

// failureConfidence is the share of time in which the spare for random failures must suffice.
const failureConfidence = 0.999

// PoolLoad is the demand on a pool in slots.
type PoolLoad struct {
	Pool string
	// Mean is the number of slots busy on average.
	Mean float64
	// Burst is the number of slots busy while the pool's queue bursts.
	Burst float64
}

// BufferInput is what buffer sizes depend on.
type BufferInput struct {
	Loads            []PoolLoad
	SlotsPerInstance int
	FailuresPerDay   float64
	RepairTime       time.Duration
	// LargestRack and LargestDataCentre are the instances that fail together.
	LargestRack       int
	LargestDataCentre int
}

// Buffer is the number of instances that a fleet needs, and what for.
type Buffer struct {
	// Base carries the mean load of every pool.
	Base int
	// Burst carries the largest burst; bursts come in turn, so that the pools share it.
	Burst int
	// BurstUnshared is what the bursts would need if each pool held its own buffer.
	BurstUnshared int
	// Random, Rack and DataCentre are the instances lost by independent failures, a rack and a data centre.
	Random     int
	Rack       int
	DataCentre int
}

// Failure returns the spare for failures: a rack or a data centre lost on its own, or independent failures.
func (b Buffer) Failure() int { return max(b.Random, b.Rack, b.DataCentre) }

// Spare returns the instances needed beyond the mean load.
func (b Buffer) Spare() int { return b.Burst + b.Failure() }

// Total returns the instances needed in all.
func (b Buffer) Total() int { return b.Base + b.Spare() }

// PlanBuffer returns the instances that a fleet needs.
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

// concurrentFailures returns the smallest number that independent failures with the given mean exceed too rarely to
// matter, by the Poisson distribution.
func concurrentFailures(mean float64) int {
	if mean <= 0 {
		return 0
	}
	term := math.Exp(-mean)
	sum, n := term, 0
	// The sum may stay below the bound by rounding; terms that no longer add anything end the loop.
	for sum < failureConfidence && term > 0 {
		n++
		term *= mean / float64(n)
		sum += term
	}
	return n
}
