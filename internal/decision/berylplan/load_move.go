package berylplan

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	// MoveAfter is how long a demand must last before an idle spare is moved for it: a shorter one is over before the
	// instance has drained and joined.
	MoveAfter = StepTime
	// LendAfter is how long a demand must last before a pool with work of its own lends for it, and how long a pool
	// must have had an instance to spare. Such a loan drains a serving instance on its way there and on its way back.
	LendAfter = 2 * StepTime
)

// PoolDemand is the demand on a pool.
type PoolDemand struct {
	Pool string
	// Need is the number of instances that the demand takes.
	Need int
	// ShortFor is how long the demand has been above the pool's size.
	ShortFor time.Duration
	// Peak is the largest need within the last LendAfter.
	Peak int
	// ObservedFor is how long the demand has been watched; a pool that was watched for less than LendAfter gives nothing away.
	ObservedFor time.Duration
}

// MoveReason says why an instance is moved.
type MoveReason string

// The reasons of load moves.
const (
	// MoveStandingLoan fills a standing loan from a spare pool.
	MoveStandingLoan MoveReason = "standing_loan"
	// MoveLend lends an instance for a demand that lasts.
	MoveLend MoveReason = "lend"
	// MoveGiveBack returns an instance from a pool whose demand has fallen.
	MoveGiveBack MoveReason = "give_back"
)

// LoadMove is one move with its reason.
type LoadMove struct {
	LendInstance
	Reason MoveReason
}

// RefusalReason says why a lasting demand gets no instance.
type RefusalReason string

// The reasons why a demand gets no instance.
const (
	// RefusedInvalid is a demand that names no pool, names one twice, or is below zero.
	RefusedInvalid RefusalReason = "invalid_demand"
	// RefusedNoSurplus means that no other pool has an instance above its own need.
	RefusedNoSurplus RefusalReason = "no_surplus"
	// RefusedBudget means that a disruption budget keeps the instances with surplus where they are.
	RefusedBudget RefusalReason = "budget"
	// RefusedPoolSize means that the pools with surplus would fall below their smallest size.
	RefusedPoolSize RefusalReason = "pool_size"
	// RefusedCycle means that the move would close a cycle with moves under way.
	RefusedCycle RefusalReason = "cycle"
	// RefusedOther is any other rule that refuses a move.
	RefusedOther RefusalReason = "other"
)

// LoadRefusal is a pool that gets no instance, with the reason.
type LoadRefusal struct {
	Pool   string
	Reason RefusalReason
	Err    error
}

// LoadMoves returns the moves that the demands and the standing loans call for and the budgets allow, and the demands
// that stay unmet. A pool with work has at most one move under way to it or from it, so that its demand is judged again
// after each.
func LoadMoves(c beryllatch.Config, h Health, demands []PoolDemand) ([]LoadMove, []LoadRefusal) {
	p := newLoadPlanner(c, h, demands)
	short := p.byShortage()
	for _, pool := range short {
		p.recall(pool)
	}
	for _, pool := range short {
		p.lend(pool)
	}
	for _, pool := range beryllatch.SortedKeys(c.Pools) {
		p.fillStandingLoan(pool)
		p.giveBack(pool)
	}
	return p.moves, p.refused
}

// loadPlanner collects moves, each computed on the configuration after the ones before it.
type loadPlanner struct {
	config  beryllatch.Config
	health  Health
	demands map[string]PoolDemand
	// size counts the instances that serve a pool or are on their way to it.
	size map[string]int
	// moving marks the pools with work that have moves under way; spare pools may have several.
	moving map[string]bool
	// guests counts the instances on loan in each pool.
	guests  map[string]guests
	moves   []LoadMove
	refused []LoadRefusal
}

func newLoadPlanner(c beryllatch.Config, h Health, demands []PoolDemand) *loadPlanner {
	p := &loadPlanner{
		config: c, health: h, demands: make(map[string]PoolDemand, len(demands)), size: Serving(c, h),
		moving: map[string]bool{},
	}
	for _, d := range demands {
		p.addDemand(d)
	}
	p.guests = countGuests(c)
	for _, i := range c.Instances {
		if i.MoveTo != "" {
			p.mark(i.Pool, i.MoveTo)
		}
	}
	return p
}

