package berylreducer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

var redKey = strings.Repeat("1", 64)

// newTaskSimulation returns a simulation with the given number of nodes, which own all shards.
func newTaskSimulation(nodes int) *taskSimulation {
	w := newBareTaskSimulation(nil)
	for n := range nodes {
		w.addNode(fmt.Sprintf("n%d", n+1))
	}
	w.performAll()
	w.advance(5 * time.Second)
	return w
}

func (w *taskSimulation) submit(n *fakeNode, id string, idempotent bool) {
	w.apply(n, TaskSubmitted{
		CallID: "c-" + id, TaskID: id, KeyHash: redKey, Queue: "price", Idempotent: idempotent, IdempotencyKey: "k-" + id,
	})
	w.performAll()
}

func (w *taskSimulation) cancel(n *fakeNode, id string) {
	w.apply(n, TaskQueried{CallID: "x-" + id, TaskID: id, KeyHash: redKey, Cancel: true})
	w.performAll()
}

// owner returns the node that owns the shard of task t1.
func (w *taskSimulation) owner() *fakeNode {
	for _, n := range w.nodes {
		if !n.killed && n.r.tasks.shards[ShardOf("t1")].state == shardOwned {
			return n
		}
	}
	panic("the shard has no owner")
}

func (w *taskSimulation) state(id string) beryllatch.TaskState {
	t, _ := w.storedTask(ShardOf(id), id)
	return t.State
}

// failOnce applies the fault to the first effect that matches; faultHeld applies to all of them.
func (w *taskSimulation) failOnce(f fault, match func(Effect) bool) {
	done := false
	w.fault = func(_ *fakeNode, e Effect) fault {
		if done || !match(e) {
			return faultNone
		}
		done = f != faultHeld
		return f
	}
}

func isStart(e Effect) bool { _, ok := e.(StartTask); return ok }

// Guards against changes of the normal course of a task, and against starting it before its row is stored.
func TestTaskSession(t *testing.T) {
	w := newTaskSimulation(1)
	w.submit(w.nodes[0], "t1", false)
	w.advance(4 * time.Second)
	w.completeRun("t1", beryllatch.TaskRunDone)
	w.advance(4 * time.Second)
	assert.Equal(t, w.state("t1"), beryllatch.TaskDone)
	w.golden(t, "task_done")
}

// Guards against creating a second task, or refusing the submission, when the answer to its write is lost.
func TestTaskSubmissionAnswerLost(t *testing.T) {
	w := newTaskSimulation(1)
	w.failOnce(faultLost, func(e Effect) bool { _, ok := e.(SubmitTask); return ok })
	w.submit(w.nodes[0], "t1", false)
	w.apply(w.nodes[0], TaskSubmitted{
		CallID: "c2", TaskID: "t2", KeyHash: redKey, Queue: "price", IdempotencyKey: "k-t1",
	})
	w.performAll()
	assert.Equal(t, w.nodes[0].answers["c2"].(AnswerTask).Task.ID, "t1")
	w.golden(t, "task_submission_lost")
}

// Guards against losing a task, or starting it twice, when its owner crashes after it has stored the state dispatching and
// before it sends the task.
func TestTaskOwnerDiesBeforeSend(t *testing.T) {
	w := newTaskSimulation(2)
	owner := w.owner()
	w.failOnce(faultHeld, isStart)
	w.submit(owner, "t1", false)
	w.advance(200 * time.Millisecond)
	assert.Equal(t, w.state("t1"), beryllatch.TaskDispatching)
	w.kill(owner)
	w.fault = nil
	w.advance(12 * time.Second)
	w.completeRun("t1", beryllatch.TaskRunDone)
	w.advance(4 * time.Second)
	assert.Equal(t, w.starts["t1"], 1)
	assert.Equal(t, w.state("t1"), beryllatch.TaskDone)
	w.golden(t, "task_owner_dies_before_send")
}

// Guards against a second start, or an expired lease, when the owner of a running task crashes.
func TestTaskOwnerDiesWhileRunning(t *testing.T) {
	w := newTaskSimulation(2)
	owner := w.owner()
	w.submit(owner, "t1", false)
	w.advance(3 * time.Second)
	w.kill(owner)
	w.advance(15 * time.Second)
	w.completeRun("t1", beryllatch.TaskRunDone)
	w.advance(4 * time.Second)
	assert.Equal(t, w.starts["t1"], 1)
	assert.Equal(t, w.state("t1"), beryllatch.TaskDone)
	w.golden(t, "task_adopted")
}

// Guards against running a non-idempotent task again, or losing an idempotent one, when its worker reboots.
func TestTaskWorkerReboots(t *testing.T) {
	w := newTaskSimulation(2)
	owner := w.owner()
	w.submit(owner, "t1", false)
	w.submit(owner, "t4", true)
	w.advance(3 * time.Second)
	w.kill(owner)
	for _, id := range beryllatch.SortedKeys(w.workers) {
		w.workers[id].reboot()
	}
	for _, n := range w.nodes {
		w.reportWorkers(n)
	}
	w.advance(20 * time.Second)
	w.completeRun("t4", beryllatch.TaskRunDone)
	w.advance(4 * time.Second)
	assert.Equal(t, w.starts["t1"], 1)
	assert.Equal(t, w.state("t1"), beryllatch.TaskUnknown)
	assert.Equal(t, w.state("t4"), beryllatch.TaskDone)
	w.golden(t, "task_worker_rebooted")
}

