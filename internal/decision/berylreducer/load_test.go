package berylreducer

import (
	"fmt"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylplan"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"
)

// loadSimulation is an operateSimulation with an additional node that reports work in its heartbeats.
type loadSimulation struct {
	*operateSimulation
	// work holds the slots that the work of the additional node needs, by pool.
	work map[string]int
	// moves counts the moves that were started.
	moves int
	// lastWrite is when the configuration last changed.
	lastWrite time.Duration
	violation string
}

// loadConfig has two pools of three instances and a spare pool of one, each with a disruption budget of one, and enables load
// moves.
func loadConfig() beryllatch.Config {
	c := sampleConfig().WithLoadMoves(true)
	for _, id := range beryllatch.SortedKeys(c.Instances) {
		c = c.WithoutInstance(id)
	}
	for _, name := range []string{"quotes", "prints", "spare"} {
		c = c.WithService(beryllatch.Service{Name: name, MaxUnavailable: 1}).
			WithPool(beryllatch.Pool{Name: name, Service: name, Spare: name == "spare"})
	}
	for n, pool := range []string{"quotes", "quotes", "quotes", "prints", "prints", "prints", "spare"} {
		c = c.WithInstance(beryllatch.Instance{
			ID: fmt.Sprintf("w%d", n+1), Pool: pool, DataCentre: fmt.Sprintf("dc%d", 1+n%2), Rack: "r1",
			Address: fmt.Sprintf("127.0.0.1:%d", 9001+n), Slots: 2, Connections: 16, State: beryllatch.InstanceActive,
		})
	}
	return c
}

func newLoadSimulation(nodes ...string) *loadSimulation {
	s := &loadSimulation{operateSimulation: newOperateSimulation(loadConfig(), nodes...), work: map[string]int{}}
	head := s.head
	s.onWrite = func(x WriteConfig) {
		s.check(head, x.Config)
		head, s.lastWrite = x.Config, s.now.Mono
	}
	return s
}

// check compares a configuration with the one that it replaces.
func (s *loadSimulation) check(before, after beryllatch.Config) {
	unavailable := map[string]int{}
	for id, i := range after.Instances {
		old := before.Instances[id]
		if i.Pool != old.Pool && (old.MoveTo != i.Pool || old.State != beryllatch.InstanceDraining) {
			s.violation = id + " changes its pool without a drain"
		}
		if i.MoveTo != "" && old.MoveTo == "" {
			s.moves++
		}
		if i.State != beryllatch.InstanceActive || i.MoveTo != "" {
			unavailable[after.Pools[i.Pool].Service]++
		}
	}
	for service, n := range unavailable {
		if n > after.Services[service].MaxUnavailable {
			s.violation = "the budget of " + service + " is overspent"
		}
	}
	if err := after.Validate(); err != nil {
		s.violation = err.Error()
	}
}

// runLoad advances the time by d while the additional node reports its work every second.
func (s *loadSimulation) runLoad(d time.Duration) {
	peer := Identity{Node: "x1", Incarnation: "x1-1"}
	for range int(d / time.Second) {
		row := s.rows[peer.Incarnation]
		s.rows[peer.Incarnation] = NodeRow{
			Identity: peer, Version: row.Version + 1, Renewal: row.Renewal + 1, ConfigVersion: s.head.Version, State: NodeLive,
		}
		work := []PoolWork{{Pool: "prints", Slots: s.work["prints"]}, {Pool: "quotes", Slots: s.work["quotes"]}}
		for _, name := range beryllatch.SortedKeys(s.nodes) {
			s.send(name, HeartbeatReceived{From: peer, ConfigVersion: s.head.Version, Work: work})
		}
		s.run(time.Second)
	}
}

// demand sets the slots that the work of the additional node needs in both pools.
func (s *loadSimulation) demand(quotes, prints int) {
	s.note("demand quotes=%d prints=%d", quotes, prints)
	s.work = map[string]int{"quotes": quotes, "prints": prints}
}

// Guards against moves for a short peak of demand, a move that two nodes start at once, a loan that is not returned, and
// moves after an operator has disabled them.
func TestLoadSession(t *testing.T) {
	s := newLoadSimulation("n1", "n2")
	s.demand(8, 2)
	s.runLoad(50 * time.Second)
	s.demand(6, 2)
	s.runLoad(20 * time.Second)
	s.demand(10, 2)
	s.nodes["n1"].holdWrites = true
	s.runLoad(70 * time.Second)
	s.releaseWrites("n1")
	s.runLoad(80 * time.Second)
	s.demand(3, 6)
	s.runLoad(200 * time.Second)
	s.submit("n2", "op1", berylplan.SetLoadMoves{On: false})
	s.demand(12, 0)
	s.runLoad(200 * time.Second)
	assert.Equal(t, s.violation, "", s.log.String())
	golden.Assert(t, s.log.String(), "operate_load.golden")
}

// Guards against a change of pool without a drain, an exceeded disruption budget and endless moves, when writes fail, are
// delayed or have unknown outcomes.
func TestLoadMovesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		s := newLoadSimulation("n1", "n2")
		for range 3 {
			s.demand(draw(14), draw(14))
			n := s.nodes[fmt.Sprintf("n%d", 1+draw(2))]
			switch draw(4) {
			case 0:
				n.holdWrites = !n.holdWrites
			case 1:
				n.isolated = !n.isolated
			case 2:
				n.answers = []writeAnswer{{result: WriteUnknown, applied: true}, {result: WriteUnknown, late: true}}
			}
			s.runLoad(time.Duration(20+draw(80)) * time.Second)
		}
		for name, n := range s.nodes {
			n.isolated, n.answers = false, nil
			s.releaseWrites(name)
			s.applyLate(name)
		}
		s.runLoad(360 * time.Second)
		assert.Equal(t, s.violation, "", s.log.String())
		assert.Assert(t, s.now.Mono-s.lastWrite > 150*time.Second, "moves under a steady demand\n%s", s.log.String())
		assert.Assert(t, s.moves <= 4*len(s.head.Instances), "%d moves", s.moves)
	})
}
