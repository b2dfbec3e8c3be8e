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

func (w *taskWorld) resolveOnly(n *fakeNode, operation, id string, as beryllatch.TaskVerdict, notRun bool) string {
	call := w.callID()
	w.apply(n, TaskResolveRequested{
		CallID: call, TaskID: id, OperationID: operation, Operator: "ada", As: as, Reason: "asked the team", NotRun: notRun,
	})
	return call
}

func (w *taskWorld) resolve(n *fakeNode, operation string, as beryllatch.TaskVerdict, notRun bool) ReplyTaskResolve {
	call := w.resolveOnly(n, operation, "t1", as, notRun)
	w.settle()
	return n.answers[call].(ReplyTaskResolve)
}

// newUnknownWorld has a task t1 that isn't idempotent, of unknown outcome, and returns its owner and another node.
func newUnknownWorld() (w *taskWorld, owner, other *fakeNode) {
	w = newTaskWorld(2)
	w.quiet = true
	owner, other = w.owner(), w.nodes[0]
	if other == owner {
		other = w.nodes[1]
	}
	w.submit(owner, "t1", false)
	w.pass(3 * time.Second)
	for _, id := range beryllatch.SortedKeys(w.workers) {
		w.workers[id].reboot()
	}
	for _, n := range w.nodes {
		w.reportWorkers(n)
	}
	w.pass(20 * time.Second)
	if w.state("t1") != beryllatch.TaskUnknown {
		panic("the task is " + w.state("t1"))
	}
	w.quiet = false
	return w, owner, other
}

func (w *taskWorld) decisions() int {
	t, _ := w.stored(ShardOf("t1"), "t1")
	return len(t.Decisions)
}

// Guards against a requeue that the operator didn't confirm, one that its owner doesn't find, and one that is done twice.
func TestTaskRequeued(t *testing.T) {
	w, _, other := newUnknownWorld()
	assert.Equal(t, w.resolve(other, "op1", beryllatch.VerdictRequeue, false).Reason, ReasonNotRunUnconfirmed)
	assert.Equal(t, w.resolve(other, "op1", beryllatch.VerdictRequeue, true).Outcome, OutcomeAccepted)
	w.pass(4 * time.Second)
	assert.Equal(t, w.starts["t1"], 2)
	assert.Equal(t, w.resolve(other, "op1", beryllatch.VerdictRequeue, true).Outcome, OutcomeAccepted)
	assert.Equal(t, w.resolve(other, "op1", beryllatch.VerdictDone, false).Reason, ReasonDecisionIDReused)
	assert.Equal(t, w.resolve(other, "op2", beryllatch.VerdictRequeue, true).Reason, ReasonTaskNotWaiting)
	w.end("t1", beryllatch.TaskRunDone)
	w.pass(4 * time.Second)
	assert.Assert(t, w.state("t1") == beryllatch.TaskDone && w.starts["t1"] == 2 && w.decisions() == 1)
	w.golden(t, "task_requeued")
}

// Guards against two operators who both believe that their decision counts, and against a settled task with a result.
func TestTaskOperatorsRace(t *testing.T) {
	w, owner, other := newUnknownWorld()
	a := w.resolveOnly(owner, "op1", "t1", beryllatch.VerdictRequeue, true)
	b := w.resolveOnly(other, "op2", "t1", beryllatch.VerdictDone, false)
	w.settle()
	x, y := owner.answers[a].(ReplyTaskResolve), other.answers[b].(ReplyTaskResolve)
	assert.Assert(t, x.Outcome != y.Outcome && w.decisions() == 1)
	if y.Outcome != OutcomeAccepted {
		x, y = y, x
	}
	assert.Assert(t, x.Reason == ReasonTaskNotWaiting && x.Settled)
	assert.Equal(t, w.state("t1"), y.Task.State)
	w.golden(t, "task_operators_race")
}

