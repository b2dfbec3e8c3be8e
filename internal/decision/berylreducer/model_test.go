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
	// settleSeeds bounds the runs that go on for the longest wait for a lapse.
	settleSeeds = 2
)

// explore drives three reducers through random faults and returns the first broken rule.
func explore(seed uint64, f faults) (*world, string) {
	w := newWorld(seed, f)
	w.lossy = true
	w.workTime = func() time.Duration {
		if w.rand.IntN(6) == 0 {
			return time.Duration(w.rand.IntN(60)) * time.Second
		}
		return time.Duration(w.rand.IntN(2000)) * time.Millisecond
	}
	w.run(reserveSpread)
	for step := 0; step < modelSteps && w.broken == ""; step++ {
		w.step(step)
		w.run(time.Duration(w.rand.IntN(3000)) * time.Millisecond)
		for id, run := range w.runs {
			if run.end <= w.now {
				delete(w.runs, id)
			}
		}
	}
	return w, w.broken
}

// settle ends all faults and reports the nodes that cannot run a request after the longest wait for a lapse.
func (w *world) settle() []string {
	w.lossy = false
	w.workTime = func() time.Duration { return time.Second }
	for _, n := range w.nodes {
		n.outage, n.cut = false, false
		w.freeze(n, 0, false)
	}
	w.run(2 * longestLease)
	w.bootAll()
	w.run(unlistedLapseWait + 2*longestLease)
	for _, n := range w.nodes {
		w.requestBy(n, "last", time.Minute)
	}
	w.run(time.Minute)
	var stuck []string
	for _, n := range w.nodes {
		if !strings.Contains(w.log.String(), n.name+" Dispatch last.1") {
			stuck = append(stuck, n.name)
		}
	}
	return stuck
}

func (w *world) step(step int) {
	n := w.nodes[w.rand.IntN(len(w.nodes))]
	for i := range w.rand.IntN(6) {
		w.request(w.nodes[w.rand.IntN(len(w.nodes))], fmt.Sprintf("q%d.%d", step, i))
	}
	switch w.rand.IntN(24) {
	case 0:
		n.down = true
		w.after(time.Duration(w.rand.IntN(90))*time.Second, func() { w.bootAll() })
	case 1:
		w.freeze(n, time.Duration(w.rand.IntN(100))*time.Second, w.rand.IntN(2) == 0)
	case 2:
		w.freeze(n, time.Duration(w.rand.IntN(8))*time.Second, w.rand.IntN(2) == 0)
	case 3, 4:
		n.outage = true
	case 5, 6:
		for _, n := range w.nodes {
			n.outage = true
		}
	case 7, 8:
		n.outage = false
		w.after(time.Duration(w.rand.IntN(1500))*time.Millisecond, func() { w.commit(n, 1+w.rand.IntN(6)) })
	case 9, 10, 11:
		for _, n := range w.nodes {
			n.outage = false
		}
	case 12:
		n.cut = true
	case 13, 14, 15:
		for _, n := range w.nodes {
			n.cut = false
		}
	case 16, 17, 18:
		w.commit(n, 1+w.rand.IntN(6))
	case 19:
		w.deliver(n, n.process, StopRequested{})
	case 20, 21:
		w.bootAll()
	case 22:
		w.recoverOne(n)
	case 23:
		w.returnLate(n)
	}
}

// calm ends outages and cuts for long enough that every process that runs renews its tenure.
func (w *world) calm() {
	w.bootAll()
	for _, n := range w.nodes {
		n.outage, n.cut = false, false
	}
	w.run(6*time.Second + time.Duration(w.rand.IntN(3000))*time.Millisecond)
}

// returnLate lets one node miss a change that comes into force, and then return with slow reads of the configuration.
func (w *world) returnLate(n *simNode) {
	w.calm()
	n.outage = true
	w.run(4 * time.Second)
	for _, other := range w.nodes {
		if other != n {
			w.commit(other, 1+w.rand.IntN(6))
		}
	}
	w.run(6 * time.Second)
	n.outage, n.slowConfig = false, true
	for range 20 {
		w.run(100 * time.Millisecond)
		w.request(n, fmt.Sprintf("l%v", w.now))
	}
	n.slowConfig = false
}

func (w *world) bootAll() {
	for _, n := range w.nodes {
		if n.down {
			w.boot(n)
		}
	}
}

