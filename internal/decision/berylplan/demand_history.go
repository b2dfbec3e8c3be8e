package berylplan

import (
	"time"

	"github.com/beryllatch/beryllatch"
)

// DemandHistory records how the need of each pool changes, so that load moves can ignore short peaks. The zero value is
// ready to use.
type DemandHistory struct {
	pools map[string]*poolHistory
}

type poolHistory struct {
	observedSince time.Duration
	// shortSince is the time since which the need has been above the pool's size; -1 while it is not.
	shortSince time.Duration
	need       int
	// peaks holds the needs of the last LendAfter that are larger than every later one. They decrease with time, so the
	// first is the maximum.
	peaks []needSample
}

type needSample struct {
	at   time.Duration
	need int
}

// Note records the needs and sizes of all pools at a time. The history of a pool without a need is deleted.
func (d *DemandHistory) Note(now time.Duration, needs, sizes map[string]int) {
	if d.pools == nil {
		d.pools = map[string]*poolHistory{}
	}
	for pool := range d.pools {
		if _, ok := needs[pool]; !ok {
			delete(d.pools, pool)
		}
	}
	for pool, need := range needs {
		p := d.pools[pool]
		if p == nil {
			p = &poolHistory{observedSince: now, shortSince: -1}
			d.pools[pool] = p
		}
		p.note(now, need, sizes[pool])
	}
}

func (p *poolHistory) note(now time.Duration, need, size int) {
	p.need = need
	switch {
	case need <= size:
		p.shortSince = -1
	case p.shortSince < 0:
		p.shortSince = now
	}
	for len(p.peaks) > 0 && p.peaks[0].at < now-LendAfter {
		p.peaks = p.peaks[1:]
	}
	for len(p.peaks) > 0 && p.peaks[len(p.peaks)-1].need <= need {
		p.peaks = p.peaks[:len(p.peaks)-1]
	}
	p.peaks = append(p.peaks, needSample{at: now, need: need})
}

// Demands returns the demand on each pool as of the last call of Note, sorted by pool.
func (d *DemandHistory) Demands(now time.Duration) []PoolDemand {
	out := make([]PoolDemand, 0, len(d.pools))
	for _, pool := range beryllatch.SortedKeys(d.pools) {
		p := d.pools[pool]
		demand := PoolDemand{Pool: pool, Need: p.need, Peak: p.peaks[0].need, ObservedFor: now - p.observedSince}
		if p.shortSince >= 0 {
			demand.ShortFor = now - p.shortSince
		}
		out = append(out, demand)
	}
	return out
}
