package berylreducer

import (
	"testing"
	"time"
)

// Guards against treating a busy peer as idle between two of its heartbeats, which are 18 s apart with 36 nodes.
func TestDemandBetweenHeartbeats(t *testing.T) {
	s, p := newSession(), newFakePlatform()
	s.start(sampleConfig())
	peer := Identity{Node: "n2", Incarnation: "n2-1"}
	s.run(p, Renewed{SentAt: s.now, HeadVersion: 1, Nodes: []NodeRow{{Identity: peer, Version: 1, State: NodeLive}}})
	s.run(p, HeartbeatReceived{From: peer, ConfigVersion: 1, Demand: []Demand{{Team: "red", Running: 3, Waiting: 1}}})
	s.advance(18 * time.Second)
	s.send(Ticked{})
	u := &teamUnits{running: 1}
	if got := s.r.fairSplit("red", u, UnitRow{Team: "red", Ceiling: 5})["n2-1"]; got != 4 {
		t.Errorf("the peer's part is %d units, want 4", got)
	}
}