// Guards against an empty result that looks like the task's own.
func TestTaskSettledHasNoResult(t *testing.T) {
	w, owner, _ := newUnknownWorld()
	assert.Equal(t, w.resolve(owner, "op1", beryllatch.VerdictDone, false).Outcome, OutcomeAccepted)
	w.apply(owner, TaskQueried{CallID: "r", TaskID: "t1", KeyHash: redKey, Result: true})
	w.settle()
	refusal := owner.answers["r"].(RefuseTask).Refusal
	assert.Assert(t, refusal.Reason == beryllatch.ReasonAnswerNotKept && refusal.RunState == beryllatch.RunStateRun)
}

// newSilentWorld has a task t1 of unknown outcome that runs at a worker which nobody could reach for long.
func newSilentWorld() (w *taskWorld, owner *fakeNode, run *fakeRun) {
	w = newTaskWorld(2)
	w.quiet = true
	owner = w.owner()
	w.submit(owner, "t1", false)
	w.pass(3 * time.Second)
	for _, worker := range w.workers {
		if worker.runs["t1"] != nil {
			run = worker.runs["t1"]
		}
	}
	// The worker ignores the end of its lease.
	run.lease = run.lease.Add(time.Hour)
	w.fault = func(_ *fakeNode, e Effect) fault {
		switch e.(type) {
		case AskTask, RenewTask, StopTask, AskAttempt:
			return faultFailed
		}
		return faultNone
	}
	w.pass(workerSilence + 30*time.Second)
	w.quiet = false
	return w, owner, run
}

// Guards against a requeue while the worker runs the task, or after it has run it, whatever the operator states.
func TestTaskRequeueAsksWorker(t *testing.T) {
	w, owner, run := newSilentWorld()
	w.fault = nil
	assert.Equal(t, w.resolve(owner, "op1", beryllatch.VerdictRequeue, true).Reason, ReasonTaskStillRuns)
	run.state = beryllatch.TaskRunDone
	assert.Equal(t, w.resolve(owner, "op1", beryllatch.VerdictRequeue, true).Reason, ReasonTaskHasRun)
	assert.Equal(t, w.resolve(owner, "op2", beryllatch.VerdictFailed, false).Outcome, OutcomeAccepted)
	assert.Assert(t, w.state("t1") == beryllatch.TaskFailed && w.starts["t1"] == 1)
	w.golden(t, "task_requeue_asks_worker")
}

// Guards against the result of a former attempt that arrives after the operator's decision and replaces it.
func TestTaskLateResult(t *testing.T) {
	w, owner, run := newSilentWorld()
	first := w.resolve(owner, "op1", beryllatch.VerdictRequeue, true).Task
	w.fault = nil
	// The worker of the first attempt refuses the second one.
	w.pass(30 * time.Second)
	assert.Equal(t, w.starts["t1"], 2)
	run.state = beryllatch.TaskRunDone
	w.apply(owner, TaskReported{ID: "t1", Fence: first.Fence, Report: beryllatch.TaskReport{State: run.state, Fence: run.fence}})
	w.apply(owner, ResultCollected{ID: "t1", Fence: first.Fence, Result: []byte("late")})
	w.pass(3 * time.Second)
	assert.Equal(t, w.state("t1"), beryllatch.TaskRunning)
	w.end("t1", beryllatch.TaskRunDone)
	w.pass(4 * time.Second)
	stored, _ := w.stored(ShardOf("t1"), "t1")
	assert.Assert(t, stored.State == beryllatch.TaskDone && string(stored.Result) == "r" && len(stored.Decisions) == 1)
}