// recoverOne lets the platform return to one node alone, which then changes the configuration.
func (w *world) recoverOne(n *simNode) {
	w.calm()
	w.lossy = false
	defer func() { w.lossy = true }()
	for _, n := range w.nodes {
		n.outage = true
	}
	w.run(8*time.Second + time.Duration(w.rand.IntN(4000))*time.Millisecond)
	n.outage = false
	for i := range 30 {
		w.run(100 * time.Millisecond)
		if i%5 == 0 {
			w.commit(n, 1+w.rand.IntN(6))
		}
		w.request(w.nodes[w.rand.IntN(len(w.nodes))], fmt.Sprintf("r%v", w.now))
	}
}

func (w *world) request(n *simNode, id string) {
	w.requestBy(n, id, time.Duration(1+w.rand.IntN(60))*time.Second)
}

func (w *world) requestBy(n *simNode, id string, deadline time.Duration) {
	w.deliver(n, n.process, RequestArrived{ID: id, KeyHash: strings.Repeat("1", 64), Queue: "price", Deadline: deadline})
}

// freeze stops a process; with suspend its monotonic clock stands still as well.
func (w *world) freeze(n *simNode, d time.Duration, suspend bool) {
	if n.frozen || n.down {
		return
	}
	n.frozen = true
	n.freezes++
	freeze := n.freezes
	w.after(d, func() {
		if n.freezes != freeze || !n.frozen {
			return
		}
		n.frozen = false
		if suspend {
			n.suspended += d
		}
		held := n.held
		n.held = nil
		for _, e := range held {
			w.deliver(n, n.process, e)
		}
	})
}

// commit stores a configuration with another ceiling of the team red, through a node that may change it.
func (w *world) commit(n *simNode, ceiling int) {
	head := w.configs[len(w.configs)-1]
	if n.down || n.frozen || n.outage || !n.r.mayTransfer() || n.r.config.Version != head.Version {
		return
	}
	c := head.WithVersion(head.Version + 1).WithTeam(beryllatch.Team{Name: "red", Weight: 3, Ceiling: ceiling})
	w.configs, w.committed = append(w.configs, c), append(w.committed, w.now)
	w.deliver(n, n.process, ConfigRead{Config: c})
	w.deliver(n, n.process, ConfigCommitted{Version: c.Version})
}

// Guards against work above a ceiling, starts under a configuration that another one in force has replaced, and versions
// that revert, under crashes, freezes, outages and a network that loses, repeats and reorders messages.
func TestModel(t *testing.T) {
	dispatched, inForce := 0, 0
	for seed := range uint64(modelSeeds) {
		w, broken := explore(seed, faults{})
		assert.Equal(t, broken, "", "seed %d", seed)
		if seed < settleSeeds {
			assert.Equal(t, strings.Join(w.settle(), " "), "", "seed %d: stuck after the faults", seed)
		}
		dispatched += strings.Count(w.log.String(), "Dispatch ")
		inForce += strings.Count(w.log.String(), "InForce:true")
	}
	assert.Assert(t, dispatched > 10*modelSeeds, "only %d executions", dispatched)
	assert.Assert(t, inForce > modelSeeds, "only %d versions in force", inForce)
}

// Guards against checks that hold without the mechanism that they are meant for.
func TestModelNeedsItsMechanisms(t *testing.T) {
	for _, c := range []struct {
		name   string
		play   func(seed uint64, f faults) string
		faults faults
		broken string
	}{
		{"lapse wait", explored, faults{ignoreLapseWait: true}, "above the ceiling"},
		{"higher versions only", explored, faults{adoptLower: true}, "reverts"},
		{"grants", played((*world).recoverOne), faults{ignoreGrants: true}, "is in force"},
		{"head version", played((*world).returnLate), faults{ignoreHead: true}, "is in force"},
	} {
		t.Run(c.name, func(t *testing.T) {
			found := ""
			for seed := uint64(0); seed < modelSeeds && !strings.Contains(found, c.broken); seed++ {
				assert.Equal(t, c.play(seed, faults{}), "", "seed %d with the mechanism", seed)
				found = c.play(seed, c.faults)
			}
			assert.Assert(t, strings.Contains(found, c.broken), "found %q", found)
			t.Log(found)
		})
	}
}

func explored(seed uint64, f faults) string {
	_, broken := explore(seed, f)
	return broken
}

// played runs one sequence of faults on its own.
func played(sequence func(*world, *simNode)) func(uint64, faults) string {
	return func(seed uint64, f faults) string {
		w := newWorld(seed, f)
		w.run(2 * reserveSpread)
		sequence(w, w.nodes[seed%3])
		w.run(10 * time.Second)
		return w.broken
	}
}
