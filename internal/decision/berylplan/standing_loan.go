package berylplan

import (
	"cmp"
	"slices"

	"github.com/beryllatch/beryllatch"
)

// StandingLoans divides spare instances among the pools of the loads and returns the number for each pool. One after
// another, each goes to the pool with the most burst demand for each slot, counting the slots already given to it. Pools
// without a burst get none. The sizes are in instances, perInstance is the number of slots of an instance.
func StandingLoans(loads []PoolLoad, sizes map[string]int, perInstance, spares int) map[string]int {
	out := map[string]int{}
	var withBurst []PoolLoad
	for _, l := range loads {
		if l.Burst > 0 {
			withBurst = append(withBurst, l)
		}
	}
	if len(withBurst) == 0 {
		return out
	}
	for range spares {
		neediest := slices.MaxFunc(withBurst, func(a, b PoolLoad) int {
			return cmp.Compare(burstRatio(a, sizes[a.Pool]+out[a.Pool], perInstance), burstRatio(b, sizes[b.Pool]+out[b.Pool], perInstance))
		})
		out[neediest.Pool]++
	}
	return out
}

// burstRatio returns the burst demand in slots divided by the number of slots of the pool.
func burstRatio(l PoolLoad, size, perInstance int) float64 {
	return l.Burst / float64(max(1, size*perInstance))
}

// loanCount is the number of instances on loan in a pool, by the kind of pool that they come from.
type loanCount struct {
	fromSpare  int
	fromOthers int
}

// countLoans counts the instances on loan in each pool, including those that are moving to it.
func countLoans(c beryllatch.Config) map[string]loanCount {
	out := map[string]loanCount{}
	for _, i := range c.Instances {
		pool := i.Pool
		if i.MoveTo != "" {
			pool = i.MoveTo
		}
		n := out[pool]
		switch {
		case i.Home == "" || i.Home == pool:
		case c.Pools[i.Home].Spare:
			n.fromSpare++
		default:
			n.fromOthers++
		}
		out[pool] = n
	}
	return out
}

// unfilledLoan returns the pool that should get the instance for its standing loan, or "" if all standing loans are filled:
// the pool with the fewest instances in the instance's data centre, and the largest of these. The time of a wave in a data
// centre depends on the service with the most instances there, so loans are spread evenly.
func unfilledLoan(c beryllatch.Config, i beryllatch.Instance) string {
	best, fewest, largest := "", 0, 0
	loans := countLoans(c)
	for _, name := range beryllatch.SortedKeys(c.Pools) {
		if loans[name].fromSpare >= c.Pools[name].StandingLoan {
			continue
		}
		size, counts := 0, perDataCentre(c, name)
		for _, n := range counts {
			size += n
		}
		if n := counts[i.DataCentre]; best == "" || n < fewest || n == fewest && size > largest {
			best, fewest, largest = name, n, size
		}
	}
	return best
}

// placeOnStandingLoan assigns a new instance of a spare pool to a pool whose standing loan is not filled. It needs no
// drain, since the instance has no work yet.
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

// perDataCentre counts the instances of a pool in each data centre. An instance that is moving counts for the pool that it
// moves to.
func perDataCentre(c beryllatch.Config, pool string) map[string]int {
	out := map[string]int{}
	for _, i := range c.Instances {
		if i.MoveTo == pool || i.Pool == pool && i.MoveTo == "" {
			out[i.DataCentre]++
		}
	}
	return out
}