// Guards against writes and sends by an owner whose process was paused while its shards were taken over.
func TestTaskOwnerFrozen(t *testing.T) {
	w := newTaskSimulation(2)
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
	assert.Equal(t, w.starts["t1"], 1)
	owner.frozen = false
	w.fault = nil
	w.advance(3 * time.Second)
	w.completeRun("t1", beryllatch.TaskRunDone)
	w.advance(4 * time.Second)
	assert.Equal(t, w.starts["t1"], 1)
	assert.Equal(t, w.state("t1"), beryllatch.TaskDone)
	w.golden(t, "task_owner_frozen")
}

// Guards against a task that keeps running, or lease renewals that are delayed, when many tasks are cancelled at once.
func TestTaskCancellationWave(t *testing.T) {
	w := newTaskSimulation(1)
	w.quiet = true
	n := w.nodes[0]
	for i := range 300 {
		w.submit(n, fmt.Sprintf("t%d", i), false)
	}
	w.advance(3 * time.Second)
	w.quiet = false
	for i := range 300 {
		w.quiet = i > 1 && w.state(fmt.Sprintf("t%d", i)) == beryllatch.TaskQueued
		w.cancel(n, fmt.Sprintf("t%d", i))
	}
	w.quiet = false
	w.advance(5 * time.Second)
	for i := range 300 {
		assert.Equal(t, w.state(fmt.Sprintf("t%d", i)), beryllatch.TaskCancelled)
	}
	assert.Equal(t, len(n.r.tasks.tasks), 0)
	assert.Equal(t, n.r.units["red"].running, 0)
	w.golden(t, "task_cancellations")
}

// Guards against a cancellation that does not reach the owner of a running task.
func TestTaskCancelledThroughAnotherNode(t *testing.T) {
	w := newTaskSimulation(2)
	owner := w.owner()
	other := w.nodes[0]
	if other == owner {
		other = w.nodes[1]
	}
	w.submit(other, "t1", false)
	w.advance(3 * time.Second)
	assert.Equal(t, w.state("t1"), beryllatch.TaskRunning)
	w.cancel(other, "t1")
	w.advance(2 * time.Second)
	assert.Equal(t, w.state("t1"), beryllatch.TaskCancelled)
	w.golden(t, "task_cancelled_elsewhere")
}

// Guards against losing the result of a task that completes during an outage of the platform.
func TestTaskDoneInOutage(t *testing.T) {
	w := newTaskSimulation(1)
	w.submit(w.nodes[0], "t1", false)
	w.advance(3 * time.Second)
	w.outage = true
	w.advance(2 * time.Second)
	w.completeRun("t1", beryllatch.TaskRunDone)
	w.advance(20 * time.Second)
	assert.Equal(t, w.state("t1"), beryllatch.TaskRunning)
	w.outage = false
	w.advance(5 * time.Second)
	assert.Equal(t, w.state("t1"), beryllatch.TaskDone)
	w.golden(t, "task_done_in_outage")
}

// Guards against losing tasks when all nodes are replaced at once.
func TestTaskAllNodesReplaced(t *testing.T) {
	w := newTaskSimulation(2)
	w.submit(w.owner(), "t1", false)
	w.advance(2 * time.Second)
	for _, n := range w.nodes {
		w.kill(n)
	}
	w.addNode("n3")
	w.addNode("n4")
	w.advance(12 * time.Second)
	w.completeRun("t1", beryllatch.TaskRunDone)
	w.advance(5 * time.Second)
	assert.Equal(t, w.starts["t1"], 1)
	assert.Equal(t, w.state("t1"), beryllatch.TaskDone)
	w.golden(t, "task_nodes_replaced")
}

// Guards against an idempotent task that is not started in an outage, and a non-idempotent one that is started without its
// row.
func TestTaskStartsInOutage(t *testing.T) {
	w := newTaskSimulation(1)
	w.fault = func(_ *fakeNode, e Effect) fault {
		if x, ok := e.(WriteTask); ok && x.Task.State == beryllatch.TaskDispatching {
			return faultFailed
		}
		return faultNone
	}
	w.submit(w.nodes[0], "t1", false)
	w.submit(w.nodes[0], "t2", true)
	w.outage = true
	w.advance(3 * time.Second)
	assert.Equal(t, w.starts["t1"], 0)
	assert.Equal(t, w.starts["t2"], 1)
	w.fault, w.outage = nil, false
	w.advance(3 * time.Second)
	assert.Equal(t, w.starts["t1"], 1)
	w.golden(t, "task_starts_in_outage")
}

// Guards against a graceful stop that leaves shards or running tasks without an owner.
func TestTaskGracefulStop(t *testing.T) {
	w := newTaskSimulation(2)
	owner := w.owner()
	w.submit(owner, "t1", false)
	w.advance(time.Second)
	w.apply(owner, StopRequested{})
	w.advance(12 * time.Second)
	assert.Assert(t, owner.killed)
	assert.Assert(t, w.owner() != owner)
	w.completeRun("t1", beryllatch.TaskRunDone)
	w.advance(4 * time.Second)
	assert.Equal(t, w.starts["t1"], 1)
	assert.Equal(t, w.state("t1"), beryllatch.TaskDone)
	w.golden(t, "task_graceful_stop")
}

// Guards against retrying a task that fails everywhere on more than maxFailedOn workers.
func TestTaskParkedAfterDistinctFailures(t *testing.T) {
	w := newTaskSimulation(1)
	w.submit(w.nodes[0], "t1", true)
	for range 12 {
		w.advance(4 * time.Second)
		w.completeRun("t1", beryllatch.TaskRunFailed)
	}
	assert.Equal(t, w.state("t1"), beryllatch.TaskParked)
	assert.Equal(t, w.starts["t1"], maxFailedOn)
	w.golden(t, "task_parked")
}
