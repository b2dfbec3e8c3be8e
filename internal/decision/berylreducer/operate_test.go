package berylreducer

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylplan"
	"gotest.tools/v3/golden"
)

// scene runs the reducers of a few nodes against one fake document and fake workers, and records what concerns
// operators and maintenance.
type scene struct {
	now  Instant
	head beryllatch.Config
	rows map[string]NodeRow
	// lists holds the lists of known incarnations.
	lists   map[string][]string
	nodes   map[string]*sceneNode
	workers map[string]*sceneWorker
	log     strings.Builder
	// onReply, onWrite and onReboot observe replies, writes that take effect and reboots; nil ones are not called.
	onReply  func(x ReplyOperator)
	onWrite  func(x WriteConfig)
	onReboot func(x RebootWorker)
}

// sceneNode is a node and the faults of its writes.
type sceneNode struct {
	r    Reducer
	dead bool
	// held keeps writes back until release; dieAfterWrite ends the node as its next write takes effect.
	hold          bool
	held          []WriteConfig
	dieAfterWrite bool
	// answers replaces the results of the next writes; applied says whether such a write takes effect.
	answers []sceneAnswer
	// late holds writes that were answered but have not taken effect yet.
	late []WriteConfig
	// cut stops renewals and reads.
	cut bool
}

// sceneAnswer is the result of a write and whether the write takes effect, at once or by applyLate.
type sceneAnswer struct {
	result  WriteResult
	applied bool
	late    bool
}

type sceneWorker struct {
	boot    int
	running int
	down    bool
	// ignores makes the worker drop the next reboot requests.
	ignores bool
}

func newScene(c beryllatch.Config, nodes ...string) *scene {
	s := &scene{
		now: Instant{Wall: sessionStart}, head: c, rows: map[string]NodeRow{}, lists: map[string][]string{}, nodes: map[string]*sceneNode{},
		workers: map[string]*sceneWorker{},
	}
	for id := range c.Instances {
		s.workers[id] = &sceneWorker{boot: 1}
	}
	for _, name := range nodes {
		s.nodes[name] = &sceneNode{}
		s.send(name, Started{Self: Identity{Node: name, Incarnation: name + "-1"}, Seed: 1})
	}
	s.run(3 * time.Second)
	s.log.Reset()
	return s
}

// note records a line with the time.
func (s *scene) note(format string, args ...any) {
	fmt.Fprintf(&s.log, "%7.1f %s\n", s.now.Mono.Seconds(), fmt.Sprintf(format, args...))
}

func (s *scene) send(name string, e Event) {
	n := s.nodes[name]
	// A node that is only a row in the table takes no events.
	if n == nil || n.dead {
		return
	}
	for _, x := range n.r.Reduce(s.now, e) {
		s.carryOut(name, x)
	}
}

func (s *scene) carryOut(name string, x Effect) {
	n := s.nodes[name]
	switch x := x.(type) {
	case RenewTenure:
		s.renew(name, x.Row)
	case ReadKnown:
		if !n.cut {
			s.readKnown(name, x)
		}
	case ReadConfig:
		if !n.cut {
			s.send(name, ConfigRead{Config: s.head})
		}
	case WriteConfig:
		s.note("%s WriteConfig expect=%d", name, x.Expect)
		if n.hold {
			n.held = append(n.held, x)
			return
		}
		s.write(name, x)
	case ReplyOperator:
		if s.onReply != nil {
			s.onReply(x)
		}
		s.note("%s ReplyOperator %s %s version=%d in_force=%t waiting=%v %s", name, x.CallID, x.Outcome, x.Version, x.InForce,
			x.WaitingFor, x.Reason)
	case RebootWorker:
		s.note("%s RebootWorker %s %s", name, x.Instance, x.BootID)
		if s.onReboot != nil {
			s.onReboot(x)
		}
		if w := s.workers[x.Instance]; x.BootID == fmt.Sprint(w.boot) && !w.ignores && !n.dead {
			w.boot++
		}
	case NotifyConfig:
		for _, p := range x.Peers {
			s.send(p.Node, ConfigNotified{Version: x.Version})
		}
	case SendHeartbeats:
		for _, p := range x.Peers {
			// Only load moves depend on heartbeats here; without them the sessions go without.
			if len(x.Work) > 0 && !n.cut {
				s.send(p.Node, HeartbeatReceived{From: n.r.self, ConfigVersion: x.ConfigVersion, Work: x.Work})
			}
		}
	case Count:
		if strings.HasPrefix(x.Name, "move_") {
			s.note("%s Count %s", name, x.Name)
		}
	case LogState:
		if strings.HasPrefix(x.Subject, "instance") || strings.HasPrefix(x.Subject, "wave") {
			s.note("%s %s: %s %s", name, x.Subject, x.To, x.Detail)
		}
	}
}

