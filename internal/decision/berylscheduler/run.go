package berylscheduler

import (
	"cmp"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/beryllatch/beryllatch"
)

// runPhase is how much the scheduler knows of a run's start and stop.
type runPhase int

const (
	// runStarting means that a start order is in flight.
	runStarting runPhase = iota
	// runPresent means that the worker has confirmed or listed the run.
	runPresent
	// runUnconfirmed means that a start order was not answered: the run may exist.
	runUnconfirmed
	// runStopping means that a stop order has been sent.
	runStopping
)

const (
	// runsPerEpoch separates the run numbers of epochs: those of a later epoch are always higher.
	runsPerEpoch = 1000
	// stopRetryPause is the pause before an unanswered stop order is sent again.
	stopRetryPause = 400 * time.Millisecond
	// maxStartAttempts limits the start orders for one run. Repeating them is harmless: a worker starts each run number once.
	maxStartAttempts = 4
	// restartPause is the pause before a task whose start was rejected, or a long-running task that failed, is started again.
	// It keeps a task that fails at once from being restarted in a tight loop.
	restartPause = 200 * time.Millisecond
)

// run is one execution of a task on a worker. Its capacity is booked from the start order until the worker lists its completion
// or the run is written off.
type run struct {
	id     runID
	task   *task
	worker *worker
	booked beryllatch.Resources
	// charged is what counts against the team's ceiling.
	charged beryllatch.Resources
	team    string
	// yields is true for runs of classes that give way to work in time of teams within their share.
	yields bool
	phase  runPhase
	sentAt time.Time
	// fence is that of the last start order, or the worker's when it listed a run that was not booked.
	fence int64
	// confirmedAt is when the worker first confirmed or listed the run.
	confirmedAt time.Time
	// unconfirmedSince is when the last start order went unanswered.
	unconfirmedSince time.Time
	stopSentAt       time.Time
	// listing is the number of the last list that names the run.
	listing uint64
	// stopConfirmedAt is when the worker confirmed the stop order.
	stopConfirmedAt time.Time
	stopPending     bool
	// startAttempts counts the start orders. Once one of them has gone unanswered, only the worker's lists show what became of
	// the run.
	startAttempts int
	ticket        string
	// percent is the progress of the run.
	percent int
	// advancedAt is when percent last changed.
	advancedAt time.Time
	// resumed is true for runs that load a checkpoint before they work.
	resumed bool
	// load is the load that the worker last reported, as in beryllatch.RunningEntry.
	load int
	// pace is the confirmed speed of a filler, in percent of its full speed.
	pace        int
	pacePending bool
	checkpoint  string
}

// runsOf returns the runs of a worker, sorted by task and number.
func (s *Scheduler) runsOf(w *worker) []*run {
	if len(w.runs) == 0 {
		return nil
	}
	out := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *run) int { return cmp.Or(strings.Compare(a.id.task, b.id.task), a.id.n-b.id.n) })
	return out
}

// book adds a run to the worker and the task, and books its capacity; t is nil if the scheduler does not know the task.
func (s *Scheduler) book(w *worker, t *task, id runID) *run {
	r := &run{id: id, task: t, worker: w, sentAt: s.now, fence: w.fence, pace: 100}
	if t != nil {
		r.booked, r.charged, r.team = t.step.spec.ReservedCapacity(), t.step.spec.Needs, t.step.job.Team
		if len(t.runs) == 0 && !t.done {
			t.step.tasksWaiting--
		}
		t.runs = append(t.runs, r)
		t.lastRun = max(t.lastRun, id.n)
		t.step.lastRun = max(t.step.lastRun, id.n)
		t.step.job.bookedRuns++
		if t.step.spec.LongRunning {
			w.longRunningRuns++
			w.longRunningUse = w.longRunningUse.Plus(r.booked)
		}
	} else {
		// The needs of the run are unknown, so the worker gets nothing else until it has ended.
		r.booked = w.info.Capacity
	}
	if w.runs == nil {
		w.runs = make(map[runID]*run)
	}
	w.runs[id] = r
	w.used = w.used.Plus(r.booked)
	team := s.team(r.team)
	team.used = team.used.Plus(r.charged)
	if t != nil {
		team.booked = team.booked.Plus(r.booked)
	}
	return r
}

