package berylmeasure

import (
	"math"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylshare"
)

const (
	// shareSamples is the number of samples in a window. A single sample is too coarse for a share of a few slots.
	shareSamples = 5
	// minShare is the smallest share, in slots, that is compared. It leaves out teams with hardly any demand.
	minShare = 1.0
)

// shareWindow holds the sums of a pool's samples; the slices have an element for each team.
type shareWindow struct {
	samples int
	// capacity is the sum of the pool's slots.
	capacity int
	// offered is the total run time of the requests that have arrived, in seconds.
	offered []float64
	// running is the sum of the requests running in the pool, and runningElsewhere of those running in other pools.
	running          []float64
	runningElsewhere []float64
}

func newShareWindow(teams int) shareWindow {
	return shareWindow{
		offered: make([]float64, teams), running: make([]float64, teams), runningElsewhere: make([]float64, teams),
	}
}

// mean computes the mean of the values added to it; without a value it is 0.
type mean struct {
	n   int
	sum float64
}

func (m *mean) add(x float64) {
	m.n++
	m.sum += x
}

func (m *mean) value() float64 { return m.sum / float64(max(1, m.n)) }

// sampleShare adds a sample of a pool to its window. When the window is complete, it compares the teams with their
// shares and starts a new window.
func (m *meter) sampleShare(c beryllatch.Config, work int, pool string) {
	w := &m.shares[work]
	w.samples++
	w.capacity += m.fleet.poolSlots(c, pool)
	for n := range m.fleet.deployment.Teams {
		w.running[n] += float64(m.running[work][n])
		for other := range m.running {
			if other != work {
				w.runningElsewhere[n] += float64(m.running[other][n])
			}
		}
	}
	if w.samples == shareSamples {
		m.compareShares(c, w)
		*w = newShareWindow(len(m.fleet.deployment.Teams))
	}
}

// compareShares adds the distances of the teams from their max-min shares to shareDistance, unless the pool had slots
// for the whole demand and more.
func (m *meter) compareShares(c beryllatch.Config, w *shareWindow) {
	capacity := w.capacity / w.samples
	claims := m.shareClaims(c, w)
	demand := 0
	for _, claim := range claims {
		demand += claim.Demand
	}
	if demand < capacity {
		return
	}
	shares := berylshare.MaxMin(capacity, claims)
	for n, claim := range claims {
		if share := shares[claim.Name]; share >= minShare {
			running := w.running[n] / float64(w.samples)
			m.shareDistance.add(percent * math.Abs(running-share) / share)
		}
	}
}

// shareClaims returns the teams' claims on a pool. The demand is the number of slots that the arrived requests would
// keep busy, or the number of running requests if that is larger. What a team runs in other pools reduces its ceiling.
func (m *meter) shareClaims(c beryllatch.Config, w *shareWindow) []berylshare.Claim {
	var out []berylshare.Claim
	samples := float64(w.samples)
	for n, t := range m.fleet.deployment.Teams {
		team := c.Teams[t.Name]
		out = append(out, berylshare.Claim{
			Name: t.Name, Weight: team.Weight, Ceiling: team.Ceiling - int(w.runningElsewhere[n]/samples),
			Demand: int(max(w.offered[n]/(samples*sampleInterval.Seconds()), w.running[n]/samples)),
		})
	}
	return out
}

// poolSlots returns the slots of the workers that can run work of the pool now.
func (f *fleet) poolSlots(c beryllatch.Config, pool string) int {
	n := 0
	for _, id := range f.workerIDs {
		i := c.Instances[id]
		w := f.workers[id]
		if i.Pool == pool && i.State == beryllatch.InstanceActive && !c.DataCentres[i.DataCentre].Out && !w.rebooting {
			n += w.slots
		}
	}
	return n
}
