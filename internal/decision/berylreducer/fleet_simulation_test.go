package berylreducer

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/beryllatch/beryllatch"
)

// callTimeout is the time after which a node stops waiting for the answer to a call to the table.
const callTimeout = 900 * time.Millisecond

// fleetSimulation runs the reducers of several nodes in virtual time, with a table in memory, simulated workers and a network
// that can lose, repeat and reorder messages.
type fleetSimulation struct {
	now  time.Duration
	rand *rand.Rand
	// unreliable makes calls and messages slow or lost at random.
	unreliable bool
	// grantCalls holds, by call id, the functions that send the answers to grant requests.
	grantCalls map[string]func(granted bool)
	// scheduled holds what happens later, in order of time.
	scheduled []scheduledCall
	nodes     []*simNode
	rows      map[string]NodeRow
	// knownLists holds the lists of known incarnations.
	knownLists map[string][]string
	units      map[string]UnitsRead
	configs    []beryllatch.Config
	// committed holds the times at which the configurations in configs were committed.
	committed []time.Duration
	// inForce is the highest version that a node has reported as in force on all nodes.
	inForce uint64
	// runs holds the executions that were sent to workers, by node, process and execution id.
	runs map[string]*simRun
	// started holds the executions that workers have started, in order of their starts.
	started []*simRun
	// workTime returns the run time of the next execution.
	workTime func() time.Duration
	// platform holds the claims.
	platform *fakePlatform
	// onEffect and onStart observe the effects of the nodes and the starts of executions. answerLost decides whether the
	// answer of an execution is lost.
	onEffect   func(*simNode, Effect)
	onStart    func(request string)
	answerLost func() bool
	log        strings.Builder
	// violation describes the first violation of a checked rule; empty if there is none.
	violation string
}

// simNode is one node of a fleetSimulation.
type simNode struct {
	r    *Reducer
	name string
	// process counts the node's processes and incarnations; events for an earlier one are dropped.
	process int
	// started is when the process started.
	started time.Duration
	// suspended is the total time during which the monotonic clock was stopped.
	suspended time.Duration
	down      bool
	// frozen is true while the process is paused; heldEvents are the events that it will handle afterwards.
	frozen      bool
	freezeCount int
	heldEvents  []Event
	// outage is true while the node cannot reach the platform, isolated while it cannot reach its peers.
	outage   bool
	isolated bool
	// partition is the network partition of the node; messages between partitions are lost.
	partition int
	// slowConfigReads delays the answers to reads of the configuration.
	slowConfigReads bool
	// losesClaimAnswer loses the answer to the next call on a claim.
	losesClaimAnswer bool
	faults           faults
	// rowWritten is true once the current incarnation has written its node row.
	rowWritten bool
}

// simRun is one execution; start is 0 until a worker starts it, and end is at most the end of its lease.
type simRun struct {
	node  string
	team  string
	start time.Duration
	end   time.Duration
}

// scheduledCall is a function that is called at a time.
type scheduledCall struct {
	at time.Duration
	do func()
}

func newFleetSimulation(seed uint64, f faults) *fleetSimulation {
	return newFleetSimulationOf(3, sampleConfig(), seed, f)
}

func newFleetSimulationOf(nodes int, c beryllatch.Config, seed uint64, f faults) *fleetSimulation {
	s := &fleetSimulation{
		rand: rand.New(rand.NewPCG(seed, 1)), rows: map[string]NodeRow{}, knownLists: map[string][]string{}, units: map[string]UnitsRead{},
		runs: map[string]*simRun{}, grantCalls: map[string]func(bool){}, configs: []beryllatch.Config{c}, committed: []time.Duration{0},
		platform: newFakePlatform(), onEffect: func(*simNode, Effect) {}, onStart: func(string) {},
		answerLost: func() bool { return false },
	}
	s.workTime = func() time.Duration { return time.Second }
	for i := range nodes {
		n := &simNode{name: fmt.Sprintf("n%d", i+1), faults: f, down: true}
		s.nodes = append(s.nodes, n)
		s.boot(n)
	}
	return s
}

func (s *fleetSimulation) boot(n *simNode) {
	n.process++
	n.r = &Reducer{faults: n.faults}
	n.down, n.frozen, n.heldEvents, n.rowWritten = false, false, nil, false
	n.started, n.suspended = s.now, 0
	s.reduce(n, Started{Self: s.identity(n), Seed: uint64(n.process)})
	s.tick(n, n.process)
}

func (s *fleetSimulation) identity(n *simNode) Identity {
	return Identity{Node: n.name, Incarnation: fmt.Sprintf("%s-%d", n.name, n.process), PeerAddress: n.name + ":1"}
}