func (s *scene) renew(name string, row NodeRow) {
	if s.nodes[name].cut {
		s.send(name, RenewalFailed{SentAt: s.now})
		return
	}
	s.lists[row.Incarnation] = row.Known
	row.Known = nil
	s.rows[row.Incarnation] = row
	var rows []NodeRow
	for _, k := range beryllatch.SortedKeys(s.rows) {
		rows = append(rows, s.rows[k])
	}
	s.send(name, Renewed{SentAt: s.now, HeadVersion: s.head.Version, Nodes: rows})
}

func (s *scene) readKnown(name string, x ReadKnown) {
	known := map[string][]string{}
	for _, id := range x.Incarnations {
		known[id] = s.lists[id]
	}
	s.send(name, KnownRead{SentAt: s.now, Known: known})
}

// write carries out a write of the document under its condition, or under the fault that is set.
func (s *scene) write(name string, x WriteConfig) {
	n := s.nodes[name]
	result := WriteDone
	if x.Expect != s.head.Version {
		result = WriteConflict
	}
	applied := result == WriteDone
	if len(n.answers) > 0 && applied {
		result, applied = n.answers[0].result, n.answers[0].applied
		if n.answers[0].late {
			n.late = append(n.late, x)
		}
		n.answers = n.answers[1:]
	}
	if applied {
		s.apply(x)
	}
	if n.dieAfterWrite && applied {
		n.dead = true
		s.note("%s dies", name)
	}
	s.note("%s ConfigWritten %s", name, result)
	s.send(name, ConfigWritten{CallID: x.CallID, Result: result})
}

func (s *scene) apply(x WriteConfig) {
	for _, l := range berylplan.DiffLines(s.head, x.Config) {
		fmt.Fprintf(&s.log, "          %s\n", l)
	}
	s.head = x.Config
	if s.onWrite != nil {
		s.onWrite(x)
	}
}

// applyLate lets the delayed writes of a node reach the table.
func (s *scene) applyLate(name string) {
	n := s.nodes[name]
	for _, x := range n.late {
		if x.Expect == s.head.Version {
			s.note("%s late write takes effect", name)
			s.apply(x)
		}
	}
	n.late = nil
}

func (s *scene) release(name string) {
	n := s.nodes[name]
	n.hold = false
	held := n.held
	n.held = nil
	for _, x := range held {
		s.write(name, x)
	}
}

func (s *scene) ask(name, operation string, changes ...berylplan.Change) {
	s.note("%s OperatorAsked %s %s", name, operation, changeText(changes))
	s.send(name, ChangesRequested{CallID: "c-" + name, Operator: "ada", OperationID: operation, Changes: changes})
}

func changeText(changes []berylplan.Change) string {
	var out []string
	for _, ch := range changes {
		out = append(out, strings.TrimPrefix(fmt.Sprintf("%T%+v", ch, ch), "berylplan."))
	}
	return strings.Join(out, " ")
}

// run lets time pass; workers report to every node once a second.
func (s *scene) run(d time.Duration) {
	for n := range int(d / (100 * time.Millisecond)) {
		s.now = s.now.Add(100 * time.Millisecond)
		for _, name := range beryllatch.SortedKeys(s.nodes) {
			if n%10 == 9 {
				s.report(name)
			}
			s.send(name, Ticked{})
		}
	}
}

func (s *scene) report(name string) {
	for _, id := range beryllatch.SortedKeys(s.workers) {
		w := s.workers[id]
		s.send(name, WorkerReported{Instance: id, Healthy: !w.down, BootID: fmt.Sprint(w.boot), Running: w.running})
	}
}

