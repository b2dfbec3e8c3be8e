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

// operateSimulation runs the reducers of a few nodes with a fake configuration document and fake workers. It records what
// concerns operators and maintenance.
type operateSimulation struct {
	now  Instant
	head beryllatch.Config
	rows map[string]NodeRow
	// knownLists holds the lists of known incarnations.
	knownLists map[string][]string
	nodes      map[string]*operateNode
	workers    map[string]*operateWorker
	log        strings.Builder
	// onReply, onWrite and onReboot observe replies, writes that take effect and reboot requests; each may be nil.
	onReply  func(x ReplyOperator)
	onWrite  func(x WriteConfig)
	onReboot func(x RebootWorker)
}

// operateNode is a node of an operateSimulation and its faults.
type operateNode struct {
	r       Reducer
	crashed bool
	// holdWrites delays writes, in heldWrites, until releaseWrites; crashAfterWrite crashes the node when its next write takes
	// effect.
	holdWrites      bool
	heldWrites      []WriteConfig
	crashAfterWrite bool
	// answers replaces the results of the next writes.
	answers []writeAnswer
	// lateWrites holds writes that were answered but have not taken effect yet.
	lateWrites []WriteConfig
	// isolated makes renewals fail, and drops heartbeats and reads of the table.
	isolated bool
}

// writeAnswer is the result of a write. The write takes effect immediately if applied is true, by applyLate if late is true,
// and otherwise not at all.
type writeAnswer struct {
	result  WriteResult
	applied bool
	late    bool
}

// operateWorker is a worker of an operateSimulation; boot counts its boots and is its boot id.
type operateWorker struct {
	boot    int
	running int
	down    bool
	// ignoresReboots makes the worker ignore reboot requests.
	ignoresReboots bool
}

func newOperateSimulation(c beryllatch.Config, nodes ...string) *operateSimulation {
	s := &operateSimulation{
		now: Instant{Wall: sessionStart}, head: c, rows: map[string]NodeRow{}, knownLists: map[string][]string{}, nodes: map[string]*operateNode{},
		workers: map[string]*operateWorker{},
	}
	for id := range c.Instances {
		s.workers[id] = &operateWorker{boot: 1}
	}
	for _, name := range nodes {
		s.nodes[name] = &operateNode{}
		s.send(name, Started{Self: Identity{Node: name, Incarnation: name + "-1"}, Seed: 1})
	}
	s.run(3 * time.Second)
	s.log.Reset()
	return s
}

// note logs a line with the time.
func (s *operateSimulation) note(format string, args ...any) {
	fmt.Fprintf(&s.log, "%7.1f %s\n", s.now.Mono.Seconds(), fmt.Sprintf(format, args...))
}

func (s *operateSimulation) send(name string, e Event) {
	n := s.nodes[name]
	// A node without a reducer, which only has a row in the table, receives no events.
	if n == nil || n.crashed {
		return
	}
	for _, x := range n.r.Reduce(s.now, e) {
		s.perform(name, x)
	}
}