func (s *fleetSimulation) tick(n *simNode, process int) {
	if n.process == process && !n.down {
		if !n.frozen {
			s.reduce(n, Ticked{})
		}
		s.after(100*time.Millisecond, func() { s.tick(n, process) })
	}
}

func (s *fleetSimulation) after(d time.Duration, do func()) {
	at := s.now + d
	i, _ := slices.BinarySearchFunc(s.scheduled, at, func(j scheduledCall, at time.Duration) int { return cmp.Or(cmp.Compare(j.at, at), -1) })
	s.scheduled = slices.Insert(s.scheduled, i, scheduledCall{at, do})
}

// run advances the time by d and makes the scheduled calls that become due.
func (s *fleetSimulation) run(d time.Duration) {
	end := s.now + d
	for len(s.scheduled) > 0 && s.scheduled[0].at <= end {
		j := s.scheduled[0]
		s.scheduled = s.scheduled[1:]
		s.now = j.at
		j.do()
	}
	s.now = end
}

func (s *fleetSimulation) instant(n *simNode) Instant {
	return Instant{Mono: s.now - n.started - n.suspended, Wall: sessionStart.Add(s.now)}
}

// deliver passes an event to the reducer, unless it is meant for an earlier process.
func (s *fleetSimulation) deliver(n *simNode, process int, e Event) {
	switch {
	case n.process != process || n.down:
	case n.frozen:
		n.heldEvents = append(n.heldEvents, e)
	default:
		s.reduce(n, e)
	}
}

func (s *fleetSimulation) reduce(n *simNode, e Event) {
	before := n.r.config.Version
	for _, x := range n.r.Reduce(s.instant(n), e) {
		s.record(n, x)
		s.onEffect(n, x)
		s.perform(n, x)
	}
	if n.r.config.Version < before {
		s.fail("%s reverts from version %d to %d", n.name, before, n.r.config.Version)
	}
}

func (s *fleetSimulation) fail(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("%.3f ", s.now.Seconds()) + fmt.Sprintf(format, args...)
	}
}

// record logs the effects that are visible to users and operators.
func (s *fleetSimulation) record(n *simNode, x Effect) {
	switch d := x.(type) {
	case Dispatch:
		// The worker is omitted, since other tests check its choice.
		fmt.Fprintf(&s.log, "%8.3f %s Dispatch %s\n", s.now.Seconds(), n.name, d.Execution.ID)
	case LogState, SetReady, ConfigInForce, Reincarnate, DeleteNode, Stop, Refuse, WriteUnits:
		fmt.Fprintf(&s.log, "%8.3f %s %s\n", s.now.Seconds(), n.name, text(x))
	}
}

// latency returns a random delay, which is sometimes long if the network is unreliable.
func (s *fleetSimulation) latency() time.Duration {
	d := time.Millisecond + time.Duration(s.rand.IntN(10))*time.Millisecond
	if s.unreliable && s.rand.IntN(15) == 0 {
		d += time.Duration(s.rand.IntN(3000)) * time.Millisecond
	}
	return d
}

func (s *fleetSimulation) messageLost() bool { return s.unreliable && s.rand.IntN(30) == 0 }

// call makes a call to the table, where apply carries it out and returns the answer. The node receives failed instead if the
// call certainly had no effect, and unknown if the answer does not arrive in time; the call may then still take effect.
func (s *fleetSimulation) call(n *simNode, apply func() Event, failed, unknown Event) {
	process := n.process
	if n.outage {
		s.after(s.latency(), func() { s.deliver(n, process, failed) })
		return
	}
	there, back := s.latency(), s.latency()
	answered := there+back < callTimeout && !s.messageLost()
	s.after(there, func() {
		if e := apply(); answered {
			s.after(back, func() { s.deliver(n, process, e) })
		}
	})
	if !answered {
		s.after(callTimeout, func() { s.deliver(n, process, unknown) })
	}
}

// message calls do at the peer once, twice or not at all.
func (s *fleetSimulation) message(from *simNode, to Identity, do func(*simNode)) {
	i := slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.name == to.Node })
	n := s.nodes[i]
	process := n.process
	for times := 1 + s.rand.IntN(8)/7; times > 0; times-- {
		if from.isolated || n.isolated || from.partition != n.partition || s.messageLost() || n.down || n.r.self.Incarnation != to.Incarnation {
			return
		}
		s.after(s.latency(), func() {
			if n.process == process {
				do(n)
			}
		})
	}
}

