package berylreducer

import (
	"slices"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	// minReportInterval is the least time between two queries for the state of a running task.
	minReportInterval = 200 * time.Millisecond
	// defaultRunTime is the expected run time until the first task of a queue has completed.
	defaultRunTime = time.Minute
	// taskRunWeight is the divisor of the moving average of run times: the newest run contributes one eighth.
	taskRunWeight = 8
)

func (r *Reducer) taskStarted(e TaskStarted) {
	t := r.loadedTask(e.ID, e.Fence)
	if t == nil || t.phase != phaseSending {
		return
	}
	t.calling = false
	switch e.Outcome {
	case beryllatch.OutcomeAnswered:
		r.taskRunning(t)
	case beryllatch.OutcomeNotSent, beryllatch.OutcomeRefused:
		if e.Reason != beryllatch.ReasonPlatformUnavailable {
			t.Refusals++
		}
		t.leaseEnd = 0
		if w := r.workers[t.Instance]; w != nil && e.Outcome == beryllatch.OutcomeRefused {
			r.workerRefused(w)
		}
		r.count("task_retry." + string(e.Reason))
		r.requeue(t, backoff(t))
	default:
		r.startQuery(t)
	}
}

// taskRunning records that the worker has accepted the task, and starts the renewals of its lease.
func (r *Reducer) taskRunning(t *queuedTask) {
	t.phase = phaseRunning
	t.startedAt = r.now.Mono
	t.nextStep = r.now.Mono + r.reportInterval(t)
	t.Refusals = 0
	r.activate(t)
	if t.State != beryllatch.TaskRunning {
		t.State = beryllatch.TaskRunning
		r.writeTask(t)
	}
	if t.CancelRequested {
		r.cancelLoaded(t)
	}
}

// reportInterval is the time until the next renewal. Short tasks are renewed sooner than their lease requires, since only
// the answer to a renewal shows that a task has completed. The learned run time could otherwise never fall below the
// interval.
func (r *Reducer) reportInterval(t *queuedTask) time.Duration {
	return min(max(r.expectedRunTime(t.Queue)/2, minReportInterval), leaseRenewal)
}

// renewTask extends the task's lease. Without a tenure the node stops renewing early enough that the lease has ended
// before other nodes reclaim its units. For an adopted task without a unit it grants one lease only, which ends before
// the former owner uses its unit again.
func (r *Reducer) renewTask(t *queuedTask) {
	held := r.acquireUnit(t)
	t.nextStep = r.now.Mono + r.reportInterval(t)
	if r.now.Mono+taskLease+adoptionLease > r.tasks.lastTenureAt+maxLeaseAfterTenure {
		r.awaitLeaseEnd(t)
		return
	}
	if !held && t.formerUnitUsed {
		t.nextStep = r.now.Mono + minReportInterval
		if r.now.Mono >= t.leaseEnd+skewAllowance {
			r.startQuery(t)
		}
		return
	}
	t.formerUnitUsed = !held
	r.markCalling(t)
	r.emit(RenewTask{Execution: r.execution(t)})
	t.leaseEnd = r.now.Mono + taskLease
}

// acquireUnit takes a unit for an adopted task, which runs on its former owner's unit until then, and reports whether the
// task holds one. The unit may exceed the ceiling, since the former owner leaves its own unused until it has read about
// this one. A team that was removed from the configuration needs no units.
func (r *Reducer) acquireUnit(t *queuedTask) bool {
	u := r.units[t.Team]
	if t.holdsUnit || t.Team == "" || u == nil {
		return true
	}
	if r.usable(u) && u.running < u.held-u.promised {
		u.running++
		t.holdsUnit = true
		return true
	}
	u.needsRead = true
	return false
}

func (r *Reducer) markCalling(t *queuedTask) { t.calling = true }

func (r *Reducer) taskReported(e TaskReported) {
	t := r.loadedTask(e.ID, e.Fence)
	if t == nil || !t.calling {
		return
	}
	t.calling = false
	switch {
	case e.Refused:
		// A higher fence means that another node owns the shard.
		r.readShardsSoon()
		r.workerUnresponsive(t)
	case e.Failed:
		r.workerUnresponsive(t)
	default:
		r.applyReport(t, e.Report)
	}
}

func (r *Reducer) pauseTask(t *queuedTask) { t.nextStep = r.now.Mono + taskRetry }

