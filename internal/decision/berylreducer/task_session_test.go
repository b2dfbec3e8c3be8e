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

// newTaskWorld has the given number of nodes, which own all shards.
func newTaskWorld(nodes int) *taskWorld {
	w := newBareTaskWorld(nil)
	for n := range nodes {
		w.addNode(fmt.Sprintf("n%d", n+1))
	}
	w.settle()
	w.pass(5 * time.Second)
	return w
}

func (w *taskWorld) submit(n *fakeNode, id string, idempotent bool) {
	w.apply(n, TaskSubmitted{
		CallID: "c-" + id, TaskID: id, KeyHash: redKey, Queue: "price", Idempotent: idempotent, IdempotencyKey: "k-" + id,
	})
	w.settle()
}

func (w *taskWorld) cancel(n *fakeNode, id string) {
	w.apply(n, TaskQueried{CallID: "x-" + id, TaskID: id, KeyHash: redKey, Cancel: true})
	w.settle()
}

// owner returns the node that owns the shard of task t1.
func (w *taskWorld) owner() *fakeNode {
	for _, n := range w.nodes {
		if !n.dead && n.r.tasks.shards[ShardOf("t1")].state == shardOwned {
			return n
		}
	}
	panic("the shard has no owner")
}

func (w *taskWorld) state(id string) beryllatch.TaskState {
	t, _ := w.stored(ShardOf(id), id)
	return t.State
}