func (s *fleetSimulation) perform(n *simNode, x Effect) {
	process := n.process
	switch x := x.(type) {
	case RenewTenure:
		s.renew(n, x)
	case ReadKnownIncarnations:
		s.readKnownIncarnations(n, x)
	case ReadConfig:
		s.readConfig(n)
	case ReadUnits:
		failed := UnitsReadFailed(x)
		s.call(n, func() Event { return s.readUnits(x.Team) }, failed, failed)
	case WriteUnits:
		result := UnitsWritten{Team: x.Row.Team, Row: x.Row, Version: x.Expect + 1}
		unknown, failed := result, result
		unknown.Result, failed.Result = WriteUnknown, WriteFailed
		s.call(n, func() Event { result.Result = s.writeUnits(x); return result }, failed, unknown)
	case DeleteNode:
		done := NodeDeleted{Incarnation: x.Node.Incarnation, Result: WriteDone}
		unknown := NodeDeleted{Incarnation: x.Node.Incarnation, Result: WriteUnknown}
		s.call(n, func() Event {
			if v := s.rows[x.Node.Incarnation].Version; v == x.Node.Version || n.r.self.Incarnation == x.Node.Incarnation {
				delete(s.rows, x.Node.Incarnation)
			}
			return done
		}, unknown, unknown)
	case Reincarnate:
		s.after(time.Millisecond, func() {
			if n.process == process {
				n.process++
				n.rowWritten = false
				s.tick(n, n.process)
				s.deliver(n, n.process, Reincarnated{Self: s.identity(n)})
			}
		})
	case Stop:
		n.down = true
	case Dispatch:
		s.dispatch(n, x)
	case WriteClaim:
		s.callClaim(n, x, x.ID)
	case FinishClaim:
		s.callClaim(n, x, x.ID)
	case ReleaseClaim:
		s.callClaim(n, x, x.ID)
	case ReadClaim:
		s.callClaim(n, x, x.ID)
	default:
		s.performMessage(n, x)
	}
}

// readConfig delivers the configuration, possibly long after it was read and after a later version.
func (s *fleetSimulation) readConfig(n *simNode) {
	process := n.process
	if n.outage || s.messageLost() {
		return
	}
	s.after(s.latency(), func() {
		c := s.configs[len(s.configs)-1]
		back := s.latency()
		if n.slowConfigReads || s.unreliable && s.rand.IntN(3) == 0 {
			back += time.Duration(s.rand.IntN(4000)) * time.Millisecond
		}
		s.after(back, func() { s.deliver(n, process, ConfigRead{Config: c}) })
	})
}

func (s *fleetSimulation) performMessage(n *simNode, x Effect) {
	self, process := n.r.self, n.process
	answer := func(to *simNode) {
		s.message(to, self, func(n *simNode) {
			s.deliver(n, process, HeartbeatReceived{From: to.r.self, ConfigVersion: to.r.config.Version, Demand: to.r.demand()})
		})
	}
	switch x := x.(type) {
	case SendHeartbeats:
		sent := s.instant(n)
		for _, p := range x.Peers {
			s.message(n, p, func(to *simNode) {
				s.deliver(to, to.process, HeartbeatReceived{From: self, ConfigVersion: x.ConfigVersion, Demand: x.Demand})
				if !x.AskGrant {
					answer(to)
					return
				}
				id := fmt.Sprint(len(s.grantCalls))
				s.grantCalls[id] = func(granted bool) {
					reply := HeartbeatReceived{From: to.r.self, ConfigVersion: to.r.config.Version, GrantRequestedAt: sent, Granted: granted}
					s.message(to, self, func(n *simNode) { s.deliver(n, process, reply) })
				}
				s.deliver(to, to.process, GrantRequested{From: self, CallID: id})
			})
		}
	case ReplyGrant:
		s.grantCalls[x.CallID](x.Granted)
	case NotifyConfig:
		for _, p := range x.Peers {
			s.message(n, p, func(to *simNode) {
				s.deliver(to, to.process, ConfigNotified{Version: x.Version})
				answer(to)
			})
		}
	case RequestUnits:
		s.message(n, x.Peer, func(to *simNode) {
			request := UnitsRequested{Team: x.Team, Incarnation: self.Incarnation, Units: x.Units, Demand: x.Demand}
			s.deliver(to, to.process, request)
		})
	case NotifyUnits:
		s.message(n, x.Peer, func(to *simNode) { s.deliver(to, to.process, UnitsTransferred{Team: x.Team}) })
	case ConfigInForce:
		if x.InForce {
			s.inForce = max(s.inForce, x.Version)
		}
	}
}

