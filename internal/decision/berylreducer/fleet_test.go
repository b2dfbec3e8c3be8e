package berylreducer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// load sends a request to each node every interval for the duration d.
func (s *fleetSimulation) load(d, interval time.Duration) {
	for end := s.now + d; s.now < end; s.run(interval) {
		for _, n := range s.nodes {
			s.requestBy(n, fmt.Sprintf("q%d", s.now.Milliseconds()), 5*time.Second)
		}
	}
}

// Guards against a stopping node that accepts requests but does not get units for them.
func TestStoppingNodeTakesUnits(t *testing.T) {
	s := newFleetSimulation(1, faults{})
	s.run(2 * reserveSpread)
	n := s.nodes[0]
	s.deliver(n, n.process, StopRequested{})
	s.run(shutdownGrace - time.Second)
	for _, id := range []string{"a", "b", "c", "d"} {
		s.requestBy(n, id, 30*time.Second)
	}
	s.run(40 * time.Second)
	assert.Equal(t, strings.Count(s.log.String(), "n1 Dispatch "), 4)
	assert.Assert(t, n.down && s.units["red"].Row.Holdings["n1-1"] == 0)
}

// Guards against reporting a version as in force while a node with a valid tenure has not adopted it.
func TestLateNodeIsNamed(t *testing.T) {
	s := newSession()
	s.start(sampleConfig())
	peer := NodeRow{Identity: Identity{Node: "n2", Incarnation: "n2-1"}, State: NodeLive}
	renew := func() {
		peer.Renewal++
		peer.Version++
		s.send(Renewed{SentAt: s.now, HeadVersion: 1, Nodes: []NodeRow{peer}})
	}
	renew()
	s.send(ConfigCommitted{Version: 1})
	for range 10 {
		s.tick(time.Second)
		renew()
	}
	assert.Equal(t, strings.Count(s.log.String(), "-> ConfigInForce"), 1)
	assert.Assert(t, strings.Contains(s.log.String(), "ConfigInForce{Version:1 InForce:false WaitingFor:[n2]}"))
	s.send(HeartbeatReceived{From: peer.Identity, ConfigVersion: 1})
	assert.DeepEqual(t, s.lastEffects[0], ConfigInForce{Version: 1, InForce: true})
}

// Guards against the use of units that a delayed write of this node may still return.
func TestLostUnitWrite(t *testing.T) {
	for _, trust := range []bool{false, true} {
		s := newSession()
		s.r.faults.trustRead = trust
		s.start(sampleConfig())
		arrive := func(id string) {
			s.send(RequestArrived{ID: id, KeyHash: strings.Repeat("1", 64), Queue: "price"})
		}
		arrive("q1")
		row := UnitRow{Team: "red", ConfigVersion: 1, Ceiling: 6, Holdings: map[string]int{"n1-1": 5, "n2-1": 1}}
		s.send(UnitsRead{Team: "red", Row: row, Version: 5})
		s.send(UnitsWritten{Team: "red", Result: WriteUnknown})
		for _, id := range []string{"q2", "q3", "q4", "q5"} {
			arrive(id)
		}
		s.send(UnitsRead{Team: "red", Row: row, Version: 5})
		starts := strings.Count(s.log.String(), "-> Dispatch")
		if trust {
			assert.Equal(t, starts, 5, "the check needs no mechanism")
			continue
		}
		assert.Equal(t, starts, 3)
		s.golden(t, "lost_write")
	}
}

// Guards against unintended changes in sessions of three nodes: which of them start work, stop and take over units.
func TestFleetSessions(t *testing.T) {
	for _, c := range []struct {
		name     string
		simulate func(s *fleetSimulation, n1 *simNode)
	}{
		{"outage", func(s *fleetSimulation, _ *simNode) {
			for _, n := range s.nodes {
				n.outage = true
			}
			s.load(10*time.Minute, 2*time.Minute)
			for _, n := range s.nodes {
				n.outage = false
			}
			s.load(5*time.Second, 2*time.Second)
		}},
		{"alone", func(s *fleetSimulation, n1 *simNode) {
			for _, n := range s.nodes {
				n.outage = n != n1
			}
			s.load(4*time.Second, 2*time.Second)
			s.commit(n1, 5)
			s.load(6*time.Second, 2*time.Second)
			for _, n := range s.nodes {
				n.outage = false
			}
			s.load(4*time.Second, 2*time.Second)
		}},
		{"freeze", func(s *fleetSimulation, n1 *simNode) {
			s.freeze(n1, 10*time.Second, true)
			s.load(14*time.Second, 2*time.Second)
			s.freeze(n1, 100*time.Second, false)
			s.load(104*time.Second, 20*time.Second)
		}},
		{"death", func(s *fleetSimulation, n1 *simNode) {
			s.load(time.Second, 250*time.Millisecond)
			n1.down = true
			s.load(80*time.Second, 10*time.Second)
		}},
		{"ceiling", func(s *fleetSimulation, n1 *simNode) {
			s.workTime = func() time.Duration { return 3 * time.Second }
			s.load(time.Second, 250*time.Millisecond)
			s.commit(n1, 2)
			s.load(4*time.Second, 500*time.Millisecond)
			s.run(5 * time.Second)
		}},
		{"stop", func(s *fleetSimulation, n1 *simNode) {
			s.load(time.Second, 250*time.Millisecond)
			s.deliver(n1, n1.process, StopRequested{})
			s.load(4*time.Second, time.Second)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFleetSimulation(1, faults{})
			s.run(2 * reserveSpread)
			c.simulate(s, s.nodes[0])
			golden.Assert(t, s.log.String()+"broken rule: "+s.violation+"\n", "fleet_"+c.name+".golden")
		})
	}
}
