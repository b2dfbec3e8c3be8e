package berylreducer

import (
	"slices"
	"time"

	"github.com/beryllatch/beryllatch"
)

// The reasons for which an operator's decision about a task is not accepted.
const (
	ReasonTaskMissing         = "unknown_task: no task has this id"
	ReasonTaskNotWaiting      = "task_not_waiting: the task is neither parked nor unknown"
	ReasonTaskCancelRequested = "cancel_requested: the caller asked to cancel the task"
	ReasonNotRunUnconfirmed   = "not_run_unconfirmed: the task isn't idempotent; state that it has not run"
	ReasonTaskStillRuns       = "task_running: the worker still reports the task as running"
	ReasonTaskHasRun          = "task_has_run: the worker reports that the task was started"
	ReasonTooManyDecisions    = "too_many_decisions: the task has been requeued too often"
	ReasonTaskCallsFull       = "queue_full: too many calls wait at this node"
	ReasonTaskPlatform        = "platform_unavailable: the task could not be read or written"
	ReasonDecisionUnknown     = "answer_lost: the decision may be stored; repeat the call with the same operation id"
	ReasonDecisionIDReused    = "operation_id_reused: the id belongs to another decision about this task"
	ReasonDecisionConflicts   = "conflict: the task changed too often"
)

// maxDecisions bounds the size of a task's row, in which a decision takes up to 1 KB.
const maxDecisions = 32

func (r *Reducer) resolveRequested(e TaskResolveRequested) {
	c := &taskCall{
		id: e.CallID, settleBy: r.now.Mono + submissionWait, resolve: &e,
		query: TaskQueried{CallID: e.CallID, TaskID: e.TaskID},
	}
	switch {
	case r.refusesNew():
		r.endResolve(c, ReasonStopping, false)
	case !r.mayClaim() || !r.mayStart():
		r.endResolve(c, ReasonOperationStale, false)
	case len(r.tasks.calls) >= maxTaskCalls:
		r.endResolve(c, ReasonTaskCallsFull, false)
	default:
		r.tasks.calls[c.id] = c
		r.lookUp(c)
	}
}

// resolveLookedUp accepts, writes or refuses a decision according to the stored task.
func (r *Reducer) resolveLookedUp(c *taskCall, e TaskLookedUp) {
	q, t := c.resolve, e.Task
	same := func(d beryllatch.TaskDecision) bool { return d.OperationID == q.OperationID }
	switch n := slices.IndexFunc(t.Decisions, same); {
	case e.Failed && c.uncertain:
		r.readLater(c)
	case e.Failed:
		r.endResolve(c, ReasonTaskPlatform, false)
	case !e.Found:
		r.endResolve(c, ReasonTaskMissing, true)
	case n >= 0 && (t.Decisions[n].As != q.As || t.Decisions[n].NotRun != q.NotRun):
		r.endResolve(c, ReasonDecisionIDReused, true)
	case n >= 0:
		r.acceptDecision(c, t.Task)
	case !t.State.WaitsForOperator():
		// The versions of a row never repeat, so an earlier write of this decision can no longer take effect.
		r.endResolve(c, ReasonTaskNotWaiting, true)
	case c.attempts >= maxCancelAttempts:
		r.endResolve(c, ReasonDecisionConflicts, false)
	case q.As == beryllatch.VerdictRequeue:
		r.checkRequeue(c, t)
	default:
		r.writeDecision(c, t)
	}
}

// checkRequeue requeues a task only if it is certain not to have run, or is idempotent. A refusal that follows from the
// row alone is settled: every earlier call with the same operation id was refused for the same reason.
func (r *Reducer) checkRequeue(c *taskCall, t StoredTask) {
	i, configured := r.config.Instances[t.Instance]
	switch {
	case t.CancelRequested:
		r.endResolve(c, ReasonTaskCancelRequested, true)
	case len(t.Decisions) >= maxDecisions:
		r.endResolve(c, ReasonTooManyDecisions, true)
	case t.State == beryllatch.TaskUnknown && !t.Idempotent && !c.resolve.NotRun:
		r.endResolve(c, ReasonNotRunUnconfirmed, true)
	case t.State == beryllatch.TaskUnknown && configured:
		c.step, c.task, c.expectVersion = callInFlight, t.Task, t.Version
		r.emit(QueryAttempt{CallID: c.id, TaskID: t.ID, Address: i.Address})
	default:
		r.writeDecision(c, t)
	}
}

