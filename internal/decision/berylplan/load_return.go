package berylplan

import "github.com/beryllatch/beryllatch"

// fillStandingLoan moves an instance from a spare pool to the pool if the pool has fewer instances on loan from spare pools
// than its StandingLoan.
func (p *loadPlanner) fillStandingLoan(to string) {
	if p.hasMove[to] || p.loans[to].fromSpare >= p.config.Pools[to].StandingLoan {
		return
	}
	for _, from := range beryllatch.SortedKeys(p.config.Pools) {
		if !p.config.Pools[from].Spare || p.hasMove[from] {
			continue
		}
		for _, id := range p.candidates(from, to) {
			if p.tryMove(id, to, MoveStandingLoan) == nil {
				return
			}
		}
	}
}

// giveBack sends back an instance on loan if the pool has had a surplus for LendAfter. The instances of its standing loan
// stay.
func (p *loadPlanner) giveBack(from string) {
	if p.hasMove[from] || p.config.Pools[from].Spare || p.surplus(from) < 1 {
		return
	}
	standing := p.config.Pools[from].StandingLoan
	if p.loans[from].fromOthers == 0 && p.loans[from].fromSpare <= standing {
		return
	}
	for _, id := range p.candidates(from, from) {
		i := p.config.Instances[id]
		if i.Home == "" || p.config.Pools[i.Home].Spare && p.loans[from].fromSpare <= standing {
			continue
		}
		to := p.returnPool(i)
		if p.hasMove[to] {
			continue
		}
		if p.tryMove(id, to, MoveGiveBack) == nil {
			return
		}
	}
}

// recallLoan returns an instance that the pool has lent to another pool, whatever the demand there. A pool can therefore
// lend without risk: it gets its instances back when it is short.
func (p *loadPlanner) recallLoan(to string) {
	if p.hasMove[to] {
		return
	}
	for _, id := range beryllatch.SortedKeys(p.config.Instances) {
		i := p.config.Instances[id]
		if i.Home != to || i.Pool == to || p.hasMove[i.Pool] || unavailable(p.config, p.health, i) {
			continue
		}
		if p.tryMove(id, to, MoveGiveBack) == nil {
			return
		}
	}
}

// returnPool returns the pool that an instance on loan goes to when the loan ends: its home pool or, for an instance of
// a spare pool, a pool whose standing loan is not filled, if there is one.
func (p *loadPlanner) returnPool(i beryllatch.Instance) string {
	if p.config.Pools[i.Home].Spare {
		if pool := unfilledLoan(p.config, i); pool != "" && pool != i.Pool {
			return pool
		}
	}
	return i.Home
}
