package berylplan

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	// MoveAfter is how long a pool must be short of instances before a spare pool lends to it. A shorter demand is over
	// before the instance has drained and joined the pool.
	MoveAfter = StepTime
	// LendAfter is how long a pool must be short of instances before a pool with work of its own lends to it, and how long
	// the lending pool must have had a surplus. It is longer than MoveAfter because such a loan drains a serving instance
	// twice: on the way there and on the way back.
	LendAfter = 2 * StepTime
)

// PoolDemand is the demand on a pool, in instances.
type PoolDemand struct {
	Pool string
	// Need is the number of instances that the pool needs now.
	Need int
	// ShortFor is how long Need has been above the pool's size.
	ShortFor time.Duration
	// Peak is the largest Need within the last LendAfter.
	Peak int
	// ObservedFor is how long the demand has been recorded. A pool with less than LendAfter of history gives no instance away.
	ObservedFor time.Duration
}

// MoveReason is the reason of a load move.
type MoveReason string

// The reasons of load moves.
const (
	// MoveStandingLoan fills a standing loan from a spare pool.
	MoveStandingLoan MoveReason = "standing_loan"
	// MoveLend lends an instance to a pool that has been short of instances for some time.
	MoveLend MoveReason = "lend"
	// MoveGiveBack ends a loan: the demand of the borrowing pool has fallen, or the lending pool is short itself.
	MoveGiveBack MoveReason = "give_back"
)

// LoadMove is a move of an instance for load, with its reason.
type LoadMove struct {
	LendInstance
	Reason MoveReason
}

// RefusalReason is the reason for which a pool that is short of instances gets none.
type RefusalReason string

// The reasons for which a pool gets no instance.
const (
	// RefusedInvalid means that the demand is negative, or that its pool does not exist, is a spare pool or has two demands.
	RefusedInvalid RefusalReason = "invalid_demand"
	// RefusedNoSurplus means that no other pool has more instances than it needs.
	RefusedNoSurplus RefusalReason = "no_surplus"
	// RefusedBudget means that a disruption budget does not allow the drain of a surplus instance.
	RefusedBudget RefusalReason = "budget"
	// RefusedPoolSize means that the pools with a surplus would fall below their minimum size.
	RefusedPoolSize RefusalReason = "pool_size"
	// RefusedCycle means that the move would form a cycle with moves under way.
	RefusedCycle RefusalReason = "cycle"
	// RefusedOther means that another rule refused the move.
	RefusedOther RefusalReason = "other"
)

// LoadRefusal reports a pool that gets no instance, with the reason.
type LoadRefusal struct {
	Pool   string
	Reason RefusalReason
	Err    error
}

// LoadMoves returns the moves that the demands and the standing loans require and the budgets allow, and the pools that get
// no instance although they are short. A pool with work has at most one move under way to it or from it, so that its
// demand is evaluated again after each move.
func LoadMoves(c beryllatch.Config, h Health, demands []PoolDemand) ([]LoadMove, []LoadRefusal) {
	p := newLoadPlanner(c, h, demands)
	shortPools := p.byShortage()
	for _, pool := range shortPools {
		p.recallLoan(pool)
	}
	for _, pool := range shortPools {
		p.lend(pool)
	}
	for _, pool := range beryllatch.SortedKeys(c.Pools) {
		p.fillStandingLoan(pool)
		p.giveBack(pool)
	}
	return p.moves, p.refused
}

// loadPlanner collects moves. Each is computed on the configuration that results from the previous ones.
type loadPlanner struct {
	config  beryllatch.Config
	health  Health
	demands map[string]PoolDemand
	// size is the number of instances that serve each pool or are moving to it, as Serving returns it.
	size map[string]int
	// hasMove holds the pools with work that have a move under way, to them or from them. Spare pools are left out, since
	// they may have several.
	hasMove map[string]bool
	// loans counts the instances on loan in each pool or moving to it.
	loans   map[string]loanCount
	moves   []LoadMove
	refused []LoadRefusal
}

func newLoadPlanner(c beryllatch.Config, h Health, demands []PoolDemand) *loadPlanner {
	p := &loadPlanner{
		config: c, health: h, demands: make(map[string]PoolDemand, len(demands)), size: CountServing(c, h),
		hasMove: map[string]bool{},
	}
	for _, d := range demands {
		p.addDemand(d)
	}
	p.loans = countLoans(c)
	for _, i := range c.Instances {
		if i.MoveTo != "" {
			p.markMove(i.Pool, i.MoveTo)
		}
	}
	return p
}

func (p *loadPlanner) markMove(pools ...string) {
	for _, name := range pools {
		p.hasMove[name] = !p.config.Pools[name].Spare
	}
}

// addDemand records a demand, limited to the size of the fleet, or refuses it if it is not valid.
func (p *loadPlanner) addDemand(d PoolDemand) {
	field := "demands." + d.Pool
	var err error
	if pool, ok := p.config.Pools[d.Pool]; !ok {
		err = &NotFoundError{Field: "pools." + d.Pool}
	} else if _, duplicate := p.demands[d.Pool]; duplicate {
		err = invalid(field, "is given twice")
	} else if pool.Spare {
		err = invalid(field, "is a spare pool, which serves no work")
	} else if d.Need < 0 || d.Peak < 0 {
		err = invalid(field+".need", "must not be negative, got %d and a peak of %d", d.Need, d.Peak)
	}
	if err != nil {
		p.refused = append(p.refused, LoadRefusal{Pool: d.Pool, Reason: RefusedInvalid, Err: err})
		return
	}
	d.Need = min(d.Need, len(p.config.Instances))
	d.Peak = max(d.Need, d.Peak)
	p.demands[d.Pool] = d
}

