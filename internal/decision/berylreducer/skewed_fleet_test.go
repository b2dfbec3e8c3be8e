package berylreducer

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

const (
	skewedNodes = 8
	// skewedSeeds is the number of seeds. With seed 0 the network is reliable, so the progress of the work is checked too.
	skewedSeeds   = 3
	arrivalPeriod = 50 * time.Millisecond
	// longRun is longer than 95% of the executions.
	longRun = 2 * time.Second
	// progressWindow is the longest allowed time without a start of work.
	progressWindow = 5 * time.Second
	// allowedIdleUnits is the number of units that the less busy nodes may hold idle although others need them.
	allowedIdleUnits = 4
	// unitReturnTime is the time after which the units of a crashed node are reclaimed: the wait for the expiry of its tenure,
	// the longest lease and the delays between the nodes' clean-up attempts.
	unitReturnTime = expiryWait + longestLease + skewedNodes*cleanupStagger
)

// skewedFleet simulates eight nodes behind a load balancer that sends most requests to the first nodes that are ready.
type skewedFleet struct {
	*fleetSimulation
	// ready holds the nodes that the load balancer considers ready.
	ready           []*simNode
	sent            int
	arrivalsStopped bool
	// exhausted holds, by team, the times at which its whole ceiling was used by long executions and by units of nodes that
	// are not ready.
	exhausted map[string][]time.Duration
	// windows counts the time windows in which work had to be started.
	windows    int
	violations []string
}

func newSkewedFleet(seed uint64, f faults) *skewedFleet {
	c := sampleConfig().
		WithTeam(beryllatch.Team{Name: "red", Weight: 3, Ceiling: 24}).WithTeam(beryllatch.Team{Name: "blue", Weight: 1, Ceiling: 10})
	for _, i := range c.Instances {
		// The ceilings must limit the work, not the workers' slots.
		i.Slots, i.Connections = 64, 128
		c = c.WithInstance(i)
	}
	s := &skewedFleet{fleetSimulation: newFleetSimulationOf(skewedNodes, c, seed, f), exhausted: map[string][]time.Duration{}}
	s.unreliable = seed > 0
	s.workTime = func() time.Duration {
		if s.rand.IntN(20) == 0 {
			return time.Duration(s.rand.IntN(60)) * time.Second
		}
		return time.Duration(100+s.rand.IntN(1900)) * time.Millisecond
	}
	s.run(2 * reserveSpread)
	s.probe()
	s.arrive()
	s.run(20 * time.Second)
	return s
}

// probe is the load balancer's health check, which notices a change up to a second late. It also records exhausted ceilings.
func (s *skewedFleet) probe() {
	s.ready = nil
	for _, n := range s.nodes {
		if !n.down && !n.frozen && n.r.mayStart() {
			s.ready = append(s.ready, n)
		}
	}
	for team, row := range s.units {
		remaining := s.configs[len(s.configs)-1].Teams[team].Ceiling
		for id, n := range row.Row.Holdings {
			if !slices.ContainsFunc(s.ready, func(m *simNode) bool { return m.r.self.Incarnation == id }) {
				remaining -= n
			}
		}
		for _, run := range s.runs {
			long := run.team == team && run.start > 0 && run.start < s.now-longRun && run.end > s.now
			if long && slices.ContainsFunc(s.ready, func(m *simNode) bool { return m.name == run.node }) {
				remaining--
			}
		}
		if remaining <= 0 {
			s.exhausted[team] = append(s.exhausted[team], s.now)
		}
	}
	s.after(time.Second, s.probe)
}

// arrive sends more requests than the ceilings allow to run: four of seven to the first ready node, two to the second, and
// one to the other nodes in turn.
func (s *skewedFleet) arrive() {
	if s.arrivalsStopped {
		return
	}
	for range 2 {
		if len(s.ready) == 0 {
			break
		}
		i := min([]int{0, 0, 0, 0, 1, 1, 2 + s.sent/7%skewedNodes}[s.sent%7], len(s.ready)-1)
		deadline := time.Duration(1+s.rand.IntN(5)) * time.Second
		if s.rand.IntN(10) == 0 {
			deadline = maxDeadline
		}
		key := string("1112"[s.rand.IntN(4)])
		s.sent++
		n := s.ready[i]
		s.deliver(n, n.process, RequestArrived{
			ID: fmt.Sprintf("s%d", s.sent), KeyHash: strings.Repeat(key, 64), Queue: "price", Deadline: deadline,
		})
	}
	for id, run := range s.runs {
		if run.end <= s.now {
			delete(s.runs, id)
		}
	}
	s.after(arrivalPeriod, s.arrive)
}

// changeCeiling sets the ceiling of the team red through the first node that may change it.
func (s *skewedFleet) changeCeiling(ceiling int) {
	before := len(s.configs)
	for _, n := range s.nodes {
		if s.commit(n, ceiling); len(s.configs) > before {
			return
		}
	}
}

