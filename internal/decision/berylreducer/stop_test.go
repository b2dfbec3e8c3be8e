package berylreducer

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// replaceAll stops every node in turn under load, and starts it again once its process has ended. A load balancer sends the
// requests to the nodes that it considers ready; it notices changes of readiness with a delay.
func replaceAll(seed uint64, f faults) *orderSimulation {
	s := newOrderSimulation(seed, f)
	ready := map[string]bool{"n1": true, "n2": true, "n3": true}
	s.onEffect = func(n *simNode, x Effect) {
		s.observe(n, x)
		if x, ok := x.(SetReady); ok {
			process := n.process
			s.after(time.Duration(s.rand.Int64N(int64(shutdownGrace-time.Second))), func() {
				ready[n.name] = x.Ready && n.process == process
			})
		}
	}
	// Most executions are short; some take longer than a stopping node still accepts requests.
	s.workTime = func() time.Duration {
		if s.rand.IntN(20) == 0 {
			return 15 * time.Second
		}
		return 200 * time.Millisecond
	}
	load := func(d time.Duration) {
		for end := s.now + d; s.now < end; s.run(200 * time.Millisecond) {
			first := s.rand.IntN(3)
			for i := range 3 {
				if n := s.nodes[(first+i)%3]; ready[n.name] && !n.down {
					s.submit(n, fmt.Sprintf("o%d", s.submitted), s.rand.IntN(2) == 0)
					break
				}
			}
		}
	}
	load(5 * time.Second)
	for _, n := range s.nodes {
		s.deliver(n, n.process, StopRequested{})
		for limit := s.now + 2*time.Minute; !n.down && s.now < limit; {
			load(time.Second)
		}
		s.boot(n)
		load(10 * time.Second)
	}
	s.run(time.Minute)
	for _, id := range beryllatch.SortedKeys(s.unanswered) {
		s.fail("%s: %s", id, s.unanswered[id])
	}
	return s
}

// Guards against requests that are lost or refused because of a graceful stop, while every node is replaced in turn.
func TestReplaceAll(t *testing.T) {
	for seed := range uint64(3) {
		sim := replaceAll(seed, faults{})
		assert.Equal(t, sim.violation, "", "seed %d", seed)
		assert.Assert(t, sim.finished > 200, "only %d answers", sim.finished)
	}
}

// Guards against a TestReplaceAll that also passes if a stopping node refuses new requests at once, or does not wait for its
// running requests.
func TestReplaceAllNeedsTheDrain(t *testing.T) {
	for _, c := range []struct {
		name      string
		faults    faults
		violation string
	}{
		{"grace period", faults{ignoreGrace: true}, string(beryllatch.ReasonNodeStopping)},
		{"wait for requests", faults{leaveBusy: true}, "no reply"},
	} {
		t.Run(c.name, func(t *testing.T) {
			violation := replaceAll(0, c.faults).violation
			assert.Assert(t, strings.Contains(violation, c.violation), "found %q", violation)
			t.Log(violation)
		})
	}
}

// Guards against a test of waves that also passes if a worker is rebooted before its executions have ended, or while other
// nodes may still send it work.
func TestWaveNeedsTheDrain(t *testing.T) {
	simulate := func(seed uint64, f faults) string {
		rnd := rand.New(rand.NewPCG(seed, 1))
		sim := newWaveSimulation(rnd.IntN)
		for _, n := range sim.nodes {
			n.r.faults = f
		}
		for range 80 {
			sim.step()
		}
		return sim.violation
	}
	for _, c := range []struct {
		name   string
		faults faults
	}{
		{"wait for the work", faults{rebootBusy: true}},
		{"wait for the nodes", faults{ignoreSettle: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			found := ""
			for seed := uint64(0); seed < modelSeeds && found == ""; seed++ {
				assert.Equal(t, simulate(seed, faults{}), "", "seed %d with the mechanism", seed)
				found = simulate(seed, c.faults)
			}
			assert.Assert(t, strings.Contains(found, "a reboot cuts work"), "found %q", found)
			t.Log(found)
		})
	}
}