// Guards against a decision that is lost, or undone by the former owner, when the shard is taken over meanwhile.
func TestTaskRequeuedDuringTakeover(t *testing.T) {
	w, owner, other := newUnknownWorld()
	w.failOnce(faultHeld, func(e Effect) bool { _, ok := e.(WriteDecision); return ok })
	call := w.resolveOnly(other, "op1", "t1", beryllatch.VerdictRequeue, true)
	w.settle()
	w.kill(owner)
	w.pass(12 * time.Second)
	assert.Assert(t, w.owner() == other)
	w.fault = nil
	w.settle()
	assert.Equal(t, other.answers[call].(ReplyTaskResolve).Outcome, OutcomeAccepted)
	w.pass(3 * time.Second)
	w.end("t1", beryllatch.TaskRunDone)
	w.pass(4 * time.Second)
	assert.Assert(t, w.state("t1") == beryllatch.TaskDone && w.starts["t1"] == 2 && w.decisions() == 1)
}

// Guards against an owner that doesn't know that its final row was stored, and repeats it over a requeued task.
func TestTaskRequeuedBeforeOwnerKnows(t *testing.T) {
	w := newTaskWorld(2)
	w.quiet = true
	owner, other := w.owner(), w.nodes[0]
	if other == owner {
		other = w.nodes[1]
	}
	w.submit(owner, "t1", false)
	w.pass(3 * time.Second)
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
	w.pass(5 * time.Second)
	assert.Equal(t, w.state("t1"), beryllatch.TaskUnknown)
	assert.Equal(t, w.resolve(other, "op1", beryllatch.VerdictRequeue, true).Outcome, OutcomeAccepted)
	w.fault = nil
	w.pass(8 * time.Second)
	w.end("t1", beryllatch.TaskRunDone)
	w.pass(4 * time.Second)
	assert.Assert(t, w.state("t1") == beryllatch.TaskDone && w.starts["t1"] == 2 && w.decisions() == 1)
}

// Guards against a lost answer that is reported as a refusal, and against a delayed write that requeues a second time.
func TestTaskDecisionAnswerLost(t *testing.T) {
	w, _, other := newUnknownWorld()
	var delayed Effect
	w.failOnce(faultLost, func(e Effect) bool {
		_, ok := e.(WriteDecision)
		if ok && delayed == nil {
			delayed = e
		}
		return ok
	})
	assert.Equal(t, w.resolve(other, "op1", beryllatch.VerdictRequeue, true).Outcome, OutcomeAccepted)
	w.pass(4 * time.Second)
	for _, id := range beryllatch.SortedKeys(w.workers) {
		w.workers[id].reboot()
	}
	w.pass(20 * time.Second)
	assert.Equal(t, w.state("t1"), beryllatch.TaskUnknown)
	assert.Equal(t, w.perform(other, delayed, faultNone).(DecisionWritten).Result, WriteConflict)
	assert.Assert(t, w.starts["t1"] == 2 && w.decisions() == 1)
}

// Guards against a task that starts more often than operators allowed, and against an accepted decision that is lost.
func TestTaskDecisionInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		w := newInterleavedWorld(false, nil)
		verdicts := []beryllatch.TaskVerdict{beryllatch.VerdictDone, beryllatch.VerdictFailed, beryllatch.VerdictRequeue}
		for range interleavedSteps {
			if n := w.nodes[pick(len(w.nodes))]; pick(6) == 0 && !n.frozen {
				as := verdicts[pick(3)]
				operation := fmt.Sprintf("op%d-%s", pick(4), as)
				w.resolveOnly(n, operation, fmt.Sprintf("t%d", pick(4)), as, as == beryllatch.VerdictRequeue)
				continue
			}
			w.randomStep(pick)
		}
		w.recover()
		for id, starts := range w.starts {
			stored, _ := w.stored(ShardOf(id), id)
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
		if v := w.lostDecision() + w.unfinished(); v != "" {
			t.Fatal(v)
		}
	})
}

// lostDecision names an accepted decision that the task's row doesn't hold exactly once.
func (w *taskWorld) lostDecision() string {
	for _, n := range w.nodes {
		for _, call := range beryllatch.SortedKeys(n.answers) {
			a, ok := n.answers[call].(ReplyTaskResolve)
			if !ok || a.Outcome != OutcomeAccepted {
				continue
			}
			stored, _ := w.stored(ShardOf(a.Task.ID), a.Task.ID)
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