// changeCeilings advances the time by d, and lowers and raises the ceiling meanwhile.
func (s *skewedFleet) changeCeilings(d time.Duration) {
	s.run(d / 4)
	s.changeCeiling(6 + s.rand.IntN(6))
	s.run(d / 4)
	s.changeCeiling(20 + s.rand.IntN(8))
	s.run(d / 4)
	s.changeCeiling(14 + s.rand.IntN(8))
	s.run(d / 4)
}

// ceiling is the team's highest ceiling under which work may start at the given time. A configuration can be used until the
// tenures that began before the commit of the next one have ended.
func (s *skewedFleet) ceiling(team string, at time.Duration) int {
	highest := 0
	for i, c := range s.configs {
		if s.committed[i] <= at && (i+1 == len(s.configs) || at < s.committed[i+1]+tenureLength) {
			highest = max(highest, c.Teams[team].Ceiling)
		}
	}
	return highest
}

// checkCeilings checks the starts of the whole simulation against the ceilings, and adds violations found earlier.
func (s *skewedFleet) checkCeilings() {
	if s.violation != "" {
		s.violations = append(s.violations, s.violation)
	}
	var running []*simRun
	for _, run := range s.started {
		running = slices.DeleteFunc(running, func(r *simRun) bool { return r.end <= run.start })
		running = append(running, run)
		if n, limit := s.count(running, run.team), s.ceiling(run.team, run.start); n > limit {
			s.violations = append(s.violations, fmt.Sprintf(
				"%.3f %s starts work %d of team %s above the ceiling %d", run.start.Seconds(), run.node, n, run.team, limit,
			))
			return
		}
	}
}

// count returns the number of the team's executions.
func (s *skewedFleet) count(running []*simRun, team string) int {
	n := 0
	for _, run := range running {
		if run.team == team {
			n++
		}
	}
	return n
}

// requireProgress requires that some of the nodes start work of each team in each progressWindow between the time from and
// now. Windows in which the team's ceiling was exhausted are skipped.
func (s *skewedFleet) requireProgress(phase string, from time.Duration, nodes ...*simNode) {
	if s.unreliable {
		return
	}
	for ; from+progressWindow <= s.now; from += progressWindow {
		for _, team := range []string{"blue", "red"} {
			if slices.ContainsFunc(s.exhausted[team], func(at time.Duration) bool {
				return at >= from-progressWindow && at < from+progressWindow
			}) {
				continue
			}
			s.windows++
			if !slices.ContainsFunc(s.started, func(r *simRun) bool {
				inWindow := r.team == team && r.start >= from && r.start < from+progressWindow
				return inWindow && slices.ContainsFunc(nodes, func(n *simNode) bool { return n.name == r.node })
			}) {
				s.violations = append(s.violations, fmt.Sprintf("%s: no work of team %s from %v", phase, team, from))
				return
			}
		}
	}
}

// requireFullCeiling requires that at some time since from, the team's running work has reached its ceiling minus spare.
func (s *skewedFleet) requireFullCeiling(phase, team string, from time.Duration, spare int) {
	if s.unreliable {
		return
	}
	var running []*simRun
	peak := 0
	for _, run := range s.started {
		running = slices.DeleteFunc(running, func(r *simRun) bool { return r.end <= run.start })
		running = append(running, run)
		if run.start >= from {
			peak = max(peak, s.count(running, team))
		}
	}
	if limit := s.configs[len(s.configs)-1].Teams[team].Ceiling; peak < limit-spare {
		s.violations = append(s.violations, fmt.Sprintf("%s: team %s reaches %d of its ceiling %d", phase, team, peak, limit))
	}
}

// kill crashes the busiest node, and restarts it after its units have been reclaimed.
func (s *skewedFleet) kill() {
	busiest := s.nodes[0]
	busiest.down = true
	from := s.now
	s.changeCeilings(30 * time.Second)
	s.run(unitReturnTime)
	s.requireProgress("kill", from+progressWindow, s.nodes[1:]...)
	s.requireFullCeiling("kill", "red", s.now-progressWindow, allowedIdleUnits)
	s.boot(busiest)
	s.run(20 * time.Second)
}

// freezeNodes freezes the busiest node for longer than its tenure, and the second one until its row has been removed. Both
// then continue.
func (s *skewedFleet) freezeNodes() {
	from := s.now
	s.freeze(s.nodes[0], 3*tenureLength, s.rand.IntN(2) == 0)
	s.changeCeilings(16 * time.Second)
	s.freeze(s.nodes[1], 2*unitReturnTime, false)
	s.changeCeilings(2 * unitReturnTime)
	s.run(20 * time.Second)
	s.requireProgress("freeze", from+progressWindow, s.nodes...)
	s.requireFullCeiling("freeze", "red", s.now-progressWindow, allowedIdleUnits)
}

