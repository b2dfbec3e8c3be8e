package berylreducer

import (
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylplan"
)

// Guards against a change reported as in force while a node that registered just before it serves the old version.
func TestInForceWaitsForNewNode(t *testing.T) {
	s := newSession()
	s.start(sampleConfig())
	self := NodeRow{Identity: s.r.self, ConfigVersion: 2}
	late := NodeRow{Identity: Identity{Node: "n2", Incarnation: "n2-1"}, Renewal: 1, ConfigVersion: 1}
	s.send(ChangesRequested{
		CallID: "c1", Operator: "ann", OperationID: "o1",
		Changes: []berylplan.Change{berylplan.PutTeam{Team: beryllatch.Team{Name: "green", Weight: 1, Ceiling: 1}}},
	})
	s.send(ConfigWritten{CallID: "c1.1", Result: WriteDone})
	s.send(Renewed{SentAt: s.now, HeadVersion: 1, Nodes: []NodeRow{self}})
	s.wait(time.Second)
	s.send(Renewed{SentAt: s.now, HeadVersion: 2, Nodes: []NodeRow{self, late}})
	s.wait(time.Second)
	late.Renewal, late.ConfigVersion = 2, 2
	s.send(Renewed{SentAt: s.now, HeadVersion: 2, Nodes: []NodeRow{self, late}})
	s.golden(t, "in_force_new_node")
}
