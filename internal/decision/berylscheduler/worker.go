package berylscheduler

import (
	"errors"
	"slices"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	// holdWait is how long a worker may wait for a completion before it answers a hold; it leaves most of the lease for
	// retries.
	holdWait = time.Second
	// lossyHoldWait is the wait while answers get lost. If the answer to a hold is lost, the scheduler learns of no completion
	// until the hold has timed out.
	lossyHoldWait = 250 * time.Millisecond
	// lossyPeriod is how long after a lost answer further ones are likely to be lost.
	lossyPeriod = 3 * time.Second
	// unconfirmedHoldWait is the wait while a start or a stop on the worker is not confirmed.
	unconfirmedHoldWait = 100 * time.Millisecond
	// fillerHoldWait is the wait for workers that run both fillers and tasks with a tail latency target. The answers are needed
	// often, to slow the fillers down in time.
	fillerHoldWait = 400 * time.Millisecond
	// unstoredHoldPause is the pause between holds for a worker with completions that are not stored yet.
	unstoredHoldPause = 100 * time.Millisecond
	// completionBatchPause is the pause after a completion on a worker with other runs, so that one answer reports several
	// completions.
	completionBatchPause = 80 * time.Millisecond
	// holdRetryPause is the pause between holds for a worker that does not answer.
	holdRetryPause = 300 * time.Millisecond
	// registryGrace is how long a registration that has disappeared still counts: it may have expired in an outage of the store
	// and come back.
	registryGrace = 2500 * time.Millisecond
)

// worker is a registered or formerly registered worker with its runs and booked capacity.
type worker struct {
	info beryllatch.WorkerInfo
	// registered is true while the worker has a registration; unregisteredAt is when it lost its last one.
	registered     bool
	unregisteredAt time.Time
	// discoveredAt is when the scheduler learned of the worker.
	discoveredAt time.Time
	// row is the worker's row, shared by all incarnations of its ID. The worker gets no runs before the row is stored, see
	// prepareWorkers.
	row *workerRow
	// synced is true once the scheduler knows all runs on the worker: its lists have been read in this epoch, or it cannot have
	// runs of an earlier one.
	synced bool
	runs   map[runID]*run
	// idleSince is when the last run ended; before the first run, it is when the scheduler learned of the worker.
	idleSince time.Time
	// longRunningRuns counts the runs of long-running tasks, and longRunningUse is the capacity booked for them.
	longRunningRuns int
	longRunningUse  beryllatch.Resources
	// reserved is the step that the worker is kept free for in the present pass.
	reserved *stepState
	// pendingStarts counts the start orders in flight.
	pendingStarts int
	used          beryllatch.Resources

	holdPending bool
	// probePending is true while a probe is in flight, possibly beside a hold that waits for a completion.
	probePending bool
	// answerMissing is true from an unanswered order to the next answer; meanwhile the worker gets no new tasks.
	answerMissing bool
	nextHold      time.Time
	// failedHolds counts the holds without an answer since the last answer.
	failedHolds int
	// lastContact is when the last hold that was answered was sent.
	lastContact time.Time
	// clock is the worker's clock as read at clockAt.
	clock   time.Duration
	clockAt time.Time
	// leasesExpireBy is when all leases that the worker may hold have expired.
	leasesExpireBy time.Time

	// lastCompletion is the number of the last completion that was applied. The worker may forget completions up to
	// acknowledged, which has been sent up to sentAcknowledge.
	lastCompletion, acknowledged, sentAcknowledge int64
	unacknowledged                                []unacknowledgedCompletion
	// unstoredListed is true while the worker is in Scheduler.unstored.
	unstoredListed bool

	health health
	speed  speed
	// preparedFor is the name of the worker's instance while there is an order for it; the worker gets no new tasks.
	preparedFor string
	// instanceOrderSent is true once that order has been sent.
	instanceOrderSent bool
}

// unacknowledgedCompletion is a completion that may be acknowledged once the change of the job is stored.
type unacknowledgedCompletion struct {
	number int64
	job    *job
	change uint64
}

// runID identifies a run.
type runID struct {
	task string
	n    int
}

