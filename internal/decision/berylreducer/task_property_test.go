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

// interleave takes interleavedSteps random steps, or fewer if one violates a rule of task safety.
func (w *taskSimulation) interleave(pick picker) {
	for range interleavedSteps {
		w.randomStep(pick)
		if w.violation() != "" {
			return
		}
	}
}

func (w *taskSimulation) randomStep(pick picker) {
	n := w.nodes[pick(len(w.nodes))]
	id := fmt.Sprintf("t%d", pick(4))
	switch pick(24) {
	case 0:
		w.sendSubmission(n, id, pick(3) == 0)
	case 1:
		w.apply(n, TaskQueried{CallID: w.callID(), TaskID: id, KeyHash: redKey, Cancel: true})
	case 2:
		w.completeRun(id, beryllatch.TaskRunDone)
	case 3:
		w.completeRun(id, beryllatch.TaskRunFailed)
	case 4:
		n.frozen = !n.frozen
	case 5:
		w.replaceNode(n)
	case 6:
		w.workers[w.config.Instances[fmt.Sprintf("w%d", 1+pick(4))].Address].reboot()
		w.reportWorkers(n)
	case 7:
		w.outage = pick(3) == 0
	case 8, 9:
		w.advanceOnly(time.Duration(1+pick(30)) * 100 * time.Millisecond)
	case 10, 11:
		w.advanceOnly(100 * time.Millisecond)
	default:
		w.performSome(n, pick)
	}
}

