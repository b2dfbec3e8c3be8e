package berylreducer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const interleavedSteps = 150

// picker returns a number from 0 to n-1.
type picker func(n int) int

// interleave takes random steps with two nodes at a time, and lets the faults stop at the end.
func (w *taskWorld) interleave(pick picker) {
	for range interleavedSteps {
		w.randomStep(pick)
		if w.violation() != "" {
			return
		}
	}
}

func (w *taskWorld) randomStep(pick picker) {
	n := w.nodes[pick(len(w.nodes))]
	id := fmt.Sprintf("t%d", pick(4))
	switch pick(24) {
	case 0:
		w.submitOnly(n, id, pick(3) == 0)
	case 1:
		w.apply(n, TaskQueried{CallID: w.callID(), TaskID: id, KeyHash: redKey, Cancel: true})
	case 2:
		w.end(id, beryllatch.TaskRunDone)
	case 3:
		w.end(id, beryllatch.TaskRunFailed)
	case 4:
		n.frozen = !n.frozen
	case 5:
		w.replace(n)
	case 6:
		w.workers[w.config.Instances[fmt.Sprintf("w%d", 1+pick(4))].Address].reboot()
		w.reportWorkers(n)
	case 7:
		w.outage = pick(3) == 0
	case 8, 9:
		w.passOnly(time.Duration(1+pick(30)) * 100 * time.Millisecond)
	case 10, 11:
		w.passOnly(100 * time.Millisecond)
	default:
		w.performSome(n, pick)
	}
}

func (w *taskWorld) submitOnly(n *fakeNode, id string, idempotent bool) {
	if !n.frozen {
		call := w.callID()
		taskID := id
		if w.submitted[id] {
			// A repeat brings a new task id under the same idempotency key.
			taskID = id + "-" + call
		}
		w.submitted[id] = true
		w.apply(n, TaskSubmitted{
			CallID: call, TaskID: taskID, KeyHash: redKey, Queue: "price", Idempotent: idempotent, IdempotencyKey: "k-" + id,
		})
	}
}

func (w *taskWorld) callID() string {
	w.callCount++
	return fmt.Sprintf("c%d", w.callCount)
}

// replace kills a node and starts another one, at most four times.
func (w *taskWorld) replace(n *fakeNode) {
	if len(w.nodes) < 6 {
		w.kill(n)
		w.addNode(n.id.Node)
	}
}

func (w *taskWorld) passOnly(d time.Duration) {
	for range int(d / (100 * time.Millisecond)) {
		w.now = w.now.Add(100 * time.Millisecond)
		w.endLeases()
		for _, n := range w.nodes {
			w.deliver(n)
			if !n.frozen {
				w.listInstances(n)
				w.apply(n, Ticked{})
			}
			w.performUpkeep(n)
		}
	}
}

// performUpkeep answers the calls that keep a node alive, so that random steps go to tasks.
func (w *taskWorld) performUpkeep(n *fakeNode) {
	for i := 0; i < len(n.calls) && !n.frozen && !n.dead; {
		if x := n.calls[i]; upkeep(x) {
			w.step(n, i, faultNone)
			w.deliver(n)
		} else {
			i++
		}
	}
}

// performSome performs up to four pending calls; those of a frozen or dead node were sent before.
func (w *taskWorld) performSome(n *fakeNode, pick picker) {
	for range 1 + pick(4) {
		if len(n.calls) == 0 {
			return
		}
		f := faultNone
		if pick(6) == 0 {
			f = faultFailed + fault(pick(2))
		}
		w.step(n, pick(len(n.calls)), f)
		w.deliver(n)
	}
}

// recover ends all faults and lets every task that runs end.
func (w *taskWorld) recover() {
	w.outage, w.slowClock = false, false
	for _, n := range w.nodes {
		n.frozen = false
	}
	w.addNode("n9")
	w.pass(2 * time.Second)
	// A node that has never seen a dead owner waits this long before it takes anything over.
	w.now = w.now.Add(unlistedLapseWait)
	for range 20 {
		w.pass(2 * time.Second)
		for _, id := range beryllatch.SortedKeys(w.starts) {
			w.end(id, beryllatch.TaskRunDone)
		}
	}
}

// violation names the first rule of task safety that does not hold.
func (w *taskWorld) violation() string {
	for _, id := range beryllatch.SortedKeys(w.starts) {
		t, _ := w.stored(ShardOf(id), id)
		if w.starts[id] > 1 && !t.Idempotent {
			return "non-idempotent task " + id + " started twice"
		}
	}
	if len(w.stale) > 0 && !w.skewed {
		return "task " + w.stale[0] + " started with a stale fence"
	}
	return ""
}