// attemptReported continues a requeue after the query to the task's last worker. An unresponsive worker does not prevent
// the requeue, since the worker's lease had ended before the task became unknown.
func (r *Reducer) attemptReported(e AttemptReported) {
	c := r.tasks.calls[e.CallID]
	if c == nil || c.resolve == nil {
		return
	}
	attemptFound := !e.Failed && e.Report.State != beryllatch.TaskRunUnseen
	switch {
	case attemptFound && e.Report.State == beryllatch.TaskRunRunning:
		r.endResolve(c, ReasonTaskStillRuns, false)
	case attemptFound && !c.task.Idempotent:
		r.endResolve(c, ReasonTaskHasRun, false)
	default:
		r.writeDecision(c, StoredTask{Task: c.task, Version: c.expectVersion})
	}
}

func (r *Reducer) writeDecision(c *taskCall, t StoredTask) {
	q := c.resolve
	c.attempts++
	c.step = callInFlight
	unlist := t.Listed
	t.Listed = false
	t.Decisions = append(slices.Clone(t.Decisions), beryllatch.TaskDecision{
		OperationID: q.OperationID, Operator: q.Operator, As: q.As, Reason: q.Reason, NotRun: q.NotRun, At: r.now.Wall,
	})
	t.Finished = r.now.Wall
	switch q.As {
	case beryllatch.VerdictDone:
		t.State, t.Reason = beryllatch.TaskDone, ""
	case beryllatch.VerdictFailed:
		t.State = beryllatch.TaskFailed
	case beryllatch.VerdictRequeue:
		resetForRequeue(&t)
	}
	c.task, c.expectVersion = t.Task, t.Version
	r.emit(WriteDecision{CallID: c.id, Shard: ShardOf(t.ID), Task: t.Task, Expect: t.Version, Unlist: unlist})
}

// resetForRequeue clears what former attempts have left in the task. The number of attempts stays, since the fences must
// keep growing.
func resetForRequeue(t *StoredTask) {
	t.State, t.Reason = beryllatch.TaskQueued, ""
	t.Instance, t.BootID = "", ""
	t.FailedOn, t.Refusals = nil, 0
	t.StartBy, t.Finished = time.Time{}, time.Time{}
}

func (r *Reducer) decisionWritten(e DecisionWritten) {
	c := r.tasks.calls[e.CallID]
	if c == nil || c.resolve == nil {
		return
	}
	switch {
	case e.Result == WriteDone:
		r.count("task_resolved." + string(c.resolve.As))
		r.acceptDecision(c, c.task)
		r.loadRequeued(c.task)
	case e.Result == WriteFailed && !c.uncertain:
		r.endResolve(c, ReasonTaskPlatform, false)
	case e.Result == WriteFailed:
		r.readLater(c)
	default:
		c.uncertain = c.uncertain || e.Result == WriteUnknown
		r.lookUp(c)
	}
}

// loadRequeued loads a requeued task if this node owns its shard; any other owner finds the row by its own reads.
func (r *Reducer) loadRequeued(t beryllatch.Task) {
	s := &r.tasks.shards[ShardOf(t.ID)]
	if t.State == beryllatch.TaskQueued && r.owns(s) {
		r.loadTask(s, StoredTask{Task: t, Version: t.FirstVersion()})
		r.dispatchTasks()
	}
}

func (r *Reducer) acceptDecision(c *taskCall, t beryllatch.Task) {
	r.replyResolve(c, ReplyTaskResolve{Outcome: OutcomeAccepted, Settled: true, Task: t})
}

// endResolve replies that a decision is not accepted. If an earlier write of it may still take effect, the reply says
// that the outcome is unknown; settled excludes that case.
func (r *Reducer) endResolve(c *taskCall, reason string, settled bool) {
	reply := ReplyTaskResolve{Outcome: OutcomeNotAccepted, Reason: reason, Settled: settled}
	if c.uncertain && !settled {
		reply.Outcome, reply.Reason = OutcomeUnknown, ReasonDecisionUnknown
	}
	r.replyResolve(c, reply)
}

func (r *Reducer) replyResolve(c *taskCall, reply ReplyTaskResolve) {
	delete(r.tasks.calls, c.id)
	r.count("operator_" + string(reply.Outcome))
	reply.CallID = c.id
	r.emit(reply)
}
