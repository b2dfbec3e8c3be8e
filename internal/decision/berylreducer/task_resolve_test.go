package berylreducer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func (w *taskSimulation) sendDecision(n *fakeNode, operation, id string, as beryllatch.TaskVerdict, notRun bool) string {
	call := w.callID()
	w.apply(n, TaskResolveRequested{
		CallID: call, TaskID: id, OperationID: operation, Operator: "ada", As: as, Reason: "asked the team", NotRun: notRun,
	})
	return call
}

func (w *taskSimulation) resolve(n *fakeNode, operation string, as beryllatch.TaskVerdict, notRun bool) ReplyTaskResolve {
	call := w.sendDecision(n, operation, "t1", as, notRun)
	w.performAll()
	return n.answers[call].(ReplyTaskResolve)
}

// newUnknownOutcomeSimulation returns a simulation with a task t1 of unknown outcome, which isn't idempotent, the owner of its
// shard, and another node.
func newUnknownOutcomeSimulation() (w *taskSimulation, owner, other *fakeNode) {
	w = newTaskSimulation(2)
	w.quiet = true
	owner, other = w.owner(), w.nodes[0]
	if other == owner {
		other = w.nodes[1]
	}
	w.submit(owner, "t1", false)
	w.advance(3 * time.Second)
	for _, id := range beryllatch.SortedKeys(w.workers) {
		w.workers[id].reboot()
	}
	for _, n := range w.nodes {
		w.reportWorkers(n)
	}
	w.advance(20 * time.Second)
	if w.state("t1") != beryllatch.TaskUnknown {
		panic("the task is " + w.state("t1"))
	}
	w.quiet = false
	return w, owner, other
}

func (w *taskSimulation) decisions() int {
	t, _ := w.storedTask(ShardOf("t1"), "t1")
	return len(t.Decisions)
}

// Guards against a requeue without the operator's statement that the task has not run, a requeued task that the owner of
// the shard doesn't find, and a decision that takes effect twice.
func TestTaskRequeued(t *testing.T) {
	w, _, other := newUnknownOutcomeSimulation()
	assert.Equal(t, w.resolve(other, "op1", beryllatch.VerdictRequeue, false).Reason, ReasonNotRunUnconfirmed)
	assert.Equal(t, w.resolve(other, "op1", beryllatch.VerdictRequeue, true).Outcome, OutcomeAccepted)
	w.advance(4 * time.Second)
	assert.Equal(t, w.starts["t1"], 2)
	assert.Equal(t, w.resolve(other, "op1", beryllatch.VerdictRequeue, true).Outcome, OutcomeAccepted)
	assert.Equal(t, w.resolve(other, "op1", beryllatch.VerdictDone, false).Reason, ReasonDecisionIDReused)
	assert.Equal(t, w.resolve(other, "op2", beryllatch.VerdictRequeue, true).Reason, ReasonTaskNotWaiting)
	w.completeRun("t1", beryllatch.TaskRunDone)
	w.advance(4 * time.Second)
	assert.Assert(t, w.state("t1") == beryllatch.TaskDone && w.starts["t1"] == 2 && w.decisions() == 1)
	w.golden(t, "task_requeued")
}

// Guards against two operators whose conflicting decisions are both accepted.
func TestTaskOperatorsRace(t *testing.T) {
	w, owner, other := newUnknownOutcomeSimulation()
	a := w.sendDecision(owner, "op1", "t1", beryllatch.VerdictRequeue, true)
	b := w.sendDecision(other, "op2", "t1", beryllatch.VerdictDone, false)
	w.performAll()
	x, y := owner.answers[a].(ReplyTaskResolve), other.answers[b].(ReplyTaskResolve)
	assert.Assert(t, x.Outcome != y.Outcome && w.decisions() == 1)
	if y.Outcome != OutcomeAccepted {
		x, y = y, x
	}
	assert.Assert(t, x.Reason == ReasonTaskNotWaiting && x.Settled)
	assert.Equal(t, w.state("t1"), y.Task.State)
	w.golden(t, "task_operators_race")
}

// Guards against answering with an empty result when an operator has settled the task.
func TestTaskSettledHasNoResult(t *testing.T) {
	w, owner, _ := newUnknownOutcomeSimulation()
	assert.Equal(t, w.resolve(owner, "op1", beryllatch.VerdictDone, false).Outcome, OutcomeAccepted)
	w.apply(owner, TaskQueried{CallID: "r", TaskID: "t1", KeyHash: redKey, Result: true})
	w.performAll()
	refusal := owner.answers["r"].(RefuseTask).Refusal
	assert.Assert(t, refusal.Reason == beryllatch.ReasonAnswerNotKept && refusal.RunState == beryllatch.RunStateRun)
}

