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
	// skewedSeeds are the seeds of the skewed fleet; seed 0 has a network without losses, so that work must go on.
	skewedSeeds   = 3
	arrivalPeriod = 50 * time.Millisecond
	// longRun is longer than all but a twentieth of the executions.
	longRun = 2 * time.Second
	// progressWindow is the longest time without a start where work must go on.
	progressWindow = 5 * time.Second
	// allowedIdleUnits bounds the units that the less busy nodes hold idle while the others could use them.
	allowedIdleUnits = 4
	// unitReturnTime is when a lapsed node's units have returned: the lapse, the longest lease and the clean-up of all nodes.
	unitReturnTime = lapseWait + longestLease + skewedNodes*cleanupStagger
)

// skewedFleet is a world of eight nodes behind a balancer that sends most requests to the first nodes that are ready.
type skewedFleet struct {
	*fleetSimulation
	ready           []*simNode
	sent            int
	arrivalsStopped bool
	// exhausted holds the times at which the units of nodes that are not ready and long executions took a team's whole
	// ceiling, by team.
	exhausted  map[string][]time.Duration
	windows    int
	violations []string
}

func newSkewedFleet(seed uint64, f faults) *skewedFleet {
	c := sampleConfig().
		WithTeam(beryllatch.Team{Name: "red", Weight: 3, Ceiling: 24}).WithTeam(beryllatch.Team{Name: "blue", Weight: 1, Ceiling: 10})
	for _, i := range c.Instances {
		// The ceilings, and not the workers' slots, bound the work.
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

// probe is the balancer's health check; it notices a change up to a second late.
func (s *skewedFleet) probe() {
	s.ready = nil
	for _, n := range s.nodes {
		if !n.down && !n.frozen && n.r.mayStart() {
			s.ready = append(s.ready, n)
		}
	}
	for team, row := range s.units {
		safe := s.configs[len(s.configs)-1].Teams[team].Ceiling
		for id, n := range row.Row.Holdings {
			if !slices.ContainsFunc(s.ready, func(m *simNode) bool { return m.r.self.Incarnation == id }) {
				safe -= n
			}
		}
		for _, run := range s.runs {
			long := run.team == team && run.start > 0 && run.start < s.now-longRun && run.end > s.now
			if long && slices.ContainsFunc(s.ready, func(m *simNode) bool { return m.name == run.node }) {
				safe--
			}
		}
		if safe <= 0 {
			s.exhausted[team] = append(s.exhausted[team], s.now)
		}
	}
	s.after(time.Second, s.probe)
}

// arrive sends more work than the ceilings hold: four requests of seven to the first ready node, two to the second, and
// the others in turn.
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

// changeCeilings lets d pass and changes the ceiling within it, down and up.
func (s *skewedFleet) changeCeilings(d time.Duration) {
	s.run(d / 4)
	s.changeCeiling(6 + s.rand.IntN(6))
	s.run(d / 4)
	s.changeCeiling(20 + s.rand.IntN(8))
	s.run(d / 4)
	s.changeCeiling(14 + s.rand.IntN(8))
	s.run(d / 4)
}

// ceiling is the highest one under which a worker may start the team's work at a time: a configuration counts until the
// end of the tenures that began before the next one.
func (s *skewedFleet) ceiling(team string, at time.Duration) int {
	highest := 0
	for i, c := range s.configs {
		if s.committed[i] <= at && (i+1 == len(s.configs) || at < s.committed[i+1]+tenureLength) {
			highest = max(highest, c.Teams[team].Ceiling)
		}
	}
	return highest
}

// checkCeilings compares the workers' record of the whole run with the ceilings.
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

func (s *skewedFleet) count(running []*simRun, team string) int {
	n := 0
	for _, run := range running {
		if run.team == team {
			n++
		}
	}
	return n
}

// requireProgress requires starts of each team at the nodes, together, in each window from a time until now, but where nothing of
// the ceiling is left: nodes that are not ready hold units for work that may still run, and executions take long.
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
				in := r.team == team && r.start >= from && r.start < from+progressWindow
				return in && slices.ContainsFunc(nodes, func(n *simNode) bool { return n.name == r.node })
			}) {
				s.violations = append(s.violations, fmt.Sprintf("%s: no work of team %s from %v", phase, team, from))
				return
			}
		}
	}
}

// requireFullCeiling requires that the team's running work has reached its ceiling, but for spare units of other nodes, within the time
// until now.
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

// kill ends the busiest node without notice, and replaces it after its units have returned.
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

// freezeNodes stops the busiest node past its tenure, and the second one until its row has been removed; both return.
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

// partitionNodes cuts the two busiest nodes from the others; all of them reach the platform.
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
	s.requireProgress("cut", from, s.nodes...)
	s.requireFullCeiling("cut", "red", s.now-progressWindow, allowedIdleUnits)
}

// outages takes the platform from all nodes for minutes, then from all but one, which is not among the busiest.
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

// endFaults ends the faults and requires that all units are back: none is left with a lapsed incarnation, and the least busy
// node alone can use each team's whole ceiling.
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

// Guards against work above a ceiling, and units that are lost or stay unused, when eight nodes have very unequal load
// and are killed, frozen, cut from each other and from the platform while ceilings change.
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

// Guards against a judgement of the skewed fleet that holds without the mechanisms that it is meant for.
func TestSkewedFleetNeedsItsMechanisms(t *testing.T) {
	for _, c := range []struct {
		name     string
		simulate func(*skewedFleet)
		faults   faults
	}{
		{"kill without the lapse wait", (*skewedFleet).kill, faults{ignoreLapseWait: true}},
		{"freeze without the lapse wait", (*skewedFleet).freezeNodes, faults{ignoreLapseWait: true}},
		{"outage without the lapse wait", (*skewedFleet).outages, faults{ignoreLapseWait: true}},
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
