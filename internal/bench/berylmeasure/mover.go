package berylmeasure

import (
	"github.com/beryllatch/beryllatch/internal/decision/berylplan"
)

// mover simulates the operator of the policy eager_moves, who applies berylplan.LoadMoves at every sample and without
// waiting for a demand to last. The nodes' own load moves are switched off.
type mover struct {
	fleet   *fleet
	history berylplan.DemandHistory
}

// step begins the moves for the present demand; it does nothing under any other policy.
func (m *mover) step() {
	f := m.fleet
	if !f.policy.eagerMoves {
		return
	}
	c, h := f.config(), f.health()
	needs := map[string]int{}
	for n, w := range f.deployment.Work {
		needs[w.Name] = f.meter.instancesNeeded(n)
	}
	sizes := berylplan.CountServing(c, h)
	m.history.Note(f.now, needs, sizes)
	moves, _ := berylplan.LoadMoves(c, h, demandsWithoutDelay(m.history.Demands(f.now), sizes))
	for _, ch := range moves {
		f.submitChanges(0, ignoreReply, ch.LendInstance)
	}
}

// demandsWithoutDelay changes the demands so that LoadMoves acts on them at once. A pool whose need exceeds its size
// counts as short for longer than LendAfter, so that it gets an instance. The present need counts as the peak, so that
// a pool gives instances back as soon as its need falls.
func demandsWithoutDelay(demands []berylplan.PoolDemand, sizes map[string]int) []berylplan.PoolDemand {
	for n, d := range demands {
		demands[n].Peak, demands[n].ObservedFor = d.Need, berylplan.LendAfter
		if d.Need > sizes[d.Pool] {
			demands[n].ShortFor = berylplan.LendAfter + 1
		}
	}
	return demands
}