// newUnresponsiveWorkerSimulation returns a simulation with a task t1 of unknown outcome that still runs on a worker that no
// node can reach, the owner of its shard, and the run.
func newUnresponsiveWorkerSimulation() (w *taskSimulation, owner *fakeNode, run *fakeRun) {
	w = newTaskSimulation(2)
	w.quiet = true
	owner = w.owner()
	w.submit(owner, "t1", false)
	w.advance(3 * time.Second)
	for _, worker := range w.workers {
		if worker.runs["t1"] != nil {
			run = worker.runs["t1"]
		}
	}
	// The worker ignores the end of its lease.
	run.lease = run.lease.Add(time.Hour)
	w.fault = func(_ *fakeNode, e Effect) fault {
		switch e.(type) {
		case QueryTask, RenewTask, StopTask, QueryAttempt:
			return faultFailed
		}
		return faultNone
	}
	w.advance(unresponsiveWorkerTimeout + 30*time.Second)
	w.quiet = false
	return w, owner, run
}

// Guards against a requeue while the worker still runs the task or after it has run, even if the operator states that it
// has not run.
func TestTaskRequeueAsksWorker(t *testing.T) {
	w, owner, run := newUnresponsiveWorkerSimulation()
	w.fault = nil
	assert.Equal(t, w.resolve(owner, "op1", beryllatch.VerdictRequeue, true).Reason, ReasonTaskStillRuns)
	run.state = beryllatch.TaskRunDone
	assert.Equal(t, w.resolve(owner, "op1", beryllatch.VerdictRequeue, true).Reason, ReasonTaskHasRun)
	assert.Equal(t, w.resolve(owner, "op2", beryllatch.VerdictFailed, false).Outcome, OutcomeAccepted)
	assert.Assert(t, w.state("t1") == beryllatch.TaskFailed && w.starts["t1"] == 1)
	w.golden(t, "task_requeue_asks_worker")
}

// Guards against the result of a former attempt that arrives after an operator has requeued the task and is stored as its
// result.
func TestTaskLateResult(t *testing.T) {
	w, owner, run := newUnresponsiveWorkerSimulation()
	first := w.resolve(owner, "op1", beryllatch.VerdictRequeue, true).Task
	w.fault = nil
	// The worker of the first attempt refuses the second one.
	w.advance(30 * time.Second)
	assert.Equal(t, w.starts["t1"], 2)
	run.state = beryllatch.TaskRunDone
	w.apply(owner, TaskReported{ID: "t1", Fence: first.Fence, Report: beryllatch.TaskReport{State: run.state, Fence: run.fence}})
	w.apply(owner, ResultCollected{ID: "t1", Fence: first.Fence, Result: []byte("late")})
	w.advance(3 * time.Second)
	assert.Equal(t, w.state("t1"), beryllatch.TaskRunning)
	w.completeRun("t1", beryllatch.TaskRunDone)
	w.advance(4 * time.Second)
	stored, _ := w.storedTask(ShardOf("t1"), "t1")
	assert.Assert(t, stored.State == beryllatch.TaskDone && string(stored.Result) == "r" && len(stored.Decisions) == 1)
}

// Guards against a decision that is lost or undone when another node takes over the shard while it is being written.
func TestTaskRequeuedDuringTakeover(t *testing.T) {
	w, owner, other := newUnknownOutcomeSimulation()
	w.failOnce(faultHeld, func(e Effect) bool { _, ok := e.(WriteDecision); return ok })
	call := w.sendDecision(other, "op1", "t1", beryllatch.VerdictRequeue, true)
	w.performAll()
	w.kill(owner)
	w.advance(12 * time.Second)
	assert.Assert(t, w.owner() == other)
	w.fault = nil
	w.performAll()
	assert.Equal(t, other.answers[call].(ReplyTaskResolve).Outcome, OutcomeAccepted)
	w.advance(3 * time.Second)
	w.completeRun("t1", beryllatch.TaskRunDone)
	w.advance(4 * time.Second)
	assert.Assert(t, w.state("t1") == beryllatch.TaskDone && w.starts["t1"] == 2 && w.decisions() == 1)
}