// release removes a run that has ended or is written off, and frees its capacity.
func (s *Scheduler) release(r *run) {
	w := r.worker
	if w.runs[r.id] != r {
		return
	}
	delete(w.runs, r.id)
	w.idleSince = s.now
	w.used = w.used.Minus(r.booked)
	if r.yields {
		w.yieldingCPU -= r.booked.CPUMilli
	}
	team := s.team(r.team)
	team.used = team.used.Minus(r.charged)
	s.placementDue = true
	t := r.task
	if t == nil {
		return
	}
	team.booked = team.booked.Minus(r.booked)
	t.step.job.bookedRuns--
	if t.step.spec.LongRunning {
		w.longRunningRuns--
		w.longRunningUse = w.longRunningUse.Minus(r.booked)
	}
	t.runs = slices.DeleteFunc(t.runs, func(o *run) bool { return o == r })
	if len(t.runs) == 0 && !t.done {
		t.step.tasksWaiting++
	}
}

// recordLostRun logs that a run has been lost, and keeps its checkpoint for the task's next run.
func (s *Scheduler) recordLostRun(r *run, reason string) {
	t := r.task
	if t == nil || t.done || t.step.job.state.Final() {
		return
	}
	if r.checkpoint != "" {
		t.checkpoint = r.checkpoint
	}
	s.emit(Decision{
		Name: "run_lost", Job: t.step.job.ID, Task: t.name, Worker: r.worker.info.ID, Run: r.id.n, Detail: reason, Age: s.proofAge(),
	})
}

// nextRun returns the number after the last run, in the range of the epoch.
func (s *Scheduler) nextRun(last int) int { return max(last+1, int(s.Epoch-1)*runsPerEpoch+1) }

// startTask books run n of the task and sends the start order.
func (s *Scheduler) startTask(w *worker, t *task, n int, ticket string) {
	r := s.book(w, t, runID{t.name, n})
	if s.shared && s.candidate(t.step.job.queue, t.step).class > classInShare {
		r.yields = true
		w.yieldingCPU += r.booked.CPUMilli
	}
	r.checkpoint, r.ticket, r.resumed = t.checkpoint, ticket, t.checkpoint != ""
	s.sendStart(r)
	s.emit(Decision{Name: "run_start", Job: t.step.job.ID, Task: t.name, Worker: w.info.ID, Run: n, Age: s.now.Sub(w.lastContact)})
	if !w.holdPending {
		s.sendHoldIfDue(w)
	}
}

func (s *Scheduler) sendStart(r *run) {
	w := r.worker
	r.startAttempts++
	r.fence = w.fence
	s.pendingStarts++
	w.pendingStarts++
	s.emit(StartRun{Worker: w.address(), Order: beryllatch.StartOrder{
		Task: r.id.task, Run: r.id.n, Payload: r.task.step.job.Payload, LeaseEnd: s.grantLease(w), Fence: w.fence,
		Checkpoint: r.checkpoint, Ticket: r.ticket,
	}})
}

func (s *Scheduler) startEnded(e StartEnded) {
	s.pendingStarts--
	s.placementDue = true
	w := s.workers[e.Worker]
	if w == nil {
		return
	}
	w.pendingStarts = max(w.pendingStarts-1, 0)
	r := w.runs[runID{e.Task, e.Run}]
	if r != nil && e.Fence == w.fence {
		s.checkClock(w, e.Clock, r.sentAt)
	}
	present := e.Fence == w.fence
	if e.Err == nil && present {
		w.setClock(e.Clock, s.now)
		w.answerMissing = false
	}
	if r == nil {
		return
	}
	var rejected *beryllatch.OrderRejectedError
	switch {
	case e.Err == nil:
		r.confirm(s.now)
	case errors.As(e.Err, &rejected) && rejected.Reason == beryllatch.RejectFence && present:
		s.resign("worker " + w.info.ID + " has seen a later epoch")
	case errors.As(e.Err, &rejected) && (r.startAttempts == 1 || rejected.Reason == beryllatch.RejectIncarnation):
		s.startRejected(w, r, rejected, present)
	case !present:
		// The first lists of the present incarnation show whether it has the run.
	case r.phase == runStarting:
		s.startUnanswered(w, r, e.Err)
	}
	s.sendHoldIfDue(w)
}

// confirm records that the worker has begun the run.
func (r *run) confirm(now time.Time) {
	if r.phase == runStarting || r.phase == runUnconfirmed {
		r.phase = runPresent
	}
	if r.confirmedAt.IsZero() {
		r.confirmedAt = now
	}
	if r.task != nil {
		r.task.step.job.begun = true
	}
}

