package berylscheduler

import (
	"cmp"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/beryllatch/beryllatch"
)

// runPhase is how far a run is known to have come.
type runPhase int

const (
	// runStarting has a start order without an answer so far.
	runStarting runPhase = iota
	// runPresent is on its worker.
	runPresent
	// runUnsettled has a start order that was not answered.
	runUnsettled
	// runStopping has a stop order.
	runStopping
)

const (
	// runsPerEpoch keeps the numbers of an epoch's runs above those of the one before.
	runsPerEpoch = 1000
	// stopRetry spaces stop orders that were not answered.
	stopRetry = 400 * time.Millisecond
	// startTries bounds the orders for one run: its number makes the repeats harmless.
	startTries = 4
	// restartPause delays a task that fails at once, again and again.
	restartPause = 200 * time.Millisecond
)

// run is one run of a task on a worker; its capacity is booked from the order until its end is listed.
type run struct {
	id     runID
	task   *task
	worker *worker
	booked beryllatch.Resources
	// charged is what the team is charged.
	charged beryllatch.Resources
	team    string
	phase   runPhase
	sent    time.Time
	// present is when the worker has confirmed the start.
	present time.Time
	// settle is when the outcome became open.
	settle  time.Time
	stopped time.Time
	// stopAnswered is when the worker has confirmed the stop order.
	stopAnswered time.Time
	stopSent     bool
	// tries counts the start orders; after the first one without an answer only the worker's lists tell what became of it.
	tries   int
	ticket  string
	percent int
	// advanced is when percent has last changed.
	advanced time.Time
	// resumed runs load a checkpoint before they work.
	resumed    bool
	load       int
	pace       int
	pacing     bool
	checkpoint string
}

// runsOf returns the runs of a worker in a stable order.
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

// book enters a run into the books.
func (s *Scheduler) book(w *worker, t *task, id runID) *run {
	r := &run{id: id, task: t, worker: w, sent: s.now, pace: 100}
	if t != nil {
		r.booked, r.charged, r.team = t.step.spec.ReservedCapacity(), t.step.spec.Needs, t.step.job.Team
		if len(t.runs) == 0 && !t.done {
			t.step.waiting--
		}
		t.runs = append(t.runs, r)
		t.lastRun = max(t.lastRun, id.n)
		t.step.lastRun = max(t.step.lastRun, id.n)
		t.step.job.begun = true
		t.step.job.running++
		if t.step.spec.LongRunning {
			w.serving++
			w.lasting = w.lasting.Plus(r.booked)
		}
	} else {
		// Nobody knows what the run takes: the worker gets nothing else until it has ended.
		r.booked = w.info.Capacity
	}
	if w.runs == nil {
		w.runs = make(map[runID]*run)
	}
	w.runs[id] = r
	w.used = w.used.Plus(r.booked)
	team := s.team(r.team)
	team.used = team.used.Plus(r.charged)
	return r
}

// release takes a run that is over out of the books.
func (s *Scheduler) release(r *run) {
	w := r.worker
	if w.runs[r.id] != r {
		return
	}
	delete(w.runs, r.id)
	w.used = w.used.Minus(r.booked)
	team := s.team(r.team)
	team.used = team.used.Minus(r.charged)
	s.placeable = true
	t := r.task
	if t == nil {
		return
	}
	t.step.job.running--
	if t.step.spec.LongRunning {
		w.serving--
		w.lasting = w.lasting.Minus(r.booked)
	}
	t.runs = slices.DeleteFunc(t.runs, func(o *run) bool { return o == r })
	if len(t.runs) == 0 && !t.done {
		t.step.waiting++
	}
}

// requeue logs that a task goes back to wait.
func (s *Scheduler) requeue(r *run, reason string) {
	t := r.task
	if t == nil || t.done || t.step.job.state.Final() {
		return
	}
	if r.checkpoint != "" {
		t.saved = r.checkpoint
	}
	s.emit(Decision{Name: "run_lost", Job: t.step.job.ID, Task: t.name, Worker: r.worker.info.ID, Run: r.id.n, Detail: reason})
}

// nextRun returns the number of a task's next run.
func (s *Scheduler) nextRun(last int) int { return max(last+1, int(s.Epoch-1)*runsPerEpoch+1) }

// startTask orders a run of the task.
func (s *Scheduler) startTask(w *worker, t *task, n int, ticket string) {
	r := s.book(w, t, runID{t.name, n})
	r.checkpoint, r.ticket, r.resumed = t.saved, ticket, t.saved != ""
	s.sendStart(r)
	s.emit(Decision{Name: "run_start", Job: t.step.job.ID, Task: t.name, Worker: w.info.ID, Run: n, Age: s.now.Sub(w.heard)})
	if !w.holding {
		s.holdDue(w)
	}
}