// renew carries out a RenewTenure effect. As the effect requires, a missing row means that the node was replaced only if its
// first write was completed.
func (s *fleetSimulation) renew(n *simNode, x RenewTenure) {
	sent := s.instant(n)
	failed := RenewalFailed{SentAt: sent}
	s.call(n, func() Event {
		old := s.rows[x.Row.Incarnation]
		switch {
		case old.Version == 0 && n.rowWritten:
			return RenewalFailed{SentAt: sent, Replaced: true}
		case old.Renewal >= x.Row.Renewal:
			return failed
		}
		n.rowWritten = n.rowWritten || x.Row.Incarnation == n.r.self.Incarnation
		row := x.Row
		row.Version = old.Version + 1
		s.knownLists[row.Incarnation] = row.Known
		row.Known = nil
		s.rows[row.Incarnation] = row
		e := Renewed{SentAt: sent, HeadVersion: s.configs[len(s.configs)-1].Version, NodesSkipped: x.SkipNodes}
		if !x.SkipNodes {
			for _, id := range beryllatch.SortedKeys(s.rows) {
				e.Nodes = append(e.Nodes, s.rows[id])
			}
		}
		return e
	}, failed, failed)
}

// readKnownIncarnations reads lists of known incarnations, which are kept when their node rows are deleted. A call without
// an answer delivers no lists.
func (s *fleetSimulation) readKnownIncarnations(n *simNode, x ReadKnownIncarnations) {
	sent := s.instant(n)
	s.call(n, func() Event {
		known := map[string][]string{}
		for _, id := range x.Incarnations {
			known[id] = s.knownLists[id]
		}
		return KnownIncarnationsRead{SentAt: sent, Known: known}
	}, KnownIncarnationsRead{SentAt: sent}, KnownIncarnationsRead{SentAt: sent})
}

func (s *fleetSimulation) readUnits(team string) UnitsRead {
	e := s.units[team]
	e.Team = team
	e.Row.Holdings = maps.Clone(e.Row.Holdings)
	return e
}

func (s *fleetSimulation) writeUnits(x WriteUnits) WriteResult {
	for _, c := range x.Checks {
		if s.rows[c.Incarnation].Version != c.Version {
			return WriteConflict
		}
	}
	if s.units[x.Row.Team].Version != x.Expect {
		return WriteConflict
	}
	row := x.Row
	row.Holdings = maps.Clone(row.Holdings)
	s.units[row.Team] = UnitsRead{Row: row, Version: x.Expect + 1}
	return WriteDone
}

// dispatch sends an execution to a worker, which refuses it after its start-by time and ends it when its lease expires.
func (s *fleetSimulation) dispatch(n *simNode, x Dispatch) {
	process, team := n.process, x.Execution.Team
	id := fmt.Sprintf("%s.%d.%s", n.name, process, x.Execution.ID)
	run := &simRun{node: n.name, team: team, end: x.Execution.LeaseExpiry.Sub(sessionStart)}
	s.runs[id] = run
	s.checkStart(n, team)
	s.after(s.latency(), func() {
		e := ExecutionEnded{ID: x.ID, Attempt: x.Attempt, Outcome: beryllatch.OutcomeRefused}
		if sessionStart.Add(s.now).After(x.Execution.StartBy) {
			run.end = s.now
			s.after(s.latency(), func() { s.deliver(n, process, e) })
			return
		}
		s.onStart(x.ID)
		run.start, run.end = s.now, min(run.end, s.now+s.workTime())
		s.started = append(s.started, run)
		if s.answerLost() {
			e.Outcome, e.Reason, e.Replayable = beryllatch.OutcomeUnknown, beryllatch.ReasonAnswerLost, true
			s.after(run.end-s.now+s.latency(), func() { s.deliver(n, process, e) })
			return
		}
		e.Outcome = beryllatch.OutcomeAnswered
		s.after(max(0, run.end-s.now)+s.latency(), func() { s.deliver(n, process, e) })
	})
}

// checkStart checks, when a node sends work, that it uses a version that is at least the one in force, and that the team's
// work stays within its ceiling.
func (s *fleetSimulation) checkStart(n *simNode, team string) {
	if v := n.r.config.Version; v < s.inForce {
		s.fail("%s starts work under version %d while %d is in force", n.name, v, s.inForce)
	}
	ceiling, running := 0, 0
	for _, c := range s.configs {
		if c.Version >= s.inForce {
			ceiling = max(ceiling, c.Teams[team].Ceiling)
		}
	}
	for _, run := range s.runs {
		if run.team == team && run.end > s.now {
			running++
		}
	}
	if running > ceiling {
		s.fail("%s starts work %d of team %s above the ceiling %d", n.name, running, team, ceiling)
	}
}