// partitionNodes cuts the connection between the two busiest nodes and the others, while all of them reach the platform.
func (s *skewedFleet) partitionNodes() {
	from := s.now
	for _, n := range s.nodes[:2] {
		n.partition = 1
	}
	s.changeCeilings(time.Minute)
	for _, n := range s.nodes {
		n.partition = 0
	}
	s.run(10 * time.Second)
	s.requireProgress("partition", from, s.nodes...)
	s.requireFullCeiling("partition", "red", s.now-progressWindow, allowedIdleUnits)
}

// outages makes the platform unavailable to all nodes for minutes, then to all but one, which is not among the busiest.
func (s *skewedFleet) outages() {
	from := s.now
	for _, n := range s.nodes {
		n.outage = true
	}
	s.run(5 * time.Minute)
	s.requireProgress("outage of all", from, s.nodes...)
	alone := s.nodes[4]
	alone.outage = false
	from = s.now
	s.changeCeilings(3 * time.Minute)
	for _, run := range s.started {
		if run.node != alone.name && run.start > from+tenureLength {
			s.violations = append(s.violations, fmt.Sprintf("%s starts work without the platform at %v", run.node, run.start))
			break
		}
	}
	s.requireProgress("one node alone", from+2*progressWindow, alone)
	s.requireFullCeiling("one node alone", "red", s.now-progressWindow, allowedIdleUnits)
	for _, n := range s.nodes {
		n.outage = false
	}
	s.run(20 * time.Second)
}

// endFaults ends the faults and requires that all units can be used again: no expired incarnation holds any, and the least
// busy node alone can use each team's whole ceiling.
func (s *skewedFleet) endFaults() {
	s.arrivalsStopped, s.unreliable = true, false
	s.workTime = func() time.Duration { return time.Minute }
	s.run(unitReturnTime + longestLease)
	last := s.nodes[skewedNodes-1]
	for key, team := range map[string]string{"1": "red", "2": "blue"} {
		for range s.ceiling(team, s.now) {
			s.sent++
			s.deliver(last, last.process, RequestArrived{
				ID: fmt.Sprintf("last%d", s.sent), KeyHash: strings.Repeat(key, 64), Queue: "price", Deadline: maxDeadline,
			})
		}
	}
	from := s.now
	s.run(20 * time.Second)
	for _, team := range []string{"blue", "red"} {
		s.requireFullCeiling("end", team, from, 0)
		for id, n := range s.units[team].Row.Holdings {
			if !slices.ContainsFunc(s.nodes, func(m *simNode) bool { return !m.down && m.r.self.Incarnation == id }) {
				s.violations = append(s.violations, fmt.Sprintf("%d units of team %s are left with %s", n, team, id))
			}
		}
	}
}

// Guards against work above a ceiling, and against units that are lost or remain unused. Eight nodes have very unequal load,
// and crash, freeze, and lose the connection to each other and to the platform, while ceilings change.
func TestSkewedFleet(t *testing.T) {
	for seed := range uint64(skewedSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSkewedFleet(seed, faults{})
			s.kill()
			s.freezeNodes()
			s.partitionNodes()
			s.outages()
			s.endFaults()
			s.checkCeilings()
			assert.DeepEqual(t, s.violations, []string(nil))
			t.Logf("%d requests, %d starts, %d configurations, %d windows of work", s.sent, len(s.started), len(s.configs), s.windows)
		})
	}
}

// Guards against checks of TestSkewedFleet that also pass without the mechanisms that they are meant to test.
func TestSkewedFleetNeedsItsMechanisms(t *testing.T) {
	for _, c := range []struct {
		name     string
		simulate func(*skewedFleet)
		faults   faults
	}{
		{"kill without the lapse wait", (*skewedFleet).kill, faults{ignoreExpiryWait: true}},
		{"freeze without the lapse wait", (*skewedFleet).freezeNodes, faults{ignoreExpiryWait: true}},
		{"outage without the lapse wait", (*skewedFleet).outages, faults{ignoreExpiryWait: true}},
		{"lost writes without the read back", (*skewedFleet).partitionNodes, faults{trustRead: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulate := func(seed uint64, f faults) string {
				s := newSkewedFleet(seed, f)
				c.simulate(s)
				s.checkCeilings()
				return strings.Join(s.violations, "\n")
			}
			found, seed := "", uint64(0)
			for ; seed < modelSeeds && !strings.Contains(found, "above the ceiling"); seed++ {
				found = simulate(seed, c.faults)
			}
			assert.Assert(t, strings.Contains(found, "above the ceiling"), "found %q", found)
			assert.Equal(t, simulate(seed-1, faults{}), "", "seed %d with the mechanism", seed-1)
			t.Log(found)
		})
	}
}