func (w *worker) address() beryllatch.WorkerAddress {
	return beryllatch.WorkerAddress{ID: w.info.ID, Address: w.info.Address}
}

func (w *worker) encode() []byte { return mustEncode(w.info) }

// usable reports whether the worker may get new runs. A registration that has disappeared still counts for registryGrace.
func (s *Scheduler) usable(w *worker) bool {
	present := w.registered || (!w.unregisteredAt.IsZero() && s.now.Sub(w.unregisteredAt) < registryGrace)
	return present && w.synced && !w.clockAt.IsZero() && w.failedHolds == 0 && !w.answerMissing && w.row.version > 0 && s.inService(w) &&
		!w.health.isSuspect(s.now)
}

// inService reports whether the worker should keep running tasks: it is not draining, there is no order for its instance, and
// its data centre is not being evacuated.
func (s *Scheduler) inService(w *worker) bool {
	return !w.info.Draining && w.preparedFor == "" && !s.operations.Evacuated[w.info.DataCentre]
}

func (s *Scheduler) readRegistry(workers []beryllatch.WorkerInfo) {
	present := make(map[string]bool, len(workers))
	for _, i := range workers {
		present[i.ID] = true
	}
	for _, w := range s.sortedWorkers {
		if !present[w.info.ID] {
			s.unregister(w)
		}
	}
	for _, i := range workers {
		s.register(i)
	}
	for _, w := range s.sortedWorkers {
		s.sendHoldIfDue(w)
	}
}

func (s *Scheduler) changeRegistry(e RegistryChanged) {
	for _, id := range e.Removed {
		if w := s.workers[id]; w != nil {
			s.unregister(w)
		}
	}
	for _, i := range e.Workers {
		s.register(i)
	}
}

func (s *Scheduler) unregister(w *worker) {
	if !w.registered {
		return
	}
	w.registered, w.unregisteredAt = false, s.now
	s.emit(Decision{Name: "worker_gone", Worker: w.info.ID, Detail: "its registration is gone"})
	s.placementDue = true
}

func (s *Scheduler) register(i beryllatch.WorkerInfo) {
	if ended, ok := s.endedIncarnations[i.ID]; ok && i.Incarnation <= ended {
		return
	}
	w := s.workers[i.ID]
	if w == nil {
		// Earlier epochs have stored a row of each worker with runs, and this epoch has read all rows.
		w = &worker{info: i, registered: true, discoveredAt: s.now, idleSince: s.now, synced: true}
		s.endEarlierIncarnations(w)
		s.addWorker(w)
		s.emit(Decision{Name: "worker_registered", Worker: i.ID, Detail: i.Pool})
		s.placementDue = true
		s.sendHoldIfDue(w)
		return
	}
	if i.Incarnation != 0 && w.info.Incarnation != 0 && i.Incarnation > w.info.Incarnation {
		s.resetForIncarnation(w, i.Incarnation)
	}
	if i.Incarnation != 0 && i.Incarnation < w.info.Incarnation {
		return
	}
	if i.Draining && !w.info.Draining {
		s.emit(Decision{Name: "worker_draining", Worker: i.ID})
	}
	moved := i.Address != w.info.Address
	w.info, w.registered = i, true
	s.fleet.workerByInstance = nil
	if moved && w.prepared() {
		s.journal.setWorkerRow(i.ID, w.encode())
	}
	s.placementDue = true
}

// endEarlierIncarnations ends the workers that ran on the same instance before the new worker.
func (s *Scheduler) endEarlierIncarnations(n *worker) {
	if n.info.Instance == "" {
		return
	}
	for _, w := range s.sortedWorkers {
		if w.info.Instance == n.info.Instance && w.info.Incarnation < n.info.Incarnation {
			s.endIncarnation(w)
		}
	}
}

// endIncarnation writes off a worker that certainly has no runs any more. Its registration may stay for a while and is ignored.
func (s *Scheduler) endIncarnation(w *worker) {
	s.endedIncarnations[w.info.ID] = w.info.Incarnation
	s.resetForIncarnation(w, w.info.Incarnation)
	w.leasesExpireBy = s.now
	s.unregister(w)
}

