package berylreducer

import (
	"github.com/beryllatch/beryllatch"
)

// maxCancelAttempts bounds the attempts to write a cancellation or an operator's decision while other writes change the row.
const maxCancelAttempts = 10

func (r *Reducer) taskQueried(e TaskQueried) {
	if !r.admitCall(e.CallID) {
		return
	}
	key, keyFound := r.keys[e.KeyHash]
	if !keyFound && e.KeyHash != "" {
		r.refuseTask(e.CallID, beryllatch.ReasonUnauthorized, "the key is unknown or withdrawn")
		return
	}
	c := &taskCall{id: e.CallID, team: key.Team, query: e, settleBy: r.now.Mono + submissionWait}
	r.tasks.calls[c.id] = c
	r.lookUp(c)
}

func (r *Reducer) lookUp(c *taskCall) {
	c.step = callInFlight
	r.emit(LookUpTask{CallID: c.id, Shard: ShardOf(c.query.TaskID), TaskID: c.query.TaskID})
}

func (r *Reducer) taskLookedUp(e TaskLookedUp) {
	c := r.tasks.calls[e.CallID]
	if c == nil {
		return
	}
	if c.resolve != nil {
		r.resolveLookedUp(c, e)
		return
	}
	switch {
	case e.Failed && c.uncertain:
		r.readLater(c)
	case e.Failed:
		r.endCall(c, beryllatch.RunStateNotRun, beryllatch.ReasonPlatformUnavailable, "the task could not be read")
	case !e.Found || e.Task.Team != c.team:
		r.endCall(c, beryllatch.RunStateNotRun, beryllatch.ReasonUnknownTask, "the team has no task with this id")
	case c.query.Cancel:
		r.cancelStored(c, e.Task)
	case c.query.Result && e.Task.State != beryllatch.TaskDone:
		r.endCall(c, beryllatch.RunStateNotRun, beryllatch.ReasonTaskNotFinished, "the task is "+string(e.Task.State))
	case c.query.Result && !e.Task.HasStoredResult():
		r.endCall(c, beryllatch.RunStateRun, beryllatch.ReasonAnswerNotKept, "an operator settled the task without its result")
	default:
		r.answerCall(c, e.Task.Task, false)
	}
}

func (r *Reducer) answerCall(c *taskCall, t beryllatch.Task, accepted bool) {
	delete(r.tasks.calls, c.id)
	r.emit(AnswerTask{CallID: c.id, Task: t, Accepted: accepted})
}

// cancelStored writes the cancellation of a stored task. A queued task becomes cancelled by this write; any other task is
// stopped by the owner of its shard, which finds the cancellation in the table.
func (r *Reducer) cancelStored(c *taskCall, t StoredTask) {
	switch {
	case t.State.Final() || t.CancelRequested:
		r.answerCall(c, t.Task, t.State == beryllatch.TaskCancelled || t.CancelRequested)
		return
	case c.attempts >= maxCancelAttempts:
		r.endCall(c, beryllatch.RunStateUnknown, beryllatch.ReasonPlatformUnavailable, "the task changed too often")
		return
	}
	c.attempts++
	t.CancelRequested = true
	if t.State == beryllatch.TaskQueued {
		t.State = beryllatch.TaskCancelled
		t.Finished = r.now.Wall
	}
	c.task, c.expectVersion = t.Task, t.Version
	r.emit(WriteCancel{CallID: c.id, Shard: ShardOf(t.ID), Task: t.Task, Expect: t.Version})
}

// applyStoredCancel applies a stored cancellation to the task if this node has it loaded.
func (r *Reducer) applyStoredCancel(c *taskCall) {
	t := r.tasks.tasks[c.task.ID]
	switch {
	case t == nil || t.writing || t.reading:
	case c.task.State.Final():
		r.dropTask(t)
	default:
		r.applyRowChange(t, StoredTask{Task: c.task, Version: c.expectVersion + 1})
	}
}

func (r *Reducer) cancelWritten(e CancelWritten) {
	c := r.tasks.calls[e.CallID]
	if c == nil {
		return
	}
	switch e.Result {
	case WriteDone:
		r.count("task_cancel_accepted")
		r.answerCall(c, c.task, true)
		r.applyStoredCancel(c)
	case WriteFailed:
		r.endCall(c, beryllatch.RunStateNotRun, beryllatch.ReasonPlatformUnavailable, "the cancellation could not be stored")
	default:
		c.uncertain = c.uncertain || e.Result == WriteUnknown
		r.lookUp(c)
	}
}