// Guards against an owner that repeats a write of the final row which had no answer, after an operator has requeued the
// task.
func TestTaskRequeuedBeforeOwnerKnows(t *testing.T) {
	w := newTaskSimulation(2)
	w.quiet = true
	owner, other := w.owner(), w.nodes[0]
	if other == owner {
		other = w.nodes[1]
	}
	w.submit(owner, "t1", false)
	w.advance(3 * time.Second)
	w.fault = func(n *fakeNode, e Effect) fault {
		switch e := e.(type) {
		case WriteTask:
			return faultLost
		case ReadTask:
			if n == owner && e.ID == "t1" && w.decisions() == 0 {
				return faultHeld
			}
		}
		return faultNone
	}
	for _, id := range beryllatch.SortedKeys(w.workers) {
		w.workers[id].reboot()
	}
	w.advance(5 * time.Second)
	assert.Equal(t, w.state("t1"), beryllatch.TaskUnknown)
	assert.Equal(t, w.resolve(other, "op1", beryllatch.VerdictRequeue, true).Outcome, OutcomeAccepted)
	w.fault = nil
	w.advance(8 * time.Second)
	w.completeRun("t1", beryllatch.TaskRunDone)
	w.advance(4 * time.Second)
	assert.Assert(t, w.state("t1") == beryllatch.TaskDone && w.starts["t1"] == 2 && w.decisions() == 1)
}

// Guards against reporting a decision as not accepted when the answer to its write was lost, and against a delayed copy of
// the write that requeues the task again.
func TestTaskDecisionAnswerLost(t *testing.T) {
	w, _, other := newUnknownOutcomeSimulation()
	var delayed Effect
	w.failOnce(faultLost, func(e Effect) bool {
		_, ok := e.(WriteDecision)
		if ok && delayed == nil {
			delayed = e
		}
		return ok
	})
	assert.Equal(t, w.resolve(other, "op1", beryllatch.VerdictRequeue, true).Outcome, OutcomeAccepted)
	w.advance(4 * time.Second)
	for _, id := range beryllatch.SortedKeys(w.workers) {
		w.workers[id].reboot()
	}
	w.advance(20 * time.Second)
	assert.Equal(t, w.state("t1"), beryllatch.TaskUnknown)
	assert.Equal(t, w.perform(other, delayed, faultNone).(DecisionWritten).Result, WriteConflict)
	assert.Assert(t, w.starts["t1"] == 2 && w.decisions() == 1)
}

// Guards against a task that is started more often than operators have requeued it allow, and against an accepted decision
// that is lost.
func TestTaskDecisionInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		w := newInterleavedSimulation(false, nil)
		verdicts := []beryllatch.TaskVerdict{beryllatch.VerdictDone, beryllatch.VerdictFailed, beryllatch.VerdictRequeue}
		for range interleavedSteps {
			if n := w.nodes[pick(len(w.nodes))]; pick(6) == 0 && !n.frozen {
				as := verdicts[pick(3)]
				operation := fmt.Sprintf("op%d-%s", pick(4), as)
				w.sendDecision(n, operation, fmt.Sprintf("t%d", pick(4)), as, as == beryllatch.VerdictRequeue)
				continue
			}
			w.randomStep(pick)
		}
		w.endFaults()
		for id, starts := range w.starts {
			stored, _ := w.storedTask(ShardOf(id), id)
			requeues := 0
			for _, d := range stored.Decisions {
				if d.As == beryllatch.VerdictRequeue {
					requeues++
				}
			}
			if !stored.Idempotent && starts > 1+requeues {
				t.Fatalf("task %s: %d starts after %d requeues", id, starts, requeues)
			}
		}
		if v := w.lostDecision() + w.unfinishedTask(); v != "" {
			t.Fatal(v)
		}
	})
}

// lostDecision describes an accepted decision that the task's row doesn't hold exactly once; empty if there is none.
func (w *taskSimulation) lostDecision() string {
	for _, n := range w.nodes {
		for _, call := range beryllatch.SortedKeys(n.answers) {
			a, ok := n.answers[call].(ReplyTaskResolve)
			if !ok || a.Outcome != OutcomeAccepted {
				continue
			}
			stored, _ := w.storedTask(ShardOf(a.Task.ID), a.Task.ID)
			for _, d := range a.Task.Decisions {
				same := func(x beryllatch.TaskDecision) bool { return x.OperationID == d.OperationID }
				kept := slices.DeleteFunc(slices.Clone(stored.Decisions), func(x beryllatch.TaskDecision) bool { return !same(x) })
				if len(kept) != 1 {
					return fmt.Sprintf("task %s: decision %s is kept %d times", a.Task.ID, d.OperationID, len(kept))
				}
			}
		}
	}
	return ""
}