// checkInstances ends the workers whose instance is not up or runs another worker, by a list of instances that was requested at
// the given time.
func (s *Scheduler) checkInstances(requestedAt time.Time) {
	for _, w := range s.sortedWorkers {
		i, ok := s.fleet.instances[w.info.Instance]
		if w.info.Instance == "" || !w.discoveredAt.Before(requestedAt) {
			continue
		}
		if !ok && w.registered {
			// The worker may have registered too late for the list.
			continue
		}
		if i.State != beryllatch.FleetInstanceUp || i.Worker != w.info.ID {
			if len(w.runs) > 0 || !w.synced || w.registered {
				s.emit(Decision{Name: "worker_ended", Worker: w.info.ID, Detail: "instance is " + string(i.State)})
				s.endIncarnation(w)
			}
		}
	}
}

// resetForIncarnation writes off the runs of the worker's previous incarnation, and resets what was known about it.
func (s *Scheduler) resetForIncarnation(w *worker, incarnation int64) {
	s.emit(Decision{Name: "worker_restarted", Worker: w.info.ID})
	for _, r := range s.runsOf(w) {
		s.release(r)
		s.recordLostRun(r, "worker restarted")
	}
	w.info.Incarnation = incarnation
	s.fleet.workerByInstance = nil
	w.lastCompletion, w.acknowledged, w.sentAcknowledge, w.unacknowledged, w.pendingStarts = 0, 0, 0, nil, 0
	w.clockAt, w.failedHolds, w.synced, w.health = time.Time{}, 0, true, health{}
	w.speed = speed{}
	w.answerMissing, w.probePending = false, false
	s.placementDue = true
}

// checkLease writes off the runs of a worker once all its leases have expired.
func (s *Scheduler) checkLease(w *worker) {
	if s.now.Before(w.leasesExpireBy) {
		return
	}
	if !w.synced && w.failedHolds == 0 {
		// The worker has not been asked yet, and may list a completion that an earlier epoch did not store.
		return
	}
	if !w.synced {
		w.synced = true
		s.emit(Decision{Name: "worker_settled", Worker: w.info.ID, Detail: "its longest lease has run out"})
		s.placementDue = true
	}
	for _, r := range s.runsOf(w) {
		s.release(r)
		s.recordLostRun(r, "lease ran out")
	}
}

// clockNow estimates the worker's clock; it returns false before the clock was first read.
func (s *Scheduler) clockNow(w *worker) (time.Duration, bool) {
	if w.clockAt.IsZero() {
		return 0, false
	}
	return w.clock + s.now.Sub(w.clockAt), true
}

func (w *worker) setClock(clock time.Duration, at time.Time) {
	if clock > 0 {
		w.clock, w.clockAt = clock, at
	}
}