// runUntil lets time pass until the wave ends, for an hour at most.
func (s *scene) runUntil(t *testing.T, state beryllatch.WaveState) {
	t.Helper()
	for range 3600 {
		if s.head.Waves["w"].State == state {
			return
		}
		s.run(time.Second)
	}
	t.Fatalf("the wave is %s\n%s", s.head.Waves["w"].State, s.log.String())
}

func (s *scene) down(down bool, ids ...string) {
	s.note("workers %s down=%t", strings.Join(ids, ","), down)
	for _, id := range ids {
		s.workers[id].down = down
	}
}

// wideConfig is sampleConfig with a larger budget and two workers in each rack.
func wideConfig(budget int) beryllatch.Config {
	c := sampleConfig().WithService(beryllatch.Service{Name: "quotes", MaxUnavailable: budget})
	for n, id := range beryllatch.SortedKeys(c.Instances) {
		i := c.Instances[id]
		i.DataCentre, i.Rack = fmt.Sprintf("dc%d", n/2+1), "r1"
		c = c.WithInstance(i)
	}
	return c
}

var wave = berylplan.StartWave{Wave: beryllatch.Wave{ID: "w", Services: []string{"quotes"}}}

func TestOperateSessions(t *testing.T) {
	for name, script := range map[string]func(t *testing.T) *scene{
		// Guards against two nodes that both see the last free place of a budget.
		"operators_race": func(*testing.T) *scene {
			s := newScene(wideConfig(1), "n1", "n2")
			s.nodes["n1"].hold = true
			s.ask("n1", "op1", berylplan.DrainInstance{ID: "w1"})
			s.ask("n2", "op2", berylplan.DrainInstance{ID: "w2"})
			s.release("n1")
			s.run(3 * time.Second)
			s.ask("n2", "op1", berylplan.DrainInstance{ID: "w1"})
			s.ask("n2", "op2", berylplan.DrainInstance{ID: "w2"})
			s.ask("n1", "op2", berylplan.DrainInstance{ID: "w3"})
			s.run(2 * time.Second)
			return s
		},
		// Guards against a change that is reported wrongly or made twice after a lost answer.
		"answer_lost": func(*testing.T) *scene {
			s := newScene(wideConfig(2), "n1")
			n := s.nodes["n1"]
			n.answers = []sceneAnswer{{result: WriteUnknown, applied: true}}
			s.ask("n1", "op1", berylplan.DrainInstance{ID: "w1"})
			n.answers = []sceneAnswer{{result: WriteUnknown}, {result: WriteFailed}}
			s.ask("n1", "op2", berylplan.DrainInstance{ID: "w2"})
			n.answers = []sceneAnswer{{result: WriteFailed}}
			s.ask("n1", "op3", berylplan.ReturnInstance{ID: "w2"})
			s.run(2 * time.Second)
			return s
		},
		// Guards against "not accepted" for a write that may still take effect, and against changes without tenure.
		"platform_lost": func(*testing.T) *scene {
			s := newScene(wideConfig(2), "n1")
			n := s.nodes["n1"]
			n.answers = []sceneAnswer{{result: WriteUnknown, applied: true}}
			n.cut = true
			s.ask("n1", "op1", berylplan.DrainInstance{ID: "w1"})
			s.run(11 * time.Second)
			s.ask("n1", "op2", berylplan.DrainInstance{ID: "w2"})
			s.ask("n1", "op1", berylplan.DrainInstance{ID: "w1"})
			n.cut = false
			s.run(3 * time.Second)
			s.ask("n1", "op1", berylplan.DrainInstance{ID: "w1"})
			s.run(2 * time.Second)
			return s
		},
		// Guards against steps of a node without tenure.
		"wave_node_cut": func(t *testing.T) *scene {
			s := newScene(wideConfig(2), "n1", "n2")
			s.ask("n1", "op1", wave)
			s.run(4 * time.Second)
			s.note("n1 cut")
			s.nodes["n1"].cut = true
			s.workers["w1"].ignores = true
			s.run(6 * time.Second)
			s.workers["w1"].ignores = false
			s.runUntil(t, beryllatch.WaveDone)
			return s
		},
		// Guards against a wave that goes on among unexpected failures.
		"wave_rack_lost": func(t *testing.T) *scene {
			s := newScene(wideConfig(2), "n1", "n2")
			s.ask("n1", "op1", wave)
			s.run(2 * time.Second)
			s.down(true, "w2", "w3", "w4")
			s.runUntil(t, beryllatch.WaveStopped)
			s.run(5 * time.Second)
			s.down(false, "w2", "w3", "w4")
			s.run(2 * time.Second)
			s.ask("n1", "op2", berylplan.ResumeWave{ID: "w"})
			s.runUntil(t, beryllatch.WaveDone)
			return s
		},
		// Guards against drains while a data centre is out, and a reboot of a worker that is not idle.
		"wave_data_centre_out": func(t *testing.T) *scene {
			s := newScene(wideConfig(2), "n1", "n2")
			s.workers["w1"].running = 1
			s.ask("n1", "op1", wave)
			s.run(10 * time.Second)
			s.ask("n2", "op2", berylplan.SetDataCentreOut{Name: "dc2", Out: true})
			s.run(5 * time.Second)
			s.note("w1 idle")
			s.workers["w1"].running = 0
			s.run(20 * time.Second)
			s.ask("n2", "op3", berylplan.SetDataCentreOut{Name: "dc2"})
			s.runUntil(t, beryllatch.WaveDone)
			return s
		},
		// Guards against a wave that ends with the node that took its last step.
		"wave_node_dies": func(t *testing.T) *scene {
			s := newScene(wideConfig(2), "n1", "n2")
			s.ask("n1", "op1", wave)
			s.run(4 * time.Second)
			s.nodes["n1"].dieAfterWrite = true
			s.runUntil(t, beryllatch.WaveDone)
			return s
		},
		// Guards against a node that has just started and stops a wave, since it has heard of no worker yet.
		"wave_node_starts": func(t *testing.T) *scene {
			s := newScene(wideConfig(2), "n1")
			s.ask("n1", "op1", wave)
			s.run(2 * time.Second)
			s.nodes["n0"] = &sceneNode{}
			s.send("n0", Started{Self: Identity{Node: "n0", Incarnation: "n0-1"}, Seed: 1})
			s.runUntil(t, beryllatch.WaveDone)
			return s
		},
		// Guards against a repeat that is carried out again after the document has forgotten the first call.
		"operation_forgotten": func(*testing.T) *scene {
			s := newScene(wideConfig(2), "n1")
			n := s.nodes["n1"]
			n.answers = []sceneAnswer{{result: WriteUnknown, applied: true}}
			n.cut = true
			s.ask("n1", "op1", berylplan.DrainInstance{ID: "w1"})
			s.run(11 * time.Second)
			n.cut = false
			for k := range beryllatch.MaxOperations + 1 {
				s.head = s.head.WithOperation(beryllatch.Operation{ID: fmt.Sprintf("other%d", k), Operator: "bob"})
				s.head = s.head.WithVersion(s.head.Version + 1)
			}
			s.run(3 * time.Second)
			s.ask("n1", "op1", berylplan.DrainInstance{ID: "w1"})
			return s
		},
		// Guards against nodes that wait for each other, and a table without a document.
		"bootstrap": func(*testing.T) *scene {
			s := newScene(beryllatch.Config{}, "n1", "n2")
			s.ask("n1", "op1", berylplan.PutTeam{Team: beryllatch.Team{Name: "red", Weight: 1, Ceiling: 4}})
			s.run(3 * time.Second)
			return s
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := script(t)
			golden.Assert(t, s.log.String(), "operate_"+name+".golden")
		})
	}
}

// TestWaveRacesAtOneMoment guards against an instance that is rebooted twice when nodes take the same step at once.
func TestWaveRacesAtOneMoment(t *testing.T) {
	s := newScene(wideConfig(2), "n1", "n2", "n3")
	s.ask("n1", "op1", wave)
	names := []string{"n1", "n2", "n3"}
	for n := range 600 {
		for _, name := range names {
			s.nodes[name].hold = true
		}
		s.run(time.Second)
		slices.Reverse(names)
		for _, name := range names {
			s.release(name)
		}
		if n == 300 {
			s.note("half time")
		}
	}
	if w := s.head.Waves["w"]; w.State != beryllatch.WaveDone || len(w.Done) != 4 {
		t.Fatalf("%+v\n%s", w, s.log.String())
	}
	for id, w := range s.workers {
		if w.boot != 2 {
			t.Errorf("%s was rebooted %d times", id, w.boot-1)
		}
	}
}
