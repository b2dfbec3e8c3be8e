package berylreducer

import (
	"strconv"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
)

// Guards against more executions than the node has slots, or than its part of a worker's connections.
func TestPlacementLimits(t *testing.T) {
	for _, c := range []struct {
		name  string
		slots int
		nodes int
		want  int
	}{
		{"all slots", 0, 1, 8},
		{"slots of the node", 3, 1, 3},
		{"share of the connections", 0, 16, 4},
		{"more nodes than connections", 0, 40, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, p := newSession(), newFakePlatform()
			s.send(Started{Self: Identity{Node: "n1", Incarnation: "n1-1", DataCentre: "dc1"}, Slots: c.slots})
			s.send(ConfigRead{Config: sampleConfig().WithTeam(beryllatch.Team{Name: "red", Weight: 1, Ceiling: 100})})
			nodes := make([]NodeRow, c.nodes)
			for n := range nodes {
				nodes[n].Incarnation = "peer" + strconv.Itoa(n)
			}
			nodes[0].Incarnation = "n1-1"
			s.send(Renewed{SentAt: s.now, HeadVersion: 1, Nodes: nodes})
			s.run(p, Ticked{})
			s.fill(p, 20)
			if s.r.active != c.want {
				t.Errorf("%d executions run, want %d", s.r.active, c.want)
			}
		})
	}
}

// Guards against queueing requests that cannot start in time, against refusing urgent requests because of others that wait,
// and against refusing a request because of waiting ones with later deadlines.
func TestShedOnArrival(t *testing.T) {
	for _, c := range []struct {
		name     string
		deadline time.Duration
		urgent   bool
		shed     bool
	}{
		{"behind all", 5 * time.Second, false, true},
		{"before all", 3 * time.Second, false, false},
		{"urgent", 5 * time.Second, true, false},
		{"shorter than its run time", 500 * time.Millisecond, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, p := newSession(), newFakePlatform()
			s.start(sampleConfig().WithTeam(beryllatch.Team{Name: "red", Weight: 1, Ceiling: 100}))
			s.run(p, arrival("q-first"))
			end := executionAnswered("q-first", 1)
			end.Duration = time.Second
			s.run(p, end)
			s.fill(p, 40)
			e := arrival("q-last")
			e.Deadline, e.Urgent = c.deadline, c.urgent
			s.run(p, e)
			if _, waits := s.r.requests["q-last"]; waits == c.shed {
				t.Errorf("shed is %t, want %t", !waits, c.shed)
			}
		})
	}
}