// unfinished names an accepted task that has no row in exactly one final state.
func (w *taskWorld) unfinished() string {
	for _, n := range w.nodes {
		for _, call := range beryllatch.SortedKeys(n.answers) {
			a, ok := n.answers[call].(AnswerTask)
			if !ok {
				continue
			}
			shard := ShardOf(a.Task.ID)
			_, open := w.storedAt(openKey(shard, a.Task.ID))
			done, found := w.storedAt(doneKey(shard, a.Task.ID))
			if open || !found || !done.State.Final() {
				return fmt.Sprintf("task %s: open %t, finished %t, state %q", a.Task.ID, open, found, done.State)
			}
		}
	}
	return ""
}

func newInterleavedWorld(slowClock bool, unsafe func(*Reducer)) *taskWorld {
	w := newBareTaskWorld(unsafe)
	w.quiet = true
	// The ceiling leaves room for the units of killed nodes, which are reclaimed elsewhere.
	w.config = w.config.WithTeam(beryllatch.Team{Name: "red", Weight: 3, Ceiling: 100})
	w.addNode("n1")
	w.addNode("n2")
	w.settle()
	w.pass(3 * time.Second)
	w.slowClock, w.skewed = slowClock, slowClock
	return w
}

// Guards against a task that starts twice, is lost, or starts under an owner that was replaced.
func TestTaskInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newInterleavedWorld(rapid.Bool().Draw(t, "slow clock"), nil)
		w.interleave(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") })
		w.recover()
		if v := w.violation() + w.unfinished(); v != "" {
			t.Fatal(v)
		}
	})
}

// Guards against a takeover of a task that the table shows as queued although its owner has sent it. The send precedes
// the row only with the mechanism off.
func TestTaskDispatchingRow(t *testing.T) {
	assert.Equal(t, deadSender(nil), 1)
	assert.Equal(t, deadSender(func(r *Reducer) { r.tasks.off.dispatchRow = true }), 2)
}

// deadSender returns the starts of a non-idempotent task whose first owner dies before a row of it is written.
func deadSender(off func(*Reducer)) int {
	w := newInterleavedWorld(false, off)
	owner := w.owner()
	w.fault = func(n *fakeNode, e Effect) fault {
		if _, ok := e.(WriteTask); n == owner && ok {
			return faultHeld
		}
		return faultNone
	}
	w.submit(owner, "t1", false)
	w.pass(200 * time.Millisecond)
	w.kill(owner)
	w.pass(12 * time.Second)
	return w.starts["t1"]
}

// Guards against a takeover from an owner that may still start tasks.
func TestTaskLapseWait(t *testing.T) {
	const seeds = 60
	assert.Equal(t, firstViolation(seeds, nil), "")
	v := firstViolation(seeds, func(r *Reducer) { r.tasks.off.lapse = true })
	assert.Assert(t, v != "")
	t.Log("without the mechanism: " + v)
}

// Guards against a late send, at a worker with a slow clock, that runs a task which another owner has started again.
func TestTaskFence(t *testing.T) {
	assert.Equal(t, lateSend(nil), 1)
	assert.Equal(t, lateSend(func(r *Reducer) { r.tasks.off.fence = true }), 2)
}

// lateSend returns the starts of a non-idempotent task whose first owner's send arrives after the takeover.
func lateSend(off func(*Reducer)) int {
	w := newInterleavedWorld(true, off)
	owner := w.owner()
	w.fault = func(n *fakeNode, e Effect) fault {
		if n == owner && isStart(e) {
			return faultHeld
		}
		return faultNone
	}
	w.submit(owner, "t1", false)
	w.pass(200 * time.Millisecond)
	owner.frozen = true
	w.pass(12 * time.Second)
	late := slices.IndexFunc(owner.calls, isStart)
	w.step(owner, late, faultNone)
	return w.starts["t1"]
}

func firstViolation(seeds uint64, off func(*Reducer)) string {
	for seed := range seeds {
		rnd := rand.New(rand.NewPCG(seed, 1))
		w := newInterleavedWorld(false, off)
		w.interleave(rnd.IntN)
		if v := w.violation(); v != "" {
			return fmt.Sprintf("seed %d: %s", seed, v)
		}
	}
	return ""
}