func (s *Scheduler) sendStart(r *run) {
	w := r.worker
	r.tries++
	s.starting++
	w.starting++
	s.emit(StartRun{Worker: w.address(), Incarnation: w.info.Incarnation, Order: beryllatch.StartOrder{
		Task: r.id.task, Run: r.id.n, Payload: r.task.step.job.Payload, LeaseEnd: s.grant(w), Fence: s.Epoch,
		Checkpoint: r.checkpoint, Ticket: r.ticket,
	}})
}

func (s *Scheduler) startEnded(e StartEnded) {
	s.starting--
	s.placeable = true
	w := s.workers[e.Worker]
	if w == nil || w.info.Incarnation != e.Incarnation {
		return
	}
	w.starting--
	r := w.runs[runID{e.Task, e.Run}]
	if e.Err == nil {
		w.setClock(e.Clock, s.now)
		w.doubted = false
	}
	if r == nil {
		return
	}
	var rejected *beryllatch.OrderRejectedError
	switch {
	case e.Err == nil:
		if r.phase == runStarting {
			r.phase = runPresent
		}
		if r.present.IsZero() {
			r.present = s.now
		}
	case errors.As(e.Err, &rejected) && (r.tries == 1 || rejected.Reason == beryllatch.RejectFence || rejected.Reason == beryllatch.RejectIncarnation):
		s.startRejected(w, r, rejected)
	case r.phase == runStarting:
		s.startUnanswered(w, r, e.Err)
	}
	s.holdDue(w)
}

// startUnanswered repeats a start order, and looks at the worker. A worker may carry out an order seconds after it was sent:
// a repeat starts the run at once, and the late order finds it there or ended.
func (s *Scheduler) startUnanswered(w *worker, r *run, err error) {
	s.emit(Decision{Name: "start_unanswered", Task: r.id.task, Worker: w.info.ID, Run: r.id.n, Detail: err.Error()})
	s.noteLoss(w)
	var rejected *beryllatch.OrderRejectedError
	if r.tries < startTries && w.failures == 0 && s.stays(w) && !errors.As(err, &rejected) {
		s.sendStart(r)
	} else {
		r.phase, r.settle = runUnsettled, s.now
		w.health.unanswered(s.now)
	}
	s.look(w)
}

// startRejected takes back a run that the worker surely has not started by this order.
func (s *Scheduler) startRejected(w *worker, r *run, e *beryllatch.OrderRejectedError) {
	if e.Reason == beryllatch.RejectFence {
		s.resign("worker " + w.info.ID + " has seen a later epoch")
		return
	}
	s.emit(Decision{Name: "start_rejected", Task: r.id.task, Worker: w.info.ID, Run: r.id.n, Detail: e.Error()})
	s.release(r)
	if r.task != nil {
		r.task.notBefore = s.now.Add(restartPause)
		if e.Reason == beryllatch.RejectTicket {
			s.dropTicket(r.task.step, w)
		}
	}
	switch e.Reason {
	case beryllatch.RejectUnsent, beryllatch.RejectIncarnation:
		s.workerSilent(w, e)
	case beryllatch.RejectLate:
		// The estimate of the worker's clock was off: the next hold reads it again.
		w.clockAt = time.Time{}
	case beryllatch.RejectBusy, beryllatch.RejectNoRoom, beryllatch.RejectOther:
		w.health.refuse(s.now)
	}
	s.placeable = true
}

// stop orders the end of a run; what is being stopped stays booked.
func (s *Scheduler) stop(r *run, reason string) {
	if r.phase == runStopping {
		return
	}
	r.phase, r.stopped = runStopping, s.now
	s.emit(Decision{Name: "run_stop", Task: r.id.task, Worker: r.worker.info.ID, Run: r.id.n, Detail: reason})
	s.sendStop(r)
}

func (s *Scheduler) sendStop(r *run) {
	r.stopSent = true
	s.emit(StopRun{Worker: r.worker.address(), Incarnation: r.worker.info.Incarnation, Order: beryllatch.StopOrder{
		Task: r.id.task, Run: r.id.n, Fence: s.Epoch,
	}})
}

func (s *Scheduler) stopEnded(e StopEnded) {
	w := s.workers[e.Worker]
	if w == nil || w.info.Incarnation != e.Incarnation {
		return
	}
	r := w.runs[runID{e.Task, e.Run}]
	if r == nil {
		return
	}
	r.stopSent = false
	if e.Err == nil {
		r.stopAnswered = s.now
		w.doubted = false
		if r.present.IsZero() {
			// No end tells of a run that never began.
			s.look(w)
		}
		s.holdDue(w)
		return
	}
	var rejected *beryllatch.OrderRejectedError
	if errors.As(e.Err, &rejected) && rejected.Reason == beryllatch.RejectFence {
		s.resign("worker " + w.info.ID + " has seen a later epoch")
		return
	}
	s.noteLoss(w)
	if w.failures == 0 {
		s.sendStop(r)
		return
	}
	// checkRuns sends it again.
	r.stopped = s.now
}

