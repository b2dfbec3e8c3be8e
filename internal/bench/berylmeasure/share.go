package berylmeasure

import (
	"math"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylshare"
)

const (
	// shareSamples make a window, since single samples of a small share are coarse.
	shareSamples = 5
	// minShare in slots leaves out teams that want next to nothing.
	minShare = 1.0
)

// shareWindow sums by team what a pool has been asked for and what has run there.
type shareWindow struct {
	samples  int
	capacity int
	// offered is the run time of the requests that have arrived, in seconds.
	offered []float64
	running []float64
	// elsewhere is what the teams ran in other pools.
	elsewhere []float64
}

func newShareWindow(teams int) shareWindow {
	return shareWindow{
		offered: make([]float64, teams), running: make([]float64, teams), elsewhere: make([]float64, teams),
	}
}

// mean is a running mean.
type mean struct {
	n   int
	sum float64
}

func (m *mean) add(x float64) {
	m.n++
	m.sum += x
}

func (m *mean) value() float64 { return m.sum / float64(max(1, m.n)) }

// sampleShare adds a sample of a pool to its window, and compares the teams with their shares at the end of it.
func (m *meter) sampleShare(c beryllatch.Config, work int, pool string) {
	w := &m.shares[work]
	w.samples++
	w.capacity += m.fleet.poolSlots(c, pool)
	for n := range m.fleet.deployment.Teams {
		w.running[n] += float64(m.running[work][n])
		for other := range m.running {
			if other != work {
				w.elsewhere[n] += float64(m.running[other][n])
			}
		}
	}
	if w.samples == shareSamples {
		m.compareShares(c, w)
		*w = newShareWindow(len(m.fleet.deployment.Teams))
	}
}

// compareShares counts the teams' distances from their max-min shares, if more was wanted than the pool held.
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

// shareClaims returns the teams' claims on a pool. The demand is what the arrived requests would keep busy, or what runs if
// that is more; what a team runs elsewhere counts against its ceiling.
func (m *meter) shareClaims(c beryllatch.Config, w *shareWindow) []berylshare.Claim {
	var out []berylshare.Claim
	samples := float64(w.samples)
	for n, t := range m.fleet.deployment.Teams {
		team := c.Teams[t.Name]
		out = append(out, berylshare.Claim{
			Name: t.Name, Weight: team.Weight, Ceiling: team.Ceiling - int(w.elsewhere[n]/samples),
			Demand: int(max(w.offered[n]/(samples*sampleInterval.Seconds()), w.running[n]/samples)),
		})
	}
	return out
}

// poolSlots counts the slots of the workers that serve the pool.
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
