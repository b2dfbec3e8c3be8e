package berylreducer

import (
	"github.com/beryllatch/beryllatch"
)

// takeOver continues a task that a former owner of the shard had begun.
func (r *Reducer) takeOver(t *queuedTask) {
	// The former owner's last lease ends at most this much after the end of its tenure.
	t.leaseEnd = r.now.Mono + lapsedLease
	r.ask(t)
	if t.CancelRequested {
		t.phase = phaseStopping
	}
	if r.tasks.off.dispatchRow && t.State == beryllatch.TaskQueued {
		r.makeReady(t)
	}
}

// ask finds out about an attempt of unknown state, once it can no longer start.
func (r *Reducer) ask(t *queuedTask) {
	t.phase = phaseAsking
	t.next = r.now.Mono
	if wait := t.StartBy.Add(skewAllowance).Sub(r.now.Wall); wait > 0 {
		t.next += wait
	}
	r.activate(t)
}

func (r *Reducer) askTask(t *queuedTask) {
	i, ok := r.config.Instances[t.Instance]
	if !ok {
		r.giveUpSilent(t)
		return
	}
	r.call(t)
	r.emit(AskTask{ID: t.ID, Fence: r.fence(t), Address: i.Address})
}

// adoptTask goes on with a task that runs, under the fence of the present epoch.
func (r *Reducer) adoptTask(t *queuedTask) {
	r.count("task_adopted")
	if w := r.workers[t.Instance]; w != nil && !t.counted {
		r.occupy(w)
		t.counted = true
	}
	started := t.started
	r.taskRuns(t)
	t.started = started
	t.next = r.now.Mono
	if t.phase == phaseRunning {
		r.renewTask(t)
	}
}

// reportedUnseen handles a worker that does not know the attempt. The attempt can no longer start by the clock; a stop
// under the present fence makes sure of it, so that a wrong clock at the worker does not run the task twice.
func (r *Reducer) reportedUnseen(t *queuedTask, report beryllatch.TaskReport) {
	sameBoot := report.BootID == t.BootID
	if !sameBoot || t.State != beryllatch.TaskDispatching {
		r.interrupted(t, sameBoot && t.phase == phaseStopping)
		return
	}
	if t.phase == phaseAsking && !r.tasks.off.fence {
		t.phase = phaseFencing
		r.stopTask(t)
		return
	}
	t.leaseEnd = 0
	r.count("task_retry." + string(beryllatch.ReasonWorkerUnreachable))
	r.requeue(t, 0)
}

// giveUpSilent handles a worker without an answer, which stops the task at the end of its lease.
func (r *Reducer) giveUpSilent(t *queuedTask) {
	r.pauseTask(t)
	ended := t.leaseEnd + skewAllowance
	if r.now.Mono < ended {
		return
	}
	r.releaseTask(t)
	_, listed := r.config.Instances[t.Instance]
	if t.Idempotent || !listed || r.now.Mono >= ended+workerSilence {
		r.interrupted(t, false)
	}
}

// silent asks again before the lease is renewed, since a renewal without an answer may have extended it.
func (r *Reducer) silent(t *queuedTask) {
	if t.phase == phaseRunning {
		t.phase = phaseAsking
	}
	r.giveUpSilent(t)
}