// startUnanswered repeats a start order and probes the worker. A worker may carry out an order seconds after it was sent. The
// repeat starts the run at once, and the late order has no effect since the worker has already started that run.
func (s *Scheduler) startUnanswered(w *worker, r *run, err error) {
	s.emit(Decision{Name: "start_unanswered", Task: r.id.task, Worker: w.info.ID, Run: r.id.n, Detail: err.Error()})
	s.recordLostAnswer(w)
	var rejected *beryllatch.OrderRejectedError
	if r.startAttempts < maxStartAttempts && s.mayAct() && w.synced && w.failedHolds == 0 && s.inService(w) && !errors.As(err, &rejected) {
		s.sendStart(r)
	} else {
		r.phase, r.unconfirmedSince = runUnconfirmed, s.now
		w.health.recordUnanswered(s.now)
	}
	s.probe(w)
}

// startRejected removes a run that the worker has certainly not started: its first start order was rejected, or a repeated one
// was rejected for its incarnation. present is true if the order was sent to the worker's present incarnation.
func (s *Scheduler) startRejected(w *worker, r *run, e *beryllatch.OrderRejectedError, present bool) {
	s.emit(Decision{Name: "start_rejected", Task: r.id.task, Worker: w.info.ID, Run: r.id.n, Detail: e.Error()})
	s.release(r)
	if r.task != nil {
		r.task.notBefore = s.now.Add(restartPause)
		if e.Reason == beryllatch.RejectTicket {
			s.dropTicket(r.task.step, w)
		}
	}
	s.placementDue = true
	if !present {
		return
	}
	switch e.Reason {
	case beryllatch.RejectUnsent, beryllatch.RejectIncarnation:
		s.holdUnanswered(w, e)
	case beryllatch.RejectLate:
		// The estimate of the worker's clock was off: the next hold reads it again.
		w.clockAt = time.Time{}
	case beryllatch.RejectBusy, beryllatch.RejectNoRoom, beryllatch.RejectOther:
		w.health.recordRefusal(s.now)
	}
}

// stop sends a stop order for the run; its capacity stays booked until the worker lists the completion.
func (s *Scheduler) stop(r *run, reason string) {
	if r.phase == runStopping {
		return
	}
	r.phase, r.stopSentAt = runStopping, s.now
	s.emit(Decision{Name: "run_stop", Task: r.id.task, Worker: r.worker.info.ID, Run: r.id.n, Detail: reason})
	s.sendStop(r)
}

func (s *Scheduler) sendStop(r *run) {
	r.stopPending = true
	s.emit(StopRun{Worker: r.worker.address(), Order: beryllatch.StopOrder{
		Task: r.id.task, Run: r.id.n, Fence: r.worker.fence,
	}})
}

func (s *Scheduler) stopEnded(e StopEnded) {
	w := s.workers[e.Worker]
	if w == nil {
		return
	}
	r := w.runs[runID{e.Task, e.Run}]
	if r == nil {
		return
	}
	r.stopPending = false
	var rejected *beryllatch.OrderRejectedError
	switch {
	case e.Fence != w.fence:
		// repeatStops sends it to the present incarnation.
	case errors.As(e.Err, &rejected) && rejected.Reason == beryllatch.RejectFence:
		s.resign("worker " + w.info.ID + " has seen a later epoch")
	case e.Err == nil:
		r.stopConfirmedAt = s.now
		w.answerMissing = false
		if r.confirmedAt.IsZero() {
			// A run that never started has no completion, so the lists have to show that it is absent.
			s.probe(w)
		}
		s.sendHoldIfDue(w)
	default:
		s.recordLostAnswer(w)
		if w.failedHolds == 0 {
			s.sendStop(r)
			return
		}
		// repeatStops sends it again.
		r.stopSentAt = s.now
	}
}

// repeatStops sends stop orders again that were not answered.
func (s *Scheduler) repeatStops(w *worker) {
	if !w.hasStoppingRun() {
		return
	}
	for _, r := range s.runsOf(w) {
		if r.phase == runStopping && !r.stopPending && r.stopConfirmedAt.IsZero() && s.now.Sub(r.stopSentAt) >= stopRetryPause {
			r.stopSentAt = s.now
			s.sendStop(r)
		}
	}
}

// hasStoppingRun reports whether a stop order has been sent for a run of the worker.
func (w *worker) hasStoppingRun() bool {
	for _, r := range w.runs {
		if r.phase == runStopping {
			return true
		}
	}
	return false
}

// applyLists applies the worker's lists of finished and running runs.
func (s *Scheduler) applyLists(w *worker, e WorkerHeld) {
	for _, f := range e.Lists.Finished {
		if f.Number > w.lastCompletion {
			s.checkNumber(w, f.Number)
			w.lastCompletion = f.Number
			s.recordCompletion(w, f)
		}
	}
	s.listings++
	for _, l := range e.Lists.Running {
		s.recordRunning(w, runID{l.Task, l.Run}, l).listing = s.listings
	}
	if !e.Lists.MoreFinished {
		for _, r := range s.runsOf(w) {
			if r.listing != s.listings {
				s.checkMissing(r, e.Sent)
			}
		}
	}
	s.adjustPace(w)
	s.restartStragglers(w)
}