func (p *loadPlanner) mark(pools ...string) {
	for _, name := range pools {
		p.moving[name] = !p.config.Pools[name].Spare
	}
}

// addDemand takes a demand in; none is larger than the fleet, and a spare pool has none.
func (p *loadPlanner) addDemand(d PoolDemand) {
	field := "demands." + d.Pool
	var err error
	if pool, ok := p.config.Pools[d.Pool]; !ok {
		err = &NotFoundError{Field: "pools." + d.Pool}
	} else if _, twice := p.demands[d.Pool]; twice {
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

// Serving counts the instances that serve each pool or are on their way to it.
func Serving(c beryllatch.Config, h Health) map[string]int {
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

// byShortage returns the pools whose demand has lasted, the one that lacks the largest part of its need first.
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

// lend moves an instance to the pool, from a spare pool if there is one to be had.
func (p *loadPlanner) lend(to string) {
	if p.moving[to] {
		return
	}
	refusal := LoadRefusal{Pool: to, Reason: RefusedNoSurplus}
	for _, from := range p.lenders(to) {
		for _, id := range p.candidates(from, to) {
			err := p.take(id, to, MoveLend)
			if err == nil {
				return
			}
			refusal.Reason, refusal.Err = refusalReason(err), err
		}
	}
	p.refused = append(p.refused, refusal)
}

// lenders returns the pools that may lend to the pool: spare pools, then those with the largest surplus, provided that
// the demand has outlasted what a loan costs them.
func (p *loadPlanner) lenders(to string) []string {
	var out []string
	for _, name := range beryllatch.SortedKeys(p.config.Pools) {
		switch {
		case name == to || p.moving[name] || p.surplus(name) < 1:
		case p.config.Pools[name].Spare || p.demands[to].ShortFor > LendAfter:
			out = append(out, name)
		}
	}
	slices.SortStableFunc(out, func(a, b string) int {
		if p.config.Pools[a].Spare != p.config.Pools[b].Spare {
			return cmp.Compare(flagRank(p.config.Pools[b].Spare), flagRank(p.config.Pools[a].Spare))
		}
		return cmp.Compare(p.surplus(b), p.surplus(a))
	})
	return out
}

func flagRank(set bool) int {
	if set {
		return 1
	}
	return 0
}

// surplus is the number of instances that the pool has had above its need for LendAfter; a pool whose demand is not
// known gives nothing away.
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

// candidates returns the instances of a pool that may leave it for another one, the best placed first: an instance
// on loan before one of the pool's own, then as placement says.
func (p *loadPlanner) candidates(from, to string) []string {
	there, here := perDataCentre(p.config, to), perDataCentre(p.config, from)
	var out []beryllatch.Instance
	for _, id := range beryllatch.SortedKeys(p.config.Instances) {
		if i := p.config.Instances[id]; i.Pool == from && !unavailable(p.config, p.health, i) {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b beryllatch.Instance) int {
		return cmp.Or(
			cmp.Compare(flagRank(a.Home == ""), flagRank(b.Home == "")),
			cmp.Compare(there[a.DataCentre], there[b.DataCentre]),
			cmp.Compare(here[b.DataCentre], here[a.DataCentre]),
		)
	})
	ids := make([]string, 0, len(out))
	for _, i := range out {
		ids = append(ids, i.ID)
	}
	return ids
}

// take applies a move unless a rule refuses it.
func (p *loadPlanner) take(id, pool string, reason MoveReason) error {
	m := LoadMove{LendInstance: LendInstance{ID: id, Pool: pool}, Reason: reason}
	from := p.config.Instances[m.ID].Pool
	next, err := applyOne(p.config, p.health, m.LendInstance)
	if err != nil {
		return err
	}
	p.config, p.guests = next, countGuests(next)
	p.size[from]--
	p.size[m.Pool]++
	p.mark(from, m.Pool)
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