// applyReport handles the state of the task that its worker has reported.
func (r *Reducer) applyReport(t *queuedTask, report beryllatch.TaskReport) {
	state := report.State
	t.Attempt = max(t.Attempt, int(uint32(report.Fence)))
	if uint32(report.Fence) < uint32(t.Attempt) && !r.tasks.disabled.fence {
		// The report is about an earlier attempt.
		state = beryllatch.TaskRunUnseen
	}
	switch state {
	case beryllatch.TaskRunRunning:
		r.reportedRunning(t)
	case beryllatch.TaskRunDone:
		r.reportedDone(t)
	case beryllatch.TaskRunFailed:
		r.reportedFailed(t)
	case beryllatch.TaskRunStopped:
		r.interrupted(t, true)
	default:
		r.reportedUnseen(t, report)
	}
}

func (r *Reducer) reportedRunning(t *queuedTask) {
	switch t.phase {
	case phaseQuerying:
		r.adoptTask(t)
	case phaseFencing, phaseStopping:
		r.pauseTask(t)
	default:
		if t.CancelRequested {
			r.cancelLoaded(t)
		}
	}
}

func (r *Reducer) reportedDone(t *queuedTask) {
	r.learnTaskTime(t)
	if w := r.workers[t.Instance]; w != nil {
		r.workerSucceeded(w)
	}
	r.releaseTask(t)
	t.leaseEnd = 0
	t.phase = phaseCollecting
	t.nextStep = r.now.Mono
	r.collectResult(t)
}

func (r *Reducer) learnTaskTime(t *queuedTask) {
	if t.startedAt == 0 {
		return
	}
	elapsed := r.now.Mono - t.startedAt
	learned, ok := r.tasks.runTime[t.Queue]
	if !ok {
		learned = elapsed
	}
	r.tasks.runTime[t.Queue] = learned + (elapsed-learned)/taskRunWeight
}

func (r *Reducer) expectedRunTime(queue string) time.Duration {
	if d, ok := r.tasks.runTime[queue]; ok {
		return d
	}
	return defaultRunTime
}

// reportedFailed retries an idempotent task on another worker. After failures on maxFailedOn workers the fault is assumed
// to be in the task itself, which is then parked.
func (r *Reducer) reportedFailed(t *queuedTask) {
	t.leaseEnd = 0
	r.count("task_failed_run")
	if w := r.workers[t.Instance]; w != nil {
		r.workerFailed(w, t.Team)
	}
	if !slices.Contains(t.FailedOn, t.Instance) {
		t.FailedOn = append(slices.Clone(t.FailedOn), t.Instance)
	}
	switch {
	case t.CancelRequested:
		r.finishTask(t, beryllatch.TaskCancelled, "")
	case !t.Idempotent:
		r.finishTask(t, beryllatch.TaskFailed, beryllatch.ReasonJobFailing)
	case len(t.FailedOn) >= maxFailedOn:
		r.finishTask(t, beryllatch.TaskParked, beryllatch.ReasonJobFailing)
	default:
		r.count("task_retry." + string(beryllatch.ReasonJobFailing))
		r.requeue(t, backoff(t))
	}
}

// interrupted handles a task that may have been started and is certain not to be running any more; stopped means that the
// worker has reported it as stopped.
func (r *Reducer) interrupted(t *queuedTask, stopped bool) {
	t.leaseEnd = 0
	switch {
	case t.CancelRequested && (t.Idempotent || stopped):
		r.finishTask(t, beryllatch.TaskCancelled, "")
	case t.Idempotent:
		r.count("task_retry." + string(beryllatch.ReasonAnswerLost))
		r.requeue(t, backoff(t))
	default:
		r.finishTask(t, beryllatch.TaskUnknown, beryllatch.ReasonAnswerLost)
	}
}

// collectResult reads the result from the worker, once the final row can be written. The worker keeps the result until
// then.
func (r *Reducer) collectResult(t *queuedTask) {
	r.activate(t)
	if r.taskOutage() || !r.owns(t.shard) || t.uncertain || t.writing || t.reading {
		return
	}
	r.markCalling(t)
	r.emit(CollectResult{ID: t.ID, Fence: r.fence(t), Address: r.config.Instances[t.Instance].Address})
}

func (r *Reducer) resultCollected(e ResultCollected) {
	t := r.loadedTask(e.ID, e.Fence)
	if t == nil || t.phase != phaseCollecting {
		return
	}
	t.calling = false
	switch {
	case e.StoreFailed:
		r.pauseTask(t)
	case e.WorkerFailed:
		r.awaitLeaseEnd(t)
	default:
		t.Result, t.ResultObject, t.ResultParts = e.Result, e.Object, e.Parts
		r.finishTask(t, beryllatch.TaskDone, "")
	}
}
