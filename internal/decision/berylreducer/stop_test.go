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

// replaceAll stops every node in turn under load, and starts it again once it has left. A balancer passes the requests to
// the nodes that it takes for ready, and learns of their readiness late.
func replaceAll(seed uint64, f faults) *orderTrial {
	t := newOrderTrial(seed, f)
	ready := map[string]bool{"n1": true, "n2": true, "n3": true}
	t.onEffect = func(n *simNode, x Effect) {
		t.observe(n, x)
		if s, ok := x.(SetReady); ok {
			process := n.process
			t.after(time.Duration(t.rand.Int64N(int64(shutdownGrace-time.Second))), func() {
				ready[n.name] = s.Ready && n.process == process
			})
		}
	}
	// Most work is short; some outlasts the time in which a stopping node still accepts requests.
	t.workTime = func() time.Duration {
		if t.rand.IntN(20) == 0 {
			return 15 * time.Second
		}
		return 200 * time.Millisecond
	}
	load := func(d time.Duration) {
		for end := t.now + d; t.now < end; t.run(200 * time.Millisecond) {
			first := t.rand.IntN(3)
			for i := range 3 {
				if n := t.nodes[(first+i)%3]; ready[n.name] && !n.down {
					t.submit(n, fmt.Sprintf("o%d", t.submitted), t.rand.IntN(2) == 0)
					break
				}
			}
		}
	}
	load(5 * time.Second)
	for _, n := range t.nodes {
		t.deliver(n, n.process, StopRequested{})
		for limit := t.now + 2*time.Minute; !n.down && t.now < limit; {
			load(time.Second)
		}
		t.boot(n)
		load(10 * time.Second)
	}
	t.run(time.Minute)
	for _, id := range beryllatch.SortedKeys(t.replies) {
		t.fail("%s: %s", id, t.replies[id])
	}
	return t
}

// Guards against a planned stop that cuts or refuses a request, while every node is replaced in turn.
func TestReplaceAll(t *testing.T) {
	for seed := range uint64(3) {
		trial := replaceAll(seed, faults{})
		assert.Equal(t, trial.broken, "", "seed %d", seed)
		assert.Assert(t, trial.finished > 200, "only %d answers", trial.finished)
	}
}

// Guards against a test of stops that holds without the time in which a stopping node still accepts requests, or without
// the wait for its requests.
func TestReplaceAllNeedsTheDrain(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults faults
		broken string
	}{
		{"grace period", faults{ignoreGrace: true}, string(beryllatch.ReasonNodeStopping)},
		{"wait for requests", faults{leaveBusy: true}, "no reply"},
	} {
		t.Run(c.name, func(t *testing.T) {
			broken := replaceAll(0, c.faults).broken
			assert.Assert(t, strings.Contains(broken, c.broken), "found %q", broken)
			t.Log(broken)
		})
	}
}

// Guards against a test of waves that holds without the wait for a worker's work, or for nodes that may still send some.
func TestWaveNeedsTheDrain(t *testing.T) {
	play := func(seed uint64, f faults) string {
		rnd := rand.New(rand.NewPCG(seed, 1))
		trial := newWaveTrial(rnd.IntN)
		for _, n := range trial.nodes {
			n.r.faults = f
		}
		for range 80 {
			trial.act()
		}
		return trial.broken
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
				assert.Equal(t, play(seed, faults{}), "", "seed %d with the mechanism", seed)
				found = play(seed, c.faults)
			}
			assert.Assert(t, strings.Contains(found, "a reboot cuts work"), "found %q", found)
			t.Log(found)
		})
	}
}