// failOnce applies the fault to the first effect that matches.
func (w *taskWorld) failOnce(f fault, match func(Effect) bool) {
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

// Guards against a change of the normal path and against starting work before its row is durable.
func TestTaskSession(t *testing.T) {
	w := newTaskWorld(1)
	w.submit(w.nodes[0], "t1", false)
	w.pass(4 * time.Second)
	w.end("t1", beryllatch.TaskRunDone)
	w.pass(4 * time.Second)
	assert.Equal(t, w.state("t1"), beryllatch.TaskDone)
	w.golden(t, "task_done")
}

// Guards against a second task, or a false refusal, when the answer to the submission's write is lost.
func TestTaskSubmissionAnswerLost(t *testing.T) {
	w := newTaskWorld(1)
	w.failOnce(faultLost, func(e Effect) bool { _, ok := e.(SubmitTask); return ok })
	w.submit(w.nodes[0], "t1", false)
	w.apply(w.nodes[0], TaskSubmitted{
		CallID: "c2", TaskID: "t2", KeyHash: redKey, Queue: "price", IdempotencyKey: "k-t1",
	})
	w.settle()
	assert.Equal(t, w.nodes[0].answers["c2"].(AnswerTask).Task.ID, "t1")
	w.golden(t, "task_submission_lost")
}

// Guards against losing or doubling a task whose owner dies between the dispatching row and the send.
func TestTaskOwnerDiesBeforeSend(t *testing.T) {
	w := newTaskWorld(2)
	owner := w.owner()
	w.failOnce(faultHeld, isStart)
	w.submit(owner, "t1", false)
	w.pass(200 * time.Millisecond)
	assert.Equal(t, w.state("t1"), beryllatch.TaskDispatching)
	w.kill(owner)
	w.fault = nil
	w.pass(12 * time.Second)
	w.end("t1", beryllatch.TaskRunDone)
	w.pass(4 * time.Second)
	assert.Equal(t, w.starts["t1"], 1)
	assert.Equal(t, w.state("t1"), beryllatch.TaskDone)
	w.golden(t, "task_owner_dies_before_send")
}

// Guards against a second start, or a lease that runs out, when the owner of a running task dies.
func TestTaskOwnerDiesWhileRunning(t *testing.T) {
	w := newTaskWorld(2)
	owner := w.owner()
	w.submit(owner, "t1", false)
	w.pass(3 * time.Second)
	w.kill(owner)
	w.pass(15 * time.Second)
	w.end("t1", beryllatch.TaskRunDone)
	w.pass(4 * time.Second)
	assert.Equal(t, w.starts["t1"], 1)
	assert.Equal(t, w.state("t1"), beryllatch.TaskDone)
	w.golden(t, "task_adopted")
}

// Guards against running a non-idempotent task again, or losing an idempotent one, when its worker reboots.
func TestTaskWorkerReboots(t *testing.T) {
	w := newTaskWorld(2)
	owner := w.owner()
	w.submit(owner, "t1", false)
	w.submit(owner, "t4", true)
	w.pass(3 * time.Second)
	w.kill(owner)
	for _, id := range beryllatch.SortedKeys(w.workers) {
		w.workers[id].reboot()
	}
	for _, n := range w.nodes {
		w.reportWorkers(n)
	}
	w.pass(20 * time.Second)
	w.end("t4", beryllatch.TaskRunDone)
	w.pass(4 * time.Second)
	assert.Equal(t, w.starts["t1"], 1)
	assert.Equal(t, w.state("t1"), beryllatch.TaskUnknown)
	assert.Equal(t, w.state("t4"), beryllatch.TaskDone)
	w.golden(t, "task_worker_rebooted")
}

// Guards against writes and sends of an owner that was frozen while its shards were taken over.
func TestTaskOwnerFrozen(t *testing.T) {
	w := newTaskWorld(2)
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
	assert.Equal(t, w.starts["t1"], 1)
	owner.frozen = false
	w.fault = nil
	w.pass(3 * time.Second)
	w.end("t1", beryllatch.TaskRunDone)
	w.pass(4 * time.Second)
	assert.Equal(t, w.starts["t1"], 1)
	assert.Equal(t, w.state("t1"), beryllatch.TaskDone)
	w.golden(t, "task_owner_frozen")
}

// Guards against a wave of cancellations that leaves a task running, or that keeps the node from its renewals.
func TestTaskCancellationWave(t *testing.T) {
	w := newTaskWorld(1)
	w.quiet = true
	n := w.nodes[0]
	for i := range 300 {
		w.submit(n, fmt.Sprintf("t%d", i), false)
	}
	w.pass(3 * time.Second)
	w.quiet = false
	for i := range 300 {
		w.quiet = i > 1 && w.state(fmt.Sprintf("t%d", i)) == beryllatch.TaskQueued
		w.cancel(n, fmt.Sprintf("t%d", i))
	}
	w.quiet = false
	w.pass(5 * time.Second)
	for i := range 300 {
		assert.Equal(t, w.state(fmt.Sprintf("t%d", i)), beryllatch.TaskCancelled)
	}
	assert.Equal(t, len(n.r.tasks.tasks), 0)
	assert.Equal(t, n.r.units["red"].running, 0)
	w.golden(t, "task_cancellations")
}

// Guards against a cancellation that does not reach the owner of a running task.
func TestTaskCancelledThroughAnotherNode(t *testing.T) {
	w := newTaskWorld(2)
	owner := w.owner()
	other := w.nodes[0]
	if other == owner {
		other = w.nodes[1]
	}
	w.submit(other, "t1", false)
	w.pass(3 * time.Second)
	assert.Equal(t, w.state("t1"), beryllatch.TaskRunning)
	w.cancel(other, "t1")
	w.pass(2 * time.Second)
	assert.Equal(t, w.state("t1"), beryllatch.TaskCancelled)
	w.golden(t, "task_cancelled_elsewhere")
}

// Guards against losing a result when the platform is out as the task ends.
func TestTaskDoneInOutage(t *testing.T) {
	w := newTaskWorld(1)
	w.submit(w.nodes[0], "t1", false)
	w.pass(3 * time.Second)
	w.outage = true
	w.pass(2 * time.Second)
	w.end("t1", beryllatch.TaskRunDone)
	w.pass(20 * time.Second)
	assert.Equal(t, w.state("t1"), beryllatch.TaskRunning)
	w.outage = false
	w.pass(5 * time.Second)
	assert.Equal(t, w.state("t1"), beryllatch.TaskDone)
	w.golden(t, "task_done_in_outage")
}

// Guards against losing tasks when every node is replaced at the same moment.
func TestTaskAllNodesReplaced(t *testing.T) {
	w := newTaskWorld(2)
	w.submit(w.owner(), "t1", false)
	w.pass(2 * time.Second)
	for _, n := range w.nodes {
		w.kill(n)
	}
	w.addNode("n3")
	w.addNode("n4")
	w.pass(12 * time.Second)
	w.end("t1", beryllatch.TaskRunDone)
	w.pass(5 * time.Second)
	assert.Equal(t, w.starts["t1"], 1)
	assert.Equal(t, w.state("t1"), beryllatch.TaskDone)
	w.golden(t, "task_nodes_replaced")
}

// Guards against an idempotent task that stops, or a non-idempotent one that starts without a row, in an outage.
func TestTaskStartsInOutage(t *testing.T) {
	w := newTaskWorld(1)
	w.fault = func(_ *fakeNode, e Effect) fault {
		if x, ok := e.(WriteTask); ok && x.Task.State == beryllatch.TaskDispatching {
			return faultFailed
		}
		return faultNone
	}
	w.submit(w.nodes[0], "t1", false)
	w.submit(w.nodes[0], "t2", true)
	w.outage = true
	w.pass(3 * time.Second)
	assert.Equal(t, w.starts["t1"], 0)
	assert.Equal(t, w.starts["t2"], 1)
	w.fault, w.outage = nil, false
	w.pass(3 * time.Second)
	assert.Equal(t, w.starts["t1"], 1)
	w.golden(t, "task_starts_in_outage")
}

// Guards against a graceful stop that leaves shards or running tasks without an owner.
func TestTaskGracefulStop(t *testing.T) {
	w := newTaskWorld(2)
	owner := w.owner()
	w.submit(owner, "t1", false)
	w.pass(time.Second)
	w.apply(owner, StopRequested{})
	w.pass(12 * time.Second)
	assert.Assert(t, owner.dead)
	assert.Assert(t, w.owner() != owner)
	w.end("t1", beryllatch.TaskRunDone)
	w.pass(4 * time.Second)
	assert.Equal(t, w.starts["t1"], 1)
	assert.Equal(t, w.state("t1"), beryllatch.TaskDone)
	w.golden(t, "task_graceful_stop")
}

// Guards against a failing job that uses up every worker.
func TestTaskParkedAfterDistinctFailures(t *testing.T) {
	w := newTaskWorld(1)
	w.submit(w.nodes[0], "t1", true)
	for range 12 {
		w.pass(4 * time.Second)
		w.end("t1", beryllatch.TaskRunFailed)
	}
	assert.Equal(t, w.state("t1"), beryllatch.TaskParked)
	assert.Equal(t, w.starts["t1"], maxFailedOn)
	w.golden(t, "task_parked")
}
