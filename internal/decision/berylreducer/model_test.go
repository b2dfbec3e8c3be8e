package berylreducer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

const (
	modelSeeds = 12
	modelSteps = 200
	// stuckCheckSeeds is the number of seeds that are also checked for stuck nodes, which takes the longest time: it waits until
	// tenures are certain to have expired.
	stuckCheckSeeds = 2
)

// exploreFaults runs three nodes under random faults and returns the first violation.
func exploreFaults(seed uint64, f faults) (*fleetSimulation, string) {
	s := newFleetSimulation(seed, f)
	s.unreliable = true
	s.workTime = func() time.Duration {
		if s.rand.IntN(6) == 0 {
			return time.Duration(s.rand.IntN(60)) * time.Second
		}
		return time.Duration(s.rand.IntN(2000)) * time.Millisecond
	}
	s.run(reserveSpread)
	for step := 0; step < modelSteps && s.violation == ""; step++ {
		s.step(step)
		s.run(time.Duration(s.rand.IntN(3000)) * time.Millisecond)
		for id, run := range s.runs {
			if run.end <= s.now {
				delete(s.runs, id)
			}
		}
	}
	return s, s.violation
}

// stuckAfterFaults ends all faults, waits until the tenures of crashed nodes are certain to have expired, and returns the
// nodes that then cannot run a request.
func (s *fleetSimulation) stuckAfterFaults() []string {
	s.unreliable = false
	s.workTime = func() time.Duration { return time.Second }
	for _, n := range s.nodes {
		n.outage, n.isolated = false, false
		s.freeze(n, 0, false)
	}
	s.run(2 * longestLease)
	s.bootAll()
	s.run(unlistedExpiryWait + 2*longestLease)
	for _, n := range s.nodes {
		s.requestBy(n, "last", time.Minute)
	}
	s.run(time.Minute)
	var stuck []string
	for _, n := range s.nodes {
		if !strings.Contains(s.log.String(), n.name+" Dispatch last.1") {
			stuck = append(stuck, n.name)
		}
	}
	return stuck
}

func (s *fleetSimulation) step(step int) {
	n := s.nodes[s.rand.IntN(len(s.nodes))]
	for i := range s.rand.IntN(6) {
		s.request(s.nodes[s.rand.IntN(len(s.nodes))], fmt.Sprintf("q%d.%d", step, i))
	}
	switch s.rand.IntN(24) {
	case 0:
		n.down = true
		s.after(time.Duration(s.rand.IntN(90))*time.Second, func() { s.bootAll() })
	case 1:
		s.freeze(n, time.Duration(s.rand.IntN(100))*time.Second, s.rand.IntN(2) == 0)
	case 2:
		s.freeze(n, time.Duration(s.rand.IntN(8))*time.Second, s.rand.IntN(2) == 0)
	case 3, 4:
		n.outage = true
	case 5, 6:
		for _, n := range s.nodes {
			n.outage = true
		}
	case 7, 8:
		n.outage = false
		s.after(time.Duration(s.rand.IntN(1500))*time.Millisecond, func() { s.commit(n, 1+s.rand.IntN(6)) })
	case 9, 10, 11:
		for _, n := range s.nodes {
			n.outage = false
		}
	case 12:
		n.isolated = true
	case 13, 14, 15:
		for _, n := range s.nodes {
			n.isolated = false
		}
	case 16, 17, 18:
		s.commit(n, 1+s.rand.IntN(6))
	case 19:
		s.deliver(n, n.process, StopRequested{})
	case 20, 21:
		s.bootAll()
	case 22:
		s.recoverOne(n)
	case 23:
		s.returnLate(n)
	}
}

// recoverAll ends all outages, and waits until every running node has renewed its tenure.
func (s *fleetSimulation) recoverAll() {
	s.bootAll()
	for _, n := range s.nodes {
		n.outage, n.isolated = false, false
	}
	s.run(6*time.Second + time.Duration(s.rand.IntN(3000))*time.Millisecond)
}

// returnLate lets a node miss a change that comes into force during its outage. Its reads of the configuration are slow when
// the outage ends.
func (s *fleetSimulation) returnLate(n *simNode) {
	s.recoverAll()
	n.outage = true
	s.run(4 * time.Second)
	for _, other := range s.nodes {
		if other != n {
			s.commit(other, 1+s.rand.IntN(6))
		}
	}
	s.run(6 * time.Second)
	n.outage, n.slowConfigReads = false, true
	for range 20 {
		s.run(100 * time.Millisecond)
		s.request(n, fmt.Sprintf("l%v", s.now))
	}
	n.slowConfigReads = false
}

func (s *fleetSimulation) bootAll() {
	for _, n := range s.nodes {
		if n.down {
			s.boot(n)
		}
	}
}