// CountServing returns the number of instances that serve each pool or are moving to it.
func CountServing(c beryllatch.Config, h Health) map[string]int {
	out := make(map[string]int, len(c.Pools))
	for _, i := range c.Instances {
		if i.MoveTo != "" {
			out[i.MoveTo]++
		} else if !unavailable(c, h, i) {
			out[i.Pool]++
		}
	}
	return out
}

// byShortage returns the pools that have been short of instances for more than MoveAfter, sorted by the fraction of their
// need that is missing, largest first.
func (p *loadPlanner) byShortage() []string {
	var out []string
	for _, name := range beryllatch.SortedKeys(p.demands) {
		if d := p.demands[name]; d.ShortFor > MoveAfter && d.Need > p.size[name] {
			out = append(out, name)
		}
	}
	slices.SortStableFunc(out, func(a, b string) int {
		return cmp.Compare(p.size[a]*p.demands[b].Need, p.size[b]*p.demands[a].Need)
	})
	return out
}

// lend moves an instance to the pool, preferably from a spare pool, or records why that is not possible.
func (p *loadPlanner) lend(to string) {
	if p.hasMove[to] {
		return
	}
	refusal := LoadRefusal{Pool: to, Reason: RefusedNoSurplus}
	for _, from := range p.lenders(to) {
		for _, id := range p.candidates(from, to) {
			err := p.tryMove(id, to, MoveLend)
			if err == nil {
				return
			}
			refusal.Reason, refusal.Err = refusalReason(err), err
		}
	}
	p.refused = append(p.refused, refusal)
}

// lenders returns the pools that may lend to the pool: spare pools first, then the others by surplus, largest first. Pools
// with work lend only if the pool has been short for more than LendAfter.
func (p *loadPlanner) lenders(to string) []string {
	var out []string
	for _, name := range beryllatch.SortedKeys(p.config.Pools) {
		switch {
		case name == to || p.hasMove[name] || p.surplus(name) < 1:
		case p.config.Pools[name].Spare || p.demands[to].ShortFor > LendAfter:
			out = append(out, name)
		}
	}
	slices.SortStableFunc(out, func(a, b string) int {
		if p.config.Pools[a].Spare != p.config.Pools[b].Spare {
			return cmp.Compare(boolRank(p.config.Pools[b].Spare), boolRank(p.config.Pools[a].Spare))
		}
		return cmp.Compare(p.surplus(b), p.surplus(a))
	})
	return out
}

// boolRank orders false before true.
func boolRank(set bool) int {
	if set {
		return 1
	}
	return 0
}

// surplus returns the number of instances that the pool has not needed during the last LendAfter. It is 0 if the demand
// has not been recorded for that long. A spare pool needs none of its instances.
func (p *loadPlanner) surplus(pool string) int {
	if p.config.Pools[pool].Spare {
		return p.size[pool]
	}
	d, ok := p.demands[pool]
	if !ok || d.ObservedFor < LendAfter {
		return 0
	}
	return p.size[pool] - d.Peak
}

// candidates returns the available instances of a pool in the order in which they should move to another pool: instances
// on loan before the pool's own, then those in the data centre in which the target pool has the fewest instances, then
// those in the data centre in which the source pool has the most.
func (p *loadPlanner) candidates(from, to string) []string {
	inTarget, inSource := perDataCentre(p.config, to), perDataCentre(p.config, from)
	var out []beryllatch.Instance
	for _, id := range beryllatch.SortedKeys(p.config.Instances) {
		if i := p.config.Instances[id]; i.Pool == from && !unavailable(p.config, p.health, i) {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b beryllatch.Instance) int {
		return cmp.Or(
			cmp.Compare(boolRank(a.Home == ""), boolRank(b.Home == "")),
			cmp.Compare(inTarget[a.DataCentre], inTarget[b.DataCentre]),
			cmp.Compare(inSource[b.DataCentre], inSource[a.DataCentre]),
		)
	})
	ids := make([]string, 0, len(out))
	for _, i := range out {
		ids = append(ids, i.ID)
	}
	return ids
}

// tryMove adds a move, or returns the error of the rule that refuses it.
func (p *loadPlanner) tryMove(id, pool string, reason MoveReason) error {
	m := LoadMove{LendInstance: LendInstance{ID: id, Pool: pool}, Reason: reason}
	from := p.config.Instances[m.ID].Pool
	next, err := applyOne(p.config, p.health, m.LendInstance)
	if err != nil {
		return err
	}
	p.config, p.loans = next, countLoans(next)
	p.size[from]--
	p.size[m.Pool]++
	p.markMove(from, m.Pool)
	p.moves = append(p.moves, m)
	return nil
}

func refusalReason(err error) RefusalReason {
	var (
		budget *BudgetError
		size   *PoolSizeError
		cycle  *MoveCycleError
	)
	switch {
	case errors.As(err, &budget):
		return RefusedBudget
	case errors.As(err, &size):
		return RefusedPoolSize
	case errors.As(err, &cycle):
		return RefusedCycle
	}
	return RefusedOther
}
