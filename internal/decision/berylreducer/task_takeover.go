package berylreducer

import (
	"github.com/beryllatch/beryllatch"
)

// takeOver continues a task that the former owner of the shard had dispatched.
func (r *Reducer) takeOver(t *queuedTask) {
	// The former owner's last lease ends within this time after the end of its tenure, and sooner if the owner has released
	// the shard.
	t.leaseEnd = r.now.Mono + maxLeaseAfterTenure
	r.startQuery(t)
	if t.CancelRequested {
		t.phase = phaseStopping
	}
	if r.tasks.disabled.dispatchRow && t.State == beryllatch.TaskQueued {
		r.makeReady(t)
	}
}

// startQuery makes the following ticks ask the worker for the state of an attempt, once the attempt can no longer start there.
func (r *Reducer) startQuery(t *queuedTask) {
	t.phase = phaseQuerying
	t.nextStep = r.now.Mono
	if wait := t.StartBy.Add(skewAllowance).Sub(r.now.Wall); wait > 0 {
		t.nextStep += wait
	}
	r.activate(t)
}

func (r *Reducer) queryTask(t *queuedTask) {
	i, ok := r.config.Instances[t.Instance]
	if !ok {
		r.awaitLeaseEnd(t)
		return
	}
	r.markCalling(t)
	r.emit(QueryTask{ID: t.ID, Fence: r.fence(t), Address: i.Address})
}

// adoptTask continues a task that is running, under the fence of the current epoch.
func (r *Reducer) adoptTask(t *queuedTask) {
	r.count("task_adopted")
	if w := r.workers[t.Instance]; w != nil && !t.holdsSlot {
		r.addExecution(w)
		t.holdsSlot = true
	}
	started := t.startedAt
	r.taskRunning(t)
	t.startedAt = started
	t.nextStep = r.now.Mono
	if t.phase == phaseRunning {
		r.renewTask(t)
	}
}

// reportedUnseen handles a worker that has not received the attempt. The attempt is past its latest start, and a StopTask
// under the current fence makes sure that the worker refuses it, so that a wrong clock at the worker does not let the
// task run twice.
func (r *Reducer) reportedUnseen(t *queuedTask, report beryllatch.TaskReport) {
	sameBoot := report.BootID == t.BootID
	if !sameBoot || t.State != beryllatch.TaskDispatching {
		r.interrupted(t, sameBoot && t.phase == phaseStopping)
		return
	}
	if t.phase == phaseQuerying && !r.tasks.disabled.fence {
		t.phase = phaseFencing
		r.stopTask(t)
		return
	}
	t.leaseEnd = 0
	r.count("task_retry." + string(beryllatch.ReasonWorkerUnreachable))
	r.requeue(t, 0)
}

// awaitLeaseEnd handles a worker that gives no answer. The worker stops the task at the end of its lease; after that, the
// task counts as interrupted at once or, if it is not idempotent, only after unresponsiveWorkerTimeout.
func (r *Reducer) awaitLeaseEnd(t *queuedTask) {
	r.pauseTask(t)
	stoppedBy := t.leaseEnd + skewAllowance
	if r.now.Mono < stoppedBy {
		return
	}
	r.releaseTask(t)
	_, configured := r.config.Instances[t.Instance]
	if t.Idempotent || !configured || r.now.Mono >= stoppedBy+unresponsiveWorkerTimeout {
		r.interrupted(t, false)
	}
}

// workerUnresponsive handles a call without an answer. A renewal without an answer may have extended the lease, so the
// worker's state is queried before the next renewal.
func (r *Reducer) workerUnresponsive(t *queuedTask) {
	if t.phase == phaseRunning {
		t.phase = phaseQuerying
	}
	r.awaitLeaseEnd(t)
}
