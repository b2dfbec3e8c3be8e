package berylmeasure

import (
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylplan"
)

// mover stands for the operator who applies berylplan.LoadMoves once a sample, and who moves a lent instance back to
// the spare pool once its demand has stayed away as long.
type mover struct {
	fleet *fleet
	// spares lists the instances that began in the spare pool.
	spares []string
	// aboveSince and belowSince hold when a pool's demand last rose above its size, and fell below it.
	aboveSince map[string]time.Duration
	belowSince map[string]time.Duration
}

func newMover(f *fleet, c beryllatch.Config) mover {
	m := mover{fleet: f, aboveSince: map[string]time.Duration{}, belowSince: map[string]time.Duration{}}
	for _, id := range beryllatch.SortedKeys(c.Instances) {
		if c.Pools[c.Instances[id].Pool].Spare {
			m.spares = append(m.spares, id)
		}
	}
	return m
}

func (m *mover) step() {
	if len(m.spares) == 0 {
		return
	}
	c := m.fleet.config()
	var demands []berylplan.PoolDemand
	for n, w := range m.fleet.deployment.Work {
		need, size := m.fleet.meter.need(n), poolSize(c, w.Name)
		demands = append(demands, berylplan.PoolDemand{
			Pool: w.Name, Need: need, Lasted: m.lasted(m.aboveSince, w.Name, need > size),
		})
		if m.lasted(m.belowSince, w.Name, need < size) > berylplan.MoveAfter {
			m.giveBack(c, w.Name)
		}
	}
	for _, ch := range berylplan.LoadMoves(c, m.fleet.health(), demands) {
		m.fleet.operate(0, ignoreReply, ch)
	}
}

// lasted returns how long the condition has held; an eager mover takes every condition for a lasting one.
func (m *mover) lasted(since map[string]time.Duration, pool string, holds bool) time.Duration {
	if !holds {
		delete(since, pool)
		return 0
	}
	if _, ok := since[pool]; !ok {
		since[pool] = m.fleet.now
	}
	if m.fleet.policy.eagerMoves {
		return berylplan.MoveAfter + 1
	}
	return m.fleet.now - since[pool]
}

// giveBack moves one lent instance of the pool back to the spare pool.
func (m *mover) giveBack(c beryllatch.Config, pool string) {
	for _, id := range m.spares {
		if i := c.Instances[id]; i.Pool == pool && i.State == beryllatch.InstanceActive && i.MoveTo == "" {
			m.fleet.operate(0, ignoreReply, berylplan.MoveInstance{ID: id, Pool: sparePool})
			return
		}
	}
}

// poolSize counts the instances of the pool that stay, and those that are on their way to it.
func poolSize(c beryllatch.Config, pool string) int {
	n := 0
	for _, i := range c.Instances {
		if i.MoveTo == pool || i.Pool == pool && i.MoveTo == "" {
			n++
		}
	}
	return n
}
