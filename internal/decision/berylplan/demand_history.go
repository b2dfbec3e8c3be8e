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
	since time.Duration
	// above is when the need rose above the pool's size; -1 while it is not.
	above time.Duration
	need  int
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
			p = &poolHistory{since: now, above: -1}
			d.pools[pool] = p
		}
		p.note(now, need, sizes[pool])
	}
}

func (p *poolHistory) note(now time.Duration, need, size int) {
	p.need = need
	switch {
	case need <= size:
		p.above = -1
	case p.above < 0:
		p.above = now
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
		x := PoolDemand{Pool: pool, Need: p.need, Peak: p.peaks[0].need, ObservedFor: now - p.since}
		if p.above >= 0 {
			x.ShortFor = now - p.above
		}
		out = append(out, x)
	}
	return out
}