// checkRuns repeats stop orders and settles starts that were not answered.
func (s *Scheduler) checkRuns(w *worker) {
	if !w.stopping() {
		return
	}
	for _, r := range s.runsOf(w) {
		if r.phase == runStopping && !r.stopSent && r.stopAnswered.IsZero() && s.now.Sub(r.stopped) >= stopRetry {
			r.stopped = s.now
			s.sendStop(r)
		}
	}
}

// stopping reports whether a run of the worker has a stop order.
func (w *worker) stopping() bool {
	for _, r := range w.runs {
		if r.phase == runStopping {
			return true
		}
	}
	return false
}

// takeLists compares a worker's lists with the books.
func (s *Scheduler) takeLists(w *worker, e WorkerHeld) {
	for _, f := range e.Lists.Finished {
		if f.Number > w.seen {
			w.seen = f.Number
			s.takeEnd(w, f)
		}
	}
	listed := make(map[runID]bool, len(e.Lists.Running))
	for _, l := range e.Lists.Running {
		id := runID{l.Task, l.Run}
		listed[id] = true
		s.takeRunning(w, id, l)
	}
	for _, r := range s.runsOf(w) {
		if !listed[r.id] {
			s.checkMissing(r, e.Sent)
		}
	}
	s.checkPace(w)
	s.watchProgress(w)
}

// checkMissing handles a run that a worker does not list, by a look that was sent at the given time.
func (s *Scheduler) checkMissing(r *run, sent time.Time) {
	switch {
	case r.phase == runStopping && !r.stopAnswered.IsZero() && sent.After(r.stopAnswered):
		// What is being stopped is listed as running until its end is listed.
		s.release(r)
		s.requeue(r, "stopped before it began")
	case r.phase == runStopping:
	case !r.present.IsZero() && sent.After(r.present):
		s.release(r)
		s.requeue(r, "worker no longer lists it")
	case r.phase == runUnsettled && sent.After(r.settle):
		// The order may still arrive: the stop makes sure that it has no effect then.
		s.stop(r, "start was not answered")
	}
}

// takeRunning notes that a worker lists a run.
func (s *Scheduler) takeRunning(w *worker, id runID, l beryllatch.RunningEntry) {
	r := w.runs[id]
	if r == nil {
		r = s.adopt(w, id)
	}
	if r.phase == runStarting || r.phase == runUnsettled {
		r.phase = runPresent
	}
	if r.present.IsZero() {
		r.present = s.now
	}
	s.noteProgress(r, l.Percent)
	r.load = l.Load
	if l.Checkpoint != "" {
		r.checkpoint = l.Checkpoint
	}
}

// adopt books a run that the scheduler has not started: one of an earlier epoch, or an order that arrived late.
func (s *Scheduler) adopt(w *worker, id runID) *run {
	t := s.find(id.task)
	wanted := t != nil && !t.done && !t.step.job.state.Final() && (len(t.runs) == 0 || t.step.spec.Speculative)
	r := s.book(w, t, id)
	s.emit(Decision{Name: "run_adopted", Task: id.task, Worker: w.info.ID, Run: id.n})
	if !wanted {
		s.stop(r, "run is not wanted")
	}
	return r
}

// takeEnd takes an end that a worker lists.
func (s *Scheduler) takeEnd(w *worker, f beryllatch.FinishedEntry) {
	id := runID{f.Task, f.Run}
	r := w.runs[id]
	t := s.find(f.Task)
	if r != nil {
		s.release(r)
	}
	s.emit(Decision{Name: "run_end", Task: f.Task, Worker: w.info.ID, Run: f.Run, Detail: string(f.Outcome)})
	pending := pendingEnd{number: f.Number}
	if t != nil {
		s.endTask(w, t, r, f)
		pending.job, pending.change = t.step.job, t.step.job.row.change
	}
	w.ends = append(w.ends, pending)
}

// endTask draws the consequences of an end for its task.
func (s *Scheduler) endTask(w *worker, t *task, r *run, f beryllatch.FinishedEntry) {
	if f.Checkpoint != "" && !t.done {
		t.saved = f.Checkpoint
		if t.step.spec.Checkpoints {
			s.changed(t.step.job)
		}
	}
	final := t.step.job.state.Final()
	switch f.Outcome {
	case beryllatch.RunDone:
		if r != nil {
			s.learn(t.step, r)
			w.health.succeed(s.now)
		}
		if final || t.done {
			return
		}
		if r == nil && len(t.runs) > 0 && !t.step.spec.Speculative {
			// The run was written off with its lease, and another one is under way.
			return
		}
		if t.step.spec.LongRunning {
			return
		}
		s.finishTask(t)
	case beryllatch.RunFailed:
		w.health.fail(s.now, t.step.job.ID)
		if final || t.done {
			return
		}
		s.taskFailed(t, w, f.Run)
		if t.step.spec.LongRunning {
			t.notBefore = s.now.Add(restartPause)
		}
	case beryllatch.RunStopped, beryllatch.RunLeaseExpired, beryllatch.RunGangBroken, beryllatch.RunGangIncomplete:
	}
}