func (w *taskSimulation) sendSubmission(n *fakeNode, id string, idempotent bool) {
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

func (w *taskSimulation) callID() string {
	w.callCount++
	return fmt.Sprintf("c%d", w.callCount)
}

// replaceNode kills a node and starts another one, up to six nodes in all.
func (w *taskSimulation) replaceNode(n *fakeNode) {
	if len(w.nodes) < 6 {
		w.kill(n)
		w.addNode(n.id.Node)
	}
}

func (w *taskSimulation) advanceOnly(d time.Duration) {
	for range int(d / (100 * time.Millisecond)) {
		w.now = w.now.Add(100 * time.Millisecond)
		w.expireLeases()
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

// performUpkeep carries out the pending calls that do not concern tasks, such as renewals, so that random steps are spent
// on tasks.
func (w *taskSimulation) performUpkeep(n *fakeNode) {
	for i := 0; i < len(n.calls) && !n.frozen && !n.killed; {
		if x := n.calls[i]; isUpkeep(x) {
			w.step(n, i, faultNone)
			w.deliver(n)
		} else {
			i++
		}
	}
}

// performSome performs up to four pending calls, also those that a frozen or killed node has sent before.
func (w *taskSimulation) performSome(n *fakeNode, pick picker) {
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

// endFaults ends all faults, adds a node and completes all running tasks.
func (w *taskSimulation) endFaults() {
	w.outage, w.slowClock = false, false
	for _, n := range w.nodes {
		n.frozen = false
	}
	w.addNode("n9")
	w.advance(2 * time.Second)
	// A killed owner does not list the new node as known, so the node waits this long before it takes anything over.
	w.now = w.now.Add(unlistedExpiryWait)
	for range 20 {
		w.advance(2 * time.Second)
		for _, id := range beryllatch.SortedKeys(w.starts) {
			w.completeRun(id, beryllatch.TaskRunDone)
		}
	}
}

// violation returns the first violated rule of task safety; empty if there is none.
func (w *taskSimulation) violation() string {
	for _, id := range beryllatch.SortedKeys(w.starts) {
		t, _ := w.storedTask(ShardOf(id), id)
		if w.starts[id] > 1 && !t.Idempotent {
			return "non-idempotent task " + id + " started twice"
		}
	}
	if len(w.staleStarts) > 0 && !w.everSlowClock {
		return "task " + w.staleStarts[0] + " started with a stale fence"
	}
	return ""
}

// unfinishedTask describes an accepted task that is not stored as finished only, in a final state; empty if there is none.
func (w *taskSimulation) unfinishedTask() string {
	for _, n := range w.nodes {
		for _, call := range beryllatch.SortedKeys(n.answers) {
			a, ok := n.answers[call].(AnswerTask)
			if !ok {
				continue
			}
			shard := ShardOf(a.Task.ID)
			_, unfinished := w.taskAt(unfinishedKey(shard, a.Task.ID))
			finished, found := w.taskAt(finishedKey(shard, a.Task.ID))
			if unfinished || !found || !finished.State.Final() {
				return fmt.Sprintf("task %s: unfinished %t, finished %t, state %q", a.Task.ID, unfinished, found, finished.State)
			}
		}
	}
	return ""
}

func newInterleavedSimulation(slowClock bool, disable func(*Reducer)) *taskSimulation {
	w := newBareTaskSimulation(disable)
	w.quiet = true
	// The ceiling is high enough for the units of killed nodes, whose reclaim is covered by other tests.
	w.config = w.config.WithTeam(beryllatch.Team{Name: "red", Weight: 3, Ceiling: 100})
	w.addNode("n1")
	w.addNode("n2")
	w.performAll()
	w.advance(3 * time.Second)
	w.slowClock, w.everSlowClock = slowClock, slowClock
	return w
}

// Guards against a task that is started twice, is lost, or is started by a former owner of its shard.
func TestTaskInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newInterleavedSimulation(rapid.Bool().Draw(t, "slow clock"), nil)
		w.interleave(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") })
		w.endFaults()
		if v := w.violation() + w.unfinishedTask(); v != "" {
			t.Fatal(v)
		}
	})
}

// Guards against the takeover of a task that is stored as queued although its owner has sent it. Only with the mechanism
// disabled is the task sent before its row is written.
func TestTaskDispatchingRow(t *testing.T) {
	assert.Equal(t, startsAfterOwnerCrash(nil), 1)
	assert.Equal(t, startsAfterOwnerCrash(func(r *Reducer) { r.tasks.disabled.dispatchRow = true }), 2)
}

// startsAfterOwnerCrash returns how often a non-idempotent task is started if its first owner crashes before it writes the
// task's row.
func startsAfterOwnerCrash(disable func(*Reducer)) int {
	w := newInterleavedSimulation(false, disable)
	owner := w.owner()
	w.fault = func(n *fakeNode, e Effect) fault {
		if _, ok := e.(WriteTask); n == owner && ok {
			return faultHeld
		}
		return faultNone
	}
	w.submit(owner, "t1", false)
	w.advance(200 * time.Millisecond)
	w.kill(owner)
	w.advance(12 * time.Second)
	return w.starts["t1"]
}

// Guards against taking over a shard from an owner that may still start tasks.
func TestTaskLapseWait(t *testing.T) {
	const seeds = 60
	assert.Equal(t, firstViolation(seeds, nil), "")
	v := firstViolation(seeds, func(r *Reducer) { r.tasks.disabled.expiry = true })
	assert.Assert(t, v != "")
	t.Log("without the mechanism: " + v)
}

// Guards against a delayed send to a worker with a slow clock, which starts a task that a new owner has already started
// again.
func TestTaskFence(t *testing.T) {
	assert.Equal(t, startsAfterLateSend(nil), 1)
	assert.Equal(t, startsAfterLateSend(func(r *Reducer) { r.tasks.disabled.fence = true }), 2)
}

// startsAfterLateSend returns how often a non-idempotent task is started if its first owner's send arrives after the
// takeover.
func startsAfterLateSend(disable func(*Reducer)) int {
	w := newInterleavedSimulation(true, disable)
	owner := w.owner()
	w.fault = func(n *fakeNode, e Effect) fault {
		if n == owner && isStart(e) {
			return faultHeld
		}
		return faultNone
	}
	w.submit(owner, "t1", false)
	w.advance(200 * time.Millisecond)
	owner.frozen = true
	w.advance(12 * time.Second)
	late := slices.IndexFunc(owner.calls, isStart)
	w.step(owner, late, faultNone)
	return w.starts["t1"]
}

func firstViolation(seeds uint64, disable func(*Reducer)) string {
	for seed := range seeds {
		rnd := rand.New(rand.NewPCG(seed, 1))
		w := newInterleavedSimulation(false, disable)
		w.interleave(rnd.IntN)
		if v := w.violation(); v != "" {
			return fmt.Sprintf("seed %d: %s", seed, v)
		}
	}
	return ""
}
