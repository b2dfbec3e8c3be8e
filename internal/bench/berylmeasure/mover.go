package berylmeasure

import (
	"github.com/beryllatch/beryllatch/internal/decision/berylplan"
)

// mover stands for an operator who applies berylplan.LoadMoves to every burst once a sample, with the nodes' own load
// moves switched off.
type mover struct {
	fleet   *fleet
	history berylplan.DemandHistory
}

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
	sizes := berylplan.Serving(c, h)
	m.history.Note(f.now, needs, sizes)
	moves, _ := berylplan.LoadMoves(c, h, demandsWithoutDelay(m.history.Demands(f.now), sizes))
	for _, ch := range moves {
		f.submitChanges(0, ignoreReply, ch.LendInstance)
	}
}

// demandsWithoutDelay takes every demand above a pool's size for a lasting one, and every fall below it.
func demandsWithoutDelay(demands []berylplan.PoolDemand, sizes map[string]int) []berylplan.PoolDemand {
	for n, d := range demands {
		demands[n].Peak, demands[n].ObservedFor = d.Need, berylplan.LendAfter
		if d.Need > sizes[d.Pool] {
			demands[n].ShortFor = berylplan.LendAfter + 1
		}
	}
	return demands
}