// grantLease returns the end of a new lease by the worker's clock, or 0 if that clock is unknown.
func (s *Scheduler) grantLease(w *worker) time.Duration {
	clock, ok := s.clockNow(w)
	if !ok {
		return 0
	}
	w.leasesExpireBy = laterTime(w.leasesExpireBy, s.now.Add(s.leaseExpiryBound()))
	return clock + s.leaseLength()
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// hasUnconfirmedRun reports whether the start or the stop of a run on the worker is not confirmed.
func (w *worker) hasUnconfirmedRun() bool {
	for _, r := range w.runs {
		if r.phase == runUnconfirmed || r.phase == runStopping {
			return true
		}
	}
	return false
}

// sendHoldIfDue sends a hold if the worker has leases to extend, lists to read or completions to acknowledge.
func (s *Scheduler) sendHoldIfDue(w *worker) {
	if w.holdPending || s.now.Before(w.nextHold) || s.resigned {
		return
	}
	if !w.registered && w.synced && len(w.runs) == 0 {
		return
	}
	ack := s.storedCompletions(w)
	unstored := len(w.unacknowledged) > 0
	if w.synced && len(w.runs) == 0 && ack == w.sentAcknowledge && (!w.clockAt.IsZero() || !w.prepared()) {
		return
	}
	order := beryllatch.HoldOrder{Fence: s.Epoch, Acknowledge: ack, Wait: holdWait}
	switch {
	case !w.synced || w.clockAt.IsZero() || len(w.runs) == 0:
		order.Wait = 0
	case unstored:
		// The worker would answer at once, since it lists completions until they are acknowledged. Waiting for the store saves
		// useless holds.
		if s.now.Sub(w.lastContact) < unstoredHoldPause {
			return
		}
		order.Wait = 0
	case w.failedHolds > 0:
		order.Wait = 0
	case w.hasUnconfirmedRun():
		order.Wait = unconfirmedHoldWait
	case s.now.Before(s.lossyUntil):
		order.Wait = lossyHoldWait
	case w.mustPaceFillers():
		order.Wait = fillerHoldWait
	}
	if !w.synced && !s.mayAskUnsynced(w) {
		return
	}
	w.holdPending = true
	s.sendHold(w, order, false)
}

// maxUnsyncedHolds limits the holds for unsynced workers in flight. A node that has just taken over would otherwise ask all of
// them at once, and have too little processor time to handle the answers before its own time-outs.
const maxUnsyncedHolds = 96

// heldWorker identifies a hold in flight.
type heldWorker struct {
	id          string
	incarnation int64
}

// mayAskUnsynced counts a hold for an unsynced worker, and reports whether it may be sent now.
func (s *Scheduler) mayAskUnsynced(w *worker) bool {
	if len(s.unsyncedHolds) >= maxUnsyncedHolds {
		return false
	}
	if s.unsyncedHolds == nil {
		s.unsyncedHolds = make(map[heldWorker]bool)
	}
	s.unsyncedHolds[heldWorker{w.info.ID, w.info.Incarnation}] = true
	return true
}

// unsyncedHoldEnded sends the next hold for an unsynced worker, if the one that has ended was for such a worker.
func (s *Scheduler) unsyncedHoldEnded(e WorkerHeld) {
	h := heldWorker{e.Worker, e.Incarnation}
	if e.Probe || !s.unsyncedHolds[h] {
		return
	}
	full := len(s.unsyncedHolds) >= maxUnsyncedHolds
	delete(s.unsyncedHolds, h)
	if !full {
		return
	}
	for _, w := range s.sortedWorkers {
		if !w.synced && !w.holdPending {
			s.sendHoldIfDue(w)
			if len(s.unsyncedHolds) >= maxUnsyncedHolds {
				return
			}
		}
	}
}

// delayHold delays the worker's next hold by completionBatchPause.
func (s *Scheduler) delayHold(w *worker) {
	w.nextHold = s.now.Add(completionBatchPause)
	s.delayedHolds = append(s.delayedHolds, w)
	s.wakeForHolds()
}

// wakeForHolds requests a wake for the first delayed hold, unless one is under way.
func (s *Scheduler) wakeForHolds() {
	if len(s.delayedHolds) > 0 && !s.now.Before(s.holdWakeAt) {
		s.holdWakeAt = laterTime(s.delayedHolds[0].nextHold, s.now.Add(time.Millisecond))
		s.emit(WakeAfter{s.holdWakeAt.Sub(s.now)})
	}
}

// sendDelayedHolds sends the delayed holds that are due.
func (s *Scheduler) sendDelayedHolds() {
	due := 0
	for due < len(s.delayedHolds) && !s.now.Before(s.delayedHolds[due].nextHold) {
		s.sendHoldIfDue(s.delayedHolds[due])
		due++
	}
	s.delayedHolds = slices.Delete(s.delayedHolds, 0, due)
	s.wakeForHolds()
}

// acknowledgeStored sends holds to the workers whose completions have been stored meanwhile.
func (s *Scheduler) acknowledgeStored() {
	s.unstored = slices.DeleteFunc(s.unstored, func(w *worker) bool {
		s.sendHoldIfDue(w)
		w.unstoredListed = s.storedCompletions(w) != w.sentAcknowledge || len(w.unacknowledged) > 0
		return !w.unstoredListed
	})
}

func (s *Scheduler) sendHold(w *worker, order beryllatch.HoldOrder, probe bool) {
	// A worker that does not answer gets no new lease, so that its runs can be written off once its last lease has expired.
	if w.failedHolds == 0 {
		order.LeaseEnd = s.grantLease(w)
	}
	w.sentAcknowledge = order.Acknowledge
	s.emit(HoldWorker{Worker: w.address(), Incarnation: w.info.Incarnation, Order: order, Probe: probe})
}

// probe requests a worker's lists at once, even while a hold waits for a completion.
func (s *Scheduler) probe(w *worker) {
	if w.probePending || s.resigned {
		return
	}
	w.probePending = true
	s.sendHold(w, beryllatch.HoldOrder{Fence: s.Epoch, Acknowledge: s.storedCompletions(w)}, true)
}

// recordLostAnswer records an unanswered order. If the worker answers its holds, single answers are getting lost, and further
// losses are likely.
func (s *Scheduler) recordLostAnswer(w *worker) {
	w.answerMissing = true
	if w.failedHolds == 0 {
		s.lossyUntil = s.now.Add(lossyPeriod)
	}
}

// storedCompletions returns the number up to which all completions are stored.
func (s *Scheduler) storedCompletions(w *worker) int64 {
	for len(w.unacknowledged) > 0 {
		p := w.unacknowledged[0]
		if p.job != nil && p.job.rows.storedChange < p.change && s.jobs[p.job.ID] == p.job {
			break
		}
		w.acknowledged = p.number
		w.unacknowledged = w.unacknowledged[1:]
	}
	return w.acknowledged
}

// workerHeld handles the outcome of a hold.
func (s *Scheduler) workerHeld(e WorkerHeld) {
	defer s.unsyncedHoldEnded(e)
	w := s.workers[e.Worker]
	if w == nil || w.info.Incarnation != e.Incarnation {
		return
	}
	if e.Probe {
		w.probePending = false
	} else {
		w.holdPending = false
	}
	if e.Err != nil {
		s.holdFailed(w, e)
		return
	}
	w.answerMissing = false
	if e.Lists.Incarnation > w.info.Incarnation {
		if w.info.Incarnation != 0 {
			s.resetForIncarnation(w, e.Lists.Incarnation)
		}
		w.info.Incarnation = e.Lists.Incarnation
		s.fleet.workerByInstance = nil
	}
	if w.failedHolds > 0 {
		s.emit(Decision{Name: "worker_regained", Worker: w.info.ID})
		w.failedHolds = 0
		s.placementDue = true
	}
	w.nextHold = time.Time{}
	if len(e.Lists.Finished) > 0 && len(e.Lists.Running) > 0 {
		s.delayHold(w)
	}
	if w.clockAt.IsZero() {
		s.placementDue = true
	}
	w.setClock(e.Lists.Clock, s.now)
	if !w.synced {
		w.synced = true
		s.placementDue = true
		s.emit(Decision{Name: "worker_settled", Worker: w.info.ID, Detail: "its lists are read"})
	}
	if e.Sent.After(w.lastContact) || w.lastContact.IsZero() {
		w.lastContact = e.Sent
		s.applyLists(w, e)
	}
	s.sendHoldIfDue(w)
}

func (s *Scheduler) holdFailed(w *worker, e WorkerHeld) {
	var rejected *beryllatch.OrderRejectedError
	switch {
	case errors.As(e.Err, &rejected) && rejected.Reason == beryllatch.RejectFence:
		s.resign("worker " + w.info.ID + " has seen a later epoch")
	case e.Sent.Before(w.lastContact):
		// A hold that was sent later has been answered, so the worker is reachable.
		s.recordLostAnswer(w)
		w.answerMissing = false
		s.sendHoldIfDue(w)
	default:
		s.holdUnanswered(w, e.Err)
	}
}

// holdUnanswered counts a hold without an answer. After the first one the worker is asked again at once, since single answers
// get lost.
func (s *Scheduler) holdUnanswered(w *worker, err error) {
	if w.failedHolds == 0 {
		s.emit(Decision{Name: "worker_lost", Worker: w.info.ID, Detail: err.Error(), Age: s.now.Sub(w.lastContact)})
		s.recordLostAnswer(w)
	}
	w.failedHolds++
	w.nextHold = s.now.Add(holdRetryPause)
	if w.failedHolds == 1 {
		w.nextHold = s.now
	}
	s.listSoon()
	s.sendHoldIfDue(w)
}
