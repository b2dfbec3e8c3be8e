package berylreducer

import (
	"time"

	"github.com/beryllatch/beryllatch"
)

// conflictPause is the pause before a conflicting write is repeated, in which the shard rows are read: the node may have
// lost the shard.
const conflictPause = 200 * time.Millisecond

// writeTask stores the task's row; if a call on the row is in flight, once that has completed.
func (r *Reducer) writeTask(t *queuedTask) {
	t.dirty = true
	r.activate(t)
	r.flushTask(t)
}

func (r *Reducer) flushTask(t *queuedTask) {
	stored := !t.dirty && !t.uncertain
	if stored || t.writing || t.reading || r.now.Mono < t.nextWrite || !r.mayWrite(t) {
		return
	}
	if t.uncertain {
		r.readRow(t)
		return
	}
	t.writing, t.dirty = true, false
	e := WriteTask{
		Shard: t.shard.Shard, Epoch: t.shard.Epoch, ShardExpect: t.shard.version, Task: t.Task, Expect: t.version,
	}
	if r.tasks.disabled.fence {
		e.ShardExpect = 0
	}
	r.emit(e)
}

// readRow reads the stored row, unless a call on it is in flight.
func (r *Reducer) readRow(t *queuedTask) {
	if t.writing || t.reading || !r.mayWrite(t) {
		return
	}
	t.reading = true
	r.activate(t)
	r.emit(ReadTask{Shard: t.shard.Shard, Epoch: t.shard.Epoch, ID: t.ID})
}

// mayWrite reports whether the node may write the task's row: not in an outage, and not once it gives up the shard.
func (r *Reducer) mayWrite(t *queuedTask) bool {
	return !r.taskOutage() && r.owns(t.shard)
}

// taskInEpoch returns the loaded task that the result of a table call belongs to; nil if the shard has a new epoch.
func (r *Reducer) taskInEpoch(id string, epoch uint32) *queuedTask {
	t := r.tasks.tasks[id]
	if t == nil || t.shard.Epoch != epoch {
		return nil
	}
	return t
}

func (r *Reducer) taskWritten(e TaskWritten) {
	t := r.taskInEpoch(e.ID, e.Epoch)
	if t == nil || !t.writing {
		return
	}
	t.writing = false
	switch e.Result {
	case WriteDone:
		t.version++
		r.rowStored(t)
	case WriteFailed:
		r.writeLater(t)
	case WriteConflict:
		t.uncertain = true
		r.readShardsSoon()
		r.flushTask(t)
	case WriteUnknown:
		t.uncertain = true
		r.flushTask(t)
		r.startWithoutRow(t)
	}
}

// writeLater repeats a write that had no effect. A result is dropped and collected again, so that it does not take up
// memory in the meantime.
func (r *Reducer) writeLater(t *queuedTask) {
	t.dirty = true
	t.nextWrite = r.now.Mono + taskRetry
	if t.phase == phaseFinishing && t.State == beryllatch.TaskDone {
		t.dirty = false
		t.Result = nil
		t.phase = phaseCollecting
		t.nextStep = r.now.Mono + taskRetry
	}
	r.startWithoutRow(t)
}

// rowStored continues a task whose last write is known to be stored.
func (r *Reducer) rowStored(t *queuedTask) {
	switch {
	case t.phase == phaseFinishing && !t.dirty:
		r.finished(t)
	case t.phase == phaseWriting && !t.dirty:
		r.sendTask(t)
	default:
		r.flushTask(t)
	}
}

// taskRowRead settles a write that had no answer or a conflict, or applies a cancellation that a poll has found.
func (r *Reducer) taskRowRead(e TaskRowRead) {
	t := r.taskInEpoch(e.ID, e.Epoch)
	if t == nil || !t.reading {
		return
	}
	t.reading = false
	if e.Failed {
		t.nextWrite = r.now.Mono + taskRetry
		r.startWithoutRow(t)
		return
	}
	wasUncertain := t.uncertain
	t.uncertain = false
	if !e.Found {
		r.rowGone(t)
		return
	}
	if len(e.Task.Decisions) != len(t.Decisions) {
		// The write of the final row had taken effect, and an operator has since requeued the task.
		s := t.shard
		r.dropTask(t)
		r.loadTask(s, e.Task)
		return
	}
	if e.Task.Version == t.version && wasUncertain {
		t.nextWrite = r.now.Mono + conflictPause
	}
	stored := e.Task.Version > t.version && e.Task.Fence == t.Fence && e.Task.State == t.State
	unchanged := e.Task.Version == t.version && !wasUncertain
	t.version = e.Task.Version
	if e.Task.CancelRequested {
		r.cancelLoaded(t)
	}
	switch {
	case t.writing || unchanged:
	case stored:
		r.rowStored(t)
	default:
		t.dirty = true
		r.flushTask(t)
	}
}

// rowGone ends a task whose row has moved to the partition of finished tasks.
func (r *Reducer) rowGone(t *queuedTask) {
	if t.phase == phaseFinishing {
		r.finished(t)
		return
	}
	if t.holdsUnit {
		r.count("task_row_gone")
	}
	r.dropTask(t)
}

// finishTask stores a final state.
func (r *Reducer) finishTask(t *queuedTask, state beryllatch.TaskState, reason beryllatch.Reason) {
	r.releaseTask(t)
	r.tasks.ready.remove(t)
	t.State, t.Reason = state, reason
	t.Listed = state.WaitsForOperator()
	t.Finished = r.now.Wall
	t.phase = phaseFinishing
	r.writeTask(t)
}

func (r *Reducer) finished(t *queuedTask) {
	r.count("task." + string(t.State))
	if t.State == beryllatch.TaskDone && t.Finished.After(t.Deadline) {
		r.count("task_late")
	}
	if t.State.WaitsForOperator() {
		r.emit(LogState{Subject: "task/" + t.ID, From: string(beryllatch.TaskRunning), To: string(t.State), Detail: string(t.Reason)})
	}
	r.dropTask(t)
}
