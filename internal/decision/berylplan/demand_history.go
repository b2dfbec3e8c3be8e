package berylplan

import (
	"time"

	"github.com/beryllatch/beryllatch"
)

// DemandHistory follows the need of each pool; the zero value is ready to use.
type DemandHistory struct {
	pools map[string]*poolHistory
}

type poolHistory struct {
	observedSince time.Duration
	// shortSince is when the need rose above the pool's size; -1 while it is not.
	shortSince time.Duration
	need       int
	// peaks holds the needs within LendAfter that no later one reaches, the oldest and largest first.
	peaks []needSample
}

type needSample struct {
	at   time.Duration
	need int
}

// Note records the needs and sizes of all pools at a time. A pool that is not among the needs is forgotten.
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

// Demands returns the demand on each pool as of the last note, by name.
func (d *DemandHistory) Demands(now time.Duration) []PoolDemand {
	out := make([]PoolDemand, 0, len(d.pools))
	for _, pool := range beryllatch.SortedKeys(d.pools) {
		p := d.pools[pool]
		demand := PoolDemand{Pool: pool, Need: p.need, Peak: p.peaks[0].need, Known: now - p.observedSince}
		if p.shortSince >= 0 {
			demand.Lasted = now - p.shortSince
		}
		out = append(out, demand)
	}
	return out
}
