package berylreducer

import (
	"slices"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	// minReportInterval bounds the reports of short tasks.
	minReportInterval = 200 * time.Millisecond
	// defaultRunTime is assumed until the first task of a queue has ended.
	defaultRunTime = time.Minute
	// taskRunWeight is the part that the newest run contributes to the learned run time.
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
		r.taskRuns(t)
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
		r.ask(t)
	}
}

// taskRuns starts the renewals of a task that its worker has accepted.
func (r *Reducer) taskRuns(t *queuedTask) {
	t.phase = phaseRunning
	t.started = r.now.Mono
	t.next = r.now.Mono + r.reportInterval(t)
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

// reportInterval is the time until the next renewal. A short task is asked for sooner than its lease needs, since its end
// is only noticed by a report, and its learned run time would otherwise never fall below the interval.
func (r *Reducer) reportInterval(t *queuedTask) time.Duration {
	return min(max(r.expectedRunTime(t.Queue)/2, minReportInterval), leaseRenewal)
}

// renewTask extends the lease; a node without tenure stops doing so before others count its units as free, and an adopter
// without a unit before the former owner uses its own again.
func (r *Reducer) renewTask(t *queuedTask) {
	held := r.holdUnit(t)
	t.next = r.now.Mono + r.reportInterval(t)
	if r.now.Mono+taskLease+adoptionLease > r.tasks.freshAt+lapsedLease {
		r.giveUpSilent(t)
		return
	}
	if !held && t.lent {
		t.next = r.now.Mono + minReportInterval
		if r.now.Mono >= t.leaseEnd+skewAllowance {
			r.ask(t)
		}
		return
	}
	t.lent = !held
	r.call(t)
	r.emit(RenewTask{Execution: r.execution(t)})
	t.leaseEnd = r.now.Mono + taskLease
}

// holdUnit takes a unit for an adopted task, which runs on the unit of its former owner until then. The unit may lie
// beyond the ceiling: the former owner's stays idle until it knows of this one. A team that was removed has no units.
func (r *Reducer) holdUnit(t *queuedTask) bool {
	u := r.units[t.Team]
	if t.holds || t.Team == "" || u == nil {
		return true
	}
	if r.usable(u) && u.running < u.held-u.giving {
		u.running++
		t.holds = true
		return true
	}
	u.wanted = true
	return false
}

func (r *Reducer) call(t *queuedTask) { t.calling = true }

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
		r.silent(t)
	case e.Failed:
		r.silent(t)
	default:
		r.judgeReport(t, e.Report)
	}
}

func (r *Reducer) pauseTask(t *queuedTask) { t.next = r.now.Mono + taskRetry }

// judgeReport continues with what the worker says about the task.
func (r *Reducer) judgeReport(t *queuedTask, report beryllatch.TaskReport) {
	state := report.State
	t.Attempt = max(t.Attempt, int(uint32(report.Fence)))
	if uint32(report.Fence) < uint32(t.Attempt) && !r.tasks.off.fence {
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
	case phaseAsking:
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
	t.next = r.now.Mono
	r.collectResult(t)
}

func (r *Reducer) learnTaskTime(t *queuedTask) {
	if t.started == 0 {
		return
	}
	took := r.now.Mono - t.started
	old, ok := r.tasks.runTime[t.Queue]
	if !ok {
		old = took
	}
	r.tasks.runTime[t.Queue] = old + (took-old)/taskRunWeight
}

func (r *Reducer) expectedRunTime(queue string) time.Duration {
	if d, ok := r.tasks.runTime[queue]; ok {
		return d
	}
	return defaultRunTime
}

// reportedFailed retries an idempotent task on another worker, until the job itself must be at fault.
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

// interrupted handles a task that was started and surely runs no longer; stopped means that the worker said so.
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

// collectResult reads the result while the table can store it; until then the worker keeps it.
func (r *Reducer) collectResult(t *queuedTask) {
	r.activate(t)
	if r.taskOutage() || !r.owns(t.shard) || t.uncertain || t.writing || t.reading {
		return
	}
	r.call(t)
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
		r.giveUpSilent(t)
	default:
		t.Result, t.ResultObject, t.ResultParts = e.Result, e.Object, e.Parts
		r.finishTask(t, beryllatch.TaskDone, "")
	}
}