// checkMissing handles a run that is missing from the worker's lists in the answer to a hold that was sent at the given time.
func (s *Scheduler) checkMissing(r *run, sent time.Time) {
	switch {
	case r.fence < r.worker.fence:
		// The worker has started again, and refuses the orders that were sent before.
		s.release(r)
		s.recordLostRun(r, "restarted worker does not have it")
	case r.phase == runStopping && !r.stopConfirmedAt.IsZero() && sent.After(r.stopConfirmedAt):
		// A worker lists a stopping run as running until it lists its completion, so this run never started.
		s.release(r)
		s.recordLostRun(r, "stopped before it began")
	case r.phase == runStopping:
	case !r.confirmedAt.IsZero() && sent.After(r.confirmedAt):
		s.release(r)
		s.recordLostRun(r, "worker no longer lists it")
	case r.phase == runUnconfirmed && sent.After(r.unconfirmedSince):
		// The start order may still arrive; the stop order makes the worker ignore it then.
		s.stop(r, "start was not answered")
	}
}

// recordRunning applies an entry of the list of running runs.
func (s *Scheduler) recordRunning(w *worker, id runID, l beryllatch.RunningEntry) *run {
	r := w.runs[id]
	if r == nil {
		r = s.adopt(w, id)
	}
	r.confirm(s.now)
	s.recordProgress(r, l.Percent)
	r.load = l.Load
	if l.Checkpoint != "" {
		r.checkpoint = l.Checkpoint
	}
	return r
}

// adopt books a run that the scheduler does not know: one of an earlier epoch, or one whose start order arrived late. The run
// is stopped if its task does not need it.
func (s *Scheduler) adopt(w *worker, id runID) *run {
	t := s.findTask(id.task)
	needed := t != nil && !t.done && !t.step.job.state.Final() && (len(t.runs) == 0 || t.step.spec.Speculative)
	r := s.book(w, t, id)
	s.emit(Decision{Name: "run_adopted", Task: id.task, Worker: w.info.ID, Run: id.n})
	if !needed {
		s.stop(r, "run is not wanted")
	}
	return r
}

// recordCompletion applies an entry of the list of finished runs, and queues it for acknowledgement.
func (s *Scheduler) recordCompletion(w *worker, f beryllatch.FinishedEntry) {
	id := runID{f.Task, f.Run}
	r := w.runs[id]
	t := s.findTask(f.Task)
	if r != nil {
		s.release(r)
	}
	s.emit(Decision{Name: "run_end", Task: f.Task, Worker: w.info.ID, Run: f.Run, Detail: string(f.Outcome)})
	pending := unacknowledgedCompletion{number: f.Number}
	if t != nil {
		t.step.job.begun = true
		s.applyCompletion(w, t, r, f)
		pending.job, pending.change = t.step.job, t.step.job.rows.latestChange
	}
	w.unacknowledged = append(w.unacknowledged, pending)
	if !w.unstoredListed {
		w.unstoredListed = true
		s.unstored = append(s.unstored, w)
	}
}

// applyCompletion updates the task, its job and the worker's health with the outcome of a run; r is nil if the run is not
// booked, such as one that was written off before.
func (s *Scheduler) applyCompletion(w *worker, t *task, r *run, f beryllatch.FinishedEntry) {
	if f.Checkpoint != "" && !t.done {
		t.checkpoint = f.Checkpoint
		if t.step.spec.Checkpoints {
			s.markChanged(t.step.job)
		}
	}
	final := t.step.job.state.Final()
	switch f.Outcome {
	case beryllatch.RunDone:
		if r != nil {
			s.recordDuration(t.step, r)
			w.health.recordSuccess(s.now)
		}
		if final || t.done {
			return
		}
		if r == nil && len(t.runs) > 0 && !t.step.spec.Speculative {
			// The run was written off when its lease expired, and another run of the task has started.
			return
		}
		if t.step.spec.LongRunning {
			return
		}
		s.finishTask(t)
	case beryllatch.RunFailed:
		w.health.recordFailure(s.now, t.step.job.ID)
		if final || t.done {
			return
		}
		s.recordFailedRun(t, w, f.Run)
		if t.step.spec.LongRunning {
			t.notBefore = s.now.Add(restartPause)
		}
	case beryllatch.RunStopped, beryllatch.RunLeaseExpired, beryllatch.RunGangBroken, beryllatch.RunGangIncomplete:
	}
}
