package berylplan

import (
	"cmp"
	"slices"

	"github.com/beryllatch/beryllatch"
)

// StandingLoans divides the spares among the loads: each goes to the pool whose burst would lack the largest part of
// its slots, with the loans so far. Loads without work get none. A load holds its pool's instances in slots.
func StandingLoans(loads []PoolLoad, sizes map[string]int, perInstance, spares int) map[string]int {
	out := map[string]int{}
	var withWork []PoolLoad
	for _, l := range loads {
		if l.Burst > 0 {
			withWork = append(withWork, l)
		}
	}
	if len(withWork) == 0 {
		return out
	}
	for range spares {
		neediest := slices.MaxFunc(withWork, func(a, b PoolLoad) int {
			return cmp.Compare(burstRatio(a, sizes[a.Pool]+out[a.Pool], perInstance), burstRatio(b, sizes[b.Pool]+out[b.Pool], perInstance))
		})
		out[neediest.Pool]++
	}
	return out
}

// burstRatio is the number of slots that a burst takes for each slot of the pool.
func burstRatio(l PoolLoad, size, perInstance int) float64 {
	return l.Burst / float64(max(1, size*perInstance))
}

// loanCount counts the instances on loan in a pool by where they come from: spare pools or others.
type loanCount struct {
	fromSpare  int
	fromOthers int
}

// countLoans returns the guests of each pool and those on their way to it.
func countLoans(c beryllatch.Config) map[string]loanCount {
	out := map[string]loanCount{}
	for _, i := range c.Instances {
		pool := i.Pool
		if i.MoveTo != "" {
			pool = i.MoveTo
		}
		g := out[pool]
		switch {
		case i.Home == "" || i.Home == pool:
		case c.Pools[i.Home].Spare:
			g.fromSpare++
		default:
			g.fromOthers++
		}
		out[pool] = g
	}
	return out
}

// unfilledLoan returns the pool with a standing loan to fill that has the fewest instances in the instance's data centre,
// the largest pool first, or "" if there is none. A wave takes as many rounds in a data centre as the service with the
// most instances there, so a loan must not make one stand out.
func unfilledLoan(c beryllatch.Config, i beryllatch.Instance) string {
	best, fewest, largest := "", 0, 0
	loans := countLoans(c)
	for _, name := range beryllatch.SortedKeys(c.Pools) {
		if loans[name].fromSpare >= c.Pools[name].StandingLoan {
			continue
		}
		size, here := 0, perDataCentre(c, name)
		for _, n := range here {
			size += n
		}
		if n := here[i.DataCentre]; best == "" || n < fewest || n == fewest && size > largest {
			best, fewest, largest = name, n, size
		}
	}
	return best
}

// placeOnStandingLoan puts a new instance of a spare pool into a pool with a standing loan to fill; it has no work to drain yet.
func placeOnStandingLoan(c beryllatch.Config, i beryllatch.Instance) beryllatch.Instance {
	i.Home = ""
	if !c.Pools[i.Pool].Spare {
		return i
	}
	if pool := unfilledLoan(c, i); pool != "" {
		i.Home, i.Pool = i.Pool, pool
	}
	return i
}

// perDataCentre counts the instances of a pool, and those on their way to it, in each data centre.
func perDataCentre(c beryllatch.Config, pool string) map[string]int {
	out := map[string]int{}
	for _, i := range c.Instances {
		if i.MoveTo == pool || i.Pool == pool && i.MoveTo == "" {
			out[i.DataCentre]++
		}
	}
	return out
}
