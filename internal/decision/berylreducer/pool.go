package berylreducer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/beryllatch/beryllatch"
)

// tier is the distance class of a worker, seen from this node.
type tier int

// The tiers, the nearest first; tiers is their number.
const (
	tierSameDataCentre tier = iota
	tierSameRegion
	tierOtherRegion
	tiers
)

// maxDraws is the number of random draws that look for a worker outside the tried ones before the whole set is searched.
const maxDraws = 4

// poolState holds a pool's eligible workers and its local queue.
type poolState struct {
	name string
	// tiers holds the eligible workers.
	tiers [tiers]workerSet
	// size is the number of workers in the pool, eligible or not.
	size int
	// openBreakers is the number of workers whose breaker is open or half-open.
	openBreakers int
	// active is the number of running attempts of this node in the pool.
	active int
	// backlogged is true while requests or tasks wait for a worker of the pool.
	backlogged bool
	queue      localQueue
}

// poolOf returns the state of the named pool, and creates it on first use.
func (r *Reducer) poolOf(name string) *poolState {
	p := r.pools[name]
	if p == nil {
		p = &poolState{name: name, queue: newLocalQueue()}
		r.pools[name] = p
	}
	return p
}

// tierOf returns the distance of an instance from this node.
func (r *Reducer) tierOf(i beryllatch.Instance) tier {
	here, there := r.config.DataCentres[r.self.DataCentre], r.config.DataCentres[i.DataCentre]
	switch {
	case i.DataCentre == r.self.DataCentre:
		return tierSameDataCentre
	case here.Region == there.Region:
		return tierSameRegion
	default:
		return tierOtherRegion
	}
}

// hasWorker reports whether any worker is eligible.
func (p *poolState) hasWorker() bool {
	for t := range p.tiers {
		if len(p.tiers[t].list) > 0 {
			return true
		}
	}
	return false
}

// choose picks an eligible worker, or nil. Workers that were tried before are used only if there is no other.
func (p *poolState) choose(rnd *rand.Rand, now time.Duration, tried []string) *workerState {
	if w := p.chooseExcept(rnd, now, tried); w != nil || len(tried) == 0 {
		return w
	}
	return p.chooseExcept(rnd, now, nil)
}

// chooseExcept picks an eligible worker that was not tried before, or nil. It draws two random workers of each tier and
// takes the one with the lowest score; at equal scores the nearest one.
func (p *poolState) chooseExcept(rnd *rand.Rand, now time.Duration, tried []string) *workerState {
	var best *workerState
	for t := range p.tiers {
		set := &p.tiers[t]
		a, b := set.draw(rnd, tried), set.draw(rnd, tried)
		if a != nil && b != nil && b.score(now) < a.score(now) {
			a = b
		}
		if a != nil && (best == nil || a.score(now) < best.score(now)) {
			best = a
		}
	}
	return best
}

// draw returns a random worker that is not in tried, or nil.
func (s *workerSet) draw(rnd *rand.Rand, tried []string) *workerState {
	if len(s.list) == 0 {
		return nil
	}
	for range maxDraws {
		w := s.list[rnd.IntN(len(s.list))]
		if !slices.Contains(tried, w.inst.ID) {
			return w
		}
	}
	start := rnd.IntN(len(s.list))
	for n := range s.list {
		w := s.list[(start+n)%len(s.list)]
		if !slices.Contains(tried, w.inst.ID) {
			return w
		}
	}
	return nil
}