func (s *operateSimulation) perform(name string, x Effect) {
	n := s.nodes[name]
	switch x := x.(type) {
	case RenewTenure:
		s.renew(name, x.Row)
	case ReadKnownIncarnations:
		if !n.isolated {
			s.readKnownIncarnations(name, x)
		}
	case ReadConfig:
		if !n.isolated {
			s.send(name, ConfigRead{Config: s.head})
		}
	case WriteConfig:
		s.note("%s WriteConfig expect=%d", name, x.Expect)
		if n.holdWrites {
			n.heldWrites = append(n.heldWrites, x)
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
		if w := s.workers[x.Instance]; x.BootID == fmt.Sprint(w.boot) && !w.ignoresReboots && !n.crashed {
			w.boot++
		}
	case NotifyConfig:
		for _, p := range x.Peers {
			s.send(p.Node, ConfigNotified{Version: x.Version})
		}
	case SendHeartbeats:
		for _, p := range x.Peers {
			// Only load moves need heartbeats here, so those without work are omitted.
			if len(x.Work) > 0 && !n.isolated {
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

func (s *operateSimulation) renew(name string, row NodeRow) {
	if s.nodes[name].isolated {
		s.send(name, RenewalFailed{SentAt: s.now})
		return
	}
	s.knownLists[row.Incarnation] = row.Known
	row.Known = nil
	s.rows[row.Incarnation] = row
	var rows []NodeRow
	for _, k := range beryllatch.SortedKeys(s.rows) {
		rows = append(rows, s.rows[k])
	}
	s.send(name, Renewed{SentAt: s.now, HeadVersion: s.head.Version, Nodes: rows})
}

func (s *operateSimulation) readKnownIncarnations(name string, x ReadKnownIncarnations) {
	known := map[string][]string{}
	for _, id := range x.Incarnations {
		known[id] = s.knownLists[id]
	}
	s.send(name, KnownIncarnationsRead{SentAt: s.now, Known: known})
}

// write carries out a conditional write of the document, or replaces its result by the next of the node's answers.
func (s *operateSimulation) write(name string, x WriteConfig) {
	n := s.nodes[name]
	result := WriteDone
	if x.Expect != s.head.Version {
		result = WriteConflict
	}
	applied := result == WriteDone
	if len(n.answers) > 0 && applied {
		result, applied = n.answers[0].result, n.answers[0].applied
		if n.answers[0].late {
			n.lateWrites = append(n.lateWrites, x)
		}
		n.answers = n.answers[1:]
	}
	if applied {
		s.apply(x)
	}
	if n.crashAfterWrite && applied {
		n.crashed = true
		s.note("%s crashes", name)
	}
	s.note("%s ConfigWritten %s", name, result)
	s.send(name, ConfigWritten{CallID: x.CallID, Result: result})
}

func (s *operateSimulation) apply(x WriteConfig) {
	for _, l := range berylplan.DiffLines(s.head, x.Config) {
		fmt.Fprintf(&s.log, "          %s\n", l)
	}
	s.head = x.Config
	if s.onWrite != nil {
		s.onWrite(x)
	}
}

// applyLate applies the late writes of a node, if the document still has the version that they expect.
func (s *operateSimulation) applyLate(name string) {
	n := s.nodes[name]
	for _, x := range n.lateWrites {
		if x.Expect == s.head.Version {
			s.note("%s late write takes effect", name)
			s.apply(x)
		}
	}
	n.lateWrites = nil
}

func (s *operateSimulation) releaseWrites(name string) {
	n := s.nodes[name]
	n.holdWrites = false
	held := n.heldWrites
	n.heldWrites = nil
	for _, x := range held {
		s.write(name, x)
	}
}

func (s *operateSimulation) submit(name, operation string, changes ...berylplan.Change) {
	s.note("%s ChangesRequested %s %s", name, operation, changeText(changes))
	s.send(name, ChangesRequested{CallID: "c-" + name, Operator: "ada", OperationID: operation, Changes: changes})
}

func changeText(changes []berylplan.Change) string {
	var out []string
	for _, ch := range changes {
		out = append(out, strings.TrimPrefix(fmt.Sprintf("%T%+v", ch, ch), "berylplan."))
	}
	return strings.Join(out, " ")
}

// run advances the time by d; the workers report to every node once a second.
func (s *operateSimulation) run(d time.Duration) {
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

func (s *operateSimulation) report(name string) {
	for _, id := range beryllatch.SortedKeys(s.workers) {
		w := s.workers[id]
		s.send(name, WorkerReported{Instance: id, Healthy: !w.down, BootID: fmt.Sprint(w.boot), Running: w.running})
	}
}

// runUntilWave advances the time until the wave has the state; it fails the test after an hour.
func (s *operateSimulation) runUntilWave(t *testing.T, state beryllatch.WaveState) {
	t.Helper()
	for range 3600 {
		if s.head.Waves["w"].State == state {
			return
		}
		s.run(time.Second)
	}
	t.Fatalf("the wave is %s\n%s", s.head.Waves["w"].State, s.log.String())
}

func (s *operateSimulation) setDown(down bool, ids ...string) {
	s.note("workers %s down=%t", strings.Join(ids, ","), down)
	for _, id := range ids {
		s.workers[id].down = down
	}
}

// wideConfig is sampleConfig with the given disruption budget and two workers in each rack.
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
	for name, script := range map[string]func(t *testing.T) *operateSimulation{
		// Guards against two nodes that both use the last free place of a disruption budget.
		"operators_race": func(*testing.T) *operateSimulation {
			s := newOperateSimulation(wideConfig(1), "n1", "n2")
			s.nodes["n1"].holdWrites = true
			s.submit("n1", "op1", berylplan.DrainInstance{ID: "w1"})
			s.submit("n2", "op2", berylplan.DrainInstance{ID: "w2"})
			s.releaseWrites("n1")
			s.run(3 * time.Second)
			s.submit("n2", "op1", berylplan.DrainInstance{ID: "w1"})
			s.submit("n2", "op2", berylplan.DrainInstance{ID: "w2"})
			s.submit("n1", "op2", berylplan.DrainInstance{ID: "w3"})
			s.run(2 * time.Second)
			return s
		},
		// Guards against a change that is reported wrongly or applied twice after a lost answer.
		"answer_lost": func(*testing.T) *operateSimulation {
			s := newOperateSimulation(wideConfig(2), "n1")
			n := s.nodes["n1"]
			n.answers = []writeAnswer{{result: WriteUnknown, applied: true}}
			s.submit("n1", "op1", berylplan.DrainInstance{ID: "w1"})
			n.answers = []writeAnswer{{result: WriteUnknown}, {result: WriteFailed}}
			s.submit("n1", "op2", berylplan.DrainInstance{ID: "w2"})
			n.answers = []writeAnswer{{result: WriteFailed}}
			s.submit("n1", "op3", berylplan.ReturnInstance{ID: "w2"})
			s.run(2 * time.Second)
			return s
		},
		// Guards against "not accepted" for a write that may have taken effect, and against changes by a node without a tenure.
		"platform_lost": func(*testing.T) *operateSimulation {
			s := newOperateSimulation(wideConfig(2), "n1")
			n := s.nodes["n1"]
			n.answers = []writeAnswer{{result: WriteUnknown, applied: true}}
			n.isolated = true
			s.submit("n1", "op1", berylplan.DrainInstance{ID: "w1"})
			s.run(11 * time.Second)
			s.submit("n1", "op2", berylplan.DrainInstance{ID: "w2"})
			s.submit("n1", "op1", berylplan.DrainInstance{ID: "w1"})
			n.isolated = false
			s.run(3 * time.Second)
			s.submit("n1", "op1", berylplan.DrainInstance{ID: "w1"})
			s.run(2 * time.Second)
			return s
		},
		// Guards against maintenance steps by a node without a tenure.
		"wave_node_cut": func(t *testing.T) *operateSimulation {
			s := newOperateSimulation(wideConfig(2), "n1", "n2")
			s.submit("n1", "op1", wave)
			s.run(4 * time.Second)
			s.note("n1 isolated")
			s.nodes["n1"].isolated = true
			s.workers["w1"].ignoresReboots = true
			s.run(6 * time.Second)
			s.workers["w1"].ignoresReboots = false
			s.runUntilWave(t, beryllatch.WaveDone)
			return s
		},
		// Guards against a wave that continues while workers have failed unexpectedly.
		"wave_rack_lost": func(t *testing.T) *operateSimulation {
			s := newOperateSimulation(wideConfig(2), "n1", "n2")
			s.submit("n1", "op1", wave)
			s.run(2 * time.Second)
			s.setDown(true, "w2", "w3", "w4")
			s.runUntilWave(t, beryllatch.WaveStopped)
			s.run(5 * time.Second)
			s.setDown(false, "w2", "w3", "w4")
			s.run(2 * time.Second)
			s.submit("n1", "op2", berylplan.ResumeWave{ID: "w"})
			s.runUntilWave(t, beryllatch.WaveDone)
			return s
		},
		// Guards against drains while a data centre is out of service, and against the reboot of a worker that is not idle.
		"wave_data_centre_out": func(t *testing.T) *operateSimulation {
			s := newOperateSimulation(wideConfig(2), "n1", "n2")
			s.workers["w1"].running = 1
			s.submit("n1", "op1", wave)
			s.run(10 * time.Second)
			s.submit("n2", "op2", berylplan.SetDataCentreOut{Name: "dc2", Out: true})
			s.run(5 * time.Second)
			s.note("w1 idle")
			s.workers["w1"].running = 0
			s.run(20 * time.Second)
			s.submit("n2", "op3", berylplan.SetDataCentreOut{Name: "dc2"})
			s.runUntilWave(t, beryllatch.WaveDone)
			return s
		},
		// Guards against a wave that stops when the node that took its last step crashes.
		"wave_node_dies": func(t *testing.T) *operateSimulation {
			s := newOperateSimulation(wideConfig(2), "n1", "n2")
			s.submit("n1", "op1", wave)
			s.run(4 * time.Second)
			s.nodes["n1"].crashAfterWrite = true
			s.runUntilWave(t, beryllatch.WaveDone)
			return s
		},
		// Guards against a node that has just started and stops a wave, since no worker has reported to it yet.
		"wave_node_starts": func(t *testing.T) *operateSimulation {
			s := newOperateSimulation(wideConfig(2), "n1")
			s.submit("n1", "op1", wave)
			s.run(2 * time.Second)
			s.nodes["n0"] = &operateNode{}
			s.send("n0", Started{Self: Identity{Node: "n0", Incarnation: "n0-1"}, Seed: 1})
			s.runUntilWave(t, beryllatch.WaveDone)
			return s
		},
		// Guards against a repeated call that is applied again after the record of the first one was dropped from the document.
		"operation_forgotten": func(*testing.T) *operateSimulation {
			s := newOperateSimulation(wideConfig(2), "n1")
			n := s.nodes["n1"]
			n.answers = []writeAnswer{{result: WriteUnknown, applied: true}}
			n.isolated = true
			s.submit("n1", "op1", berylplan.DrainInstance{ID: "w1"})
			s.run(11 * time.Second)
			n.isolated = false
			for k := range beryllatch.MaxOperations + 1 {
				s.head = s.head.WithOperation(beryllatch.Operation{ID: fmt.Sprintf("other%d", k), Operator: "bob"})
				s.head = s.head.WithVersion(s.head.Version + 1)
			}
			s.run(3 * time.Second)
			s.submit("n1", "op1", berylplan.DrainInstance{ID: "w1"})
			return s
		},
		// Guards against nodes that start with an empty table and never write a first configuration.
		"bootstrap": func(*testing.T) *operateSimulation {
			s := newOperateSimulation(beryllatch.Config{}, "n1", "n2")
			s.submit("n1", "op1", berylplan.PutTeam{Team: beryllatch.Team{Name: "red", Weight: 1, Ceiling: 4}})
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

// TestWaveRacesAtOneMoment guards against an instance that is rebooted twice because several nodes take the same step at the
// same time.
func TestWaveRacesAtOneMoment(t *testing.T) {
	s := newOperateSimulation(wideConfig(2), "n1", "n2", "n3")
	s.submit("n1", "op1", wave)
	names := []string{"n1", "n2", "n3"}
	for n := range 600 {
		for _, name := range names {
			s.nodes[name].holdWrites = true
		}
		s.run(time.Second)
		slices.Reverse(names)
		for _, name := range names {
			s.releaseWrites(name)
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