// recoverOne ends an outage for a single node, which then changes the configuration.
func (s *fleetSimulation) recoverOne(n *simNode) {
	s.recoverAll()
	s.unreliable = false
	defer func() { s.unreliable = true }()
	for _, n := range s.nodes {
		n.outage = true
	}
	s.run(8*time.Second + time.Duration(s.rand.IntN(4000))*time.Millisecond)
	n.outage = false
	for i := range 30 {
		s.run(100 * time.Millisecond)
		if i%5 == 0 {
			s.commit(n, 1+s.rand.IntN(6))
		}
		s.request(s.nodes[s.rand.IntN(len(s.nodes))], fmt.Sprintf("r%v", s.now))
	}
}

func (s *fleetSimulation) request(n *simNode, id string) {
	s.requestBy(n, id, time.Duration(1+s.rand.IntN(60))*time.Second)
}

func (s *fleetSimulation) requestBy(n *simNode, id string, deadline time.Duration) {
	s.deliver(n, n.process, RequestArrived{ID: id, KeyHash: strings.Repeat("1", 64), Queue: "price", Deadline: deadline})
}

// freeze pauses a process for the duration d; with suspend its monotonic clock is stopped as well.
func (s *fleetSimulation) freeze(n *simNode, d time.Duration, suspend bool) {
	if n.frozen || n.down {
		return
	}
	n.frozen = true
	n.freezeCount++
	freeze := n.freezeCount
	s.after(d, func() {
		if n.freezeCount != freeze || !n.frozen {
			return
		}
		n.frozen = false
		if suspend {
			n.suspended += d
		}
		held := n.heldEvents
		n.heldEvents = nil
		for _, e := range held {
			s.deliver(n, n.process, e)
		}
	})
}

// commit changes the ceiling of the team red through the node, if the node may change the configuration.
func (s *fleetSimulation) commit(n *simNode, ceiling int) {
	head := s.configs[len(s.configs)-1]
	if n.down || n.frozen || n.outage || !n.r.mayTransfer() || n.r.config.Version != head.Version {
		return
	}
	c := head.WithVersion(head.Version + 1).WithTeam(beryllatch.Team{Name: "red", Weight: 3, Ceiling: ceiling})
	s.configs, s.committed = append(s.configs, c), append(s.committed, s.now)
	s.deliver(n, n.process, ConfigRead{Config: c})
	s.deliver(n, n.process, ConfigCommitted{Version: c.Version})
}

// Guards against work above a team's ceiling, starts under a configuration older than the one in force, and nodes that go
// back to a lower version, under crashes, freezes, outages and an unreliable network.
func TestModel(t *testing.T) {
	dispatched, inForce := 0, 0
	for seed := range uint64(modelSeeds) {
		s, violation := exploreFaults(seed, faults{})
		assert.Equal(t, violation, "", "seed %d", seed)
		if seed < stuckCheckSeeds {
			assert.Equal(t, strings.Join(s.stuckAfterFaults(), " "), "", "seed %d: stuck after the faults", seed)
		}
		dispatched += strings.Count(s.log.String(), "Dispatch ")
		inForce += strings.Count(s.log.String(), "InForce:true")
	}
	assert.Assert(t, dispatched > 10*modelSeeds, "only %d executions", dispatched)
	assert.Assert(t, inForce > modelSeeds, "only %d versions in force", inForce)
}

// Guards against checks of TestModel that also pass without the mechanism that they are meant to test.
func TestModelNeedsItsMechanisms(t *testing.T) {
	for _, c := range []struct {
		name      string
		simulate  func(seed uint64, f faults) string
		faults    faults
		violation string
	}{
		{"lapse wait", exploreViolation, faults{ignoreExpiryWait: true}, "above the ceiling"},
		{"higher versions only", exploreViolation, faults{adoptLower: true}, "reverts"},
		{"grants", simulateViolation((*fleetSimulation).recoverOne), faults{ignoreGrants: true}, "is in force"},
		{"head version", simulateViolation((*fleetSimulation).returnLate), faults{ignoreHead: true}, "is in force"},
	} {
		t.Run(c.name, func(t *testing.T) {
			found := ""
			for seed := uint64(0); seed < modelSeeds && !strings.Contains(found, c.violation); seed++ {
				assert.Equal(t, c.simulate(seed, faults{}), "", "seed %d with the mechanism", seed)
				found = c.simulate(seed, c.faults)
			}
			assert.Assert(t, strings.Contains(found, c.violation), "found %q", found)
			t.Log(found)
		})
	}
}

func exploreViolation(seed uint64, f faults) string {
	_, violation := exploreFaults(seed, f)
	return violation
}

// simulateViolation returns a function that runs only the given sequence of faults and returns the first violation.
func simulateViolation(sequence func(*fleetSimulation, *simNode)) func(uint64, faults) string {
	return func(seed uint64, f faults) string {
		s := newFleetSimulation(seed, f)
		s.run(2 * reserveSpread)
		sequence(s, s.nodes[seed%3])
		s.run(10 * time.Second)
		return s.violation
	}
}
