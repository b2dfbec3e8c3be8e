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
	// idleRetryPause is the same for a worker without runs.
	idleRetryPause = time.Second
)

// sendHoldIfDue sends a hold if the worker has leases to extend, lists to read or completions to acknowledge, or if it is not known
// whether it answers.
func (s *Scheduler) sendHoldIfDue(w *worker) {
	if w.holdPending || s.now.Before(w.nextHold) || s.resigned {
		return
	}
	ack := s.storedCompletions(w)
	if !s.holdDue(w, ack) {
		return
	}
	order := beryllatch.HoldOrder{Fence: w.fence, Acknowledge: ack, Wait: holdWait}
	switch {
	case len(w.unacknowledged) > 0 && s.awaitsStore(w, ack):
		// The worker would answer at once, since it lists completions until they are acknowledged. Waiting for the store saves
		// useless holds.
		if s.now.Sub(w.lastContact) < unstoredHoldPause {
			return
		}
		order.Wait = 0
	case !w.synced || !s.hasRecentClock(w) || len(w.runs) == 0 || !s.inContact(w):
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

// awaitsStore reports whether the next hold can only bring the completions again that are being stored.
func (s *Scheduler) awaitsStore(w *worker, ack int64) bool {
	if !w.synced {
		return ack == w.sentAcknowledge
	}
	return s.inContact(w) && s.hasRecentClock(w) && len(w.runs) > 0
}

// holdDue reports whether the worker has to be asked. Workers without work are left alone only as long as nothing about them is in
// doubt: a worker that has not answered is asked until it answers or its registration is gone.
func (s *Scheduler) holdDue(w *worker, ack int64) bool {
	switch {
	case !w.synced || len(w.runs) > 0:
		return true
	case !w.registered:
		return false
	}
	return ack != w.sentAcknowledge || w.failedHolds > 0 || w.answerMissing || w.prepared() && (!s.hasRecentClock(w) || s.leaseLength() > 0 && s.needsContact(w))
}

// maxUnsyncedHolds limits the holds for unsynced workers in flight. A node that has just taken over would otherwise ask all of
// them at once, and have too little processor time to handle the answers before its own time-outs.
const maxUnsyncedHolds = 96

// mayAskUnsynced counts a hold for an unsynced worker, and reports whether it may be sent now.
func (s *Scheduler) mayAskUnsynced(w *worker) bool {
	if len(s.unsyncedHolds) >= maxUnsyncedHolds {
		return false
	}
	if s.unsyncedHolds == nil {
		s.unsyncedHolds = make(map[int64]bool)
	}
	s.unsyncedHolds[w.fence] = true
	return true
}

// unsyncedHoldEnded sends the next hold for an unsynced worker, if the one that has ended was for such a worker.
func (s *Scheduler) unsyncedHoldEnded(e WorkerHeld) {
	if e.Probe || !s.unsyncedHolds[e.Fence] {
		return
	}
	full := len(s.unsyncedHolds) >= maxUnsyncedHolds
	delete(s.unsyncedHolds, e.Fence)
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
		if s.workers[w.info.ID] != w {
			return true
		}
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
	// Another incarnation would forget completions that the scheduler has never read, since their numbers start anew. So a number is sent
	// only while the worker answers, and until it has taken note of it.
	mayAcknowledge := s.inContact(w) && !w.answerMissing
	if mayAcknowledge {
		w.sentAcknowledge = order.Acknowledge
	}
	if !mayAcknowledge || order.Acknowledge <= w.acknowledgeTaken {
		order.Acknowledge = 0
	}
	s.emit(HoldWorker{Worker: w.address(), Order: order, Probe: probe})
}

// probe requests a worker's lists at once, even while a hold waits for a completion.
func (s *Scheduler) probe(w *worker) {
	if w.probePending || s.resigned {
		return
	}
	w.probePending = true
	s.sendHold(w, beryllatch.HoldOrder{Fence: w.fence, Acknowledge: s.storedCompletions(w)}, true)
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
	if w == nil {
		return
	}
	if e.Fence != w.fence {
		// The hold was sent to an earlier incarnation. Even if the present one has answered it, other orders to the earlier one may still be
		// carried out after it.
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
	if !s.answersForPresent(w, e) {
		s.sendHoldIfDue(w)
		return
	}
	if w.restarted && w.lastContact.IsZero() {
		// Until now, orders to the incarnation before may have granted a lease, which is the longest possible one on this one's clock.
		w.leasesExpireBy = laterTime(w.leasesExpireBy, s.now.Add(expiryBound(s.Limits.MaxLease)))
	}
	w.acknowledgeTaken = max(w.acknowledgeTaken, e.Acknowledge)
	w.answerMissing = false
	if w.failedHolds > 0 {
		s.emit(Decision{Name: "worker_regained", Worker: w.info.ID})
		w.failedHolds = 0
		s.placementDue = true
	}
	w.nextHold = time.Time{}
	if len(e.Lists.Finished) > 0 && len(e.Lists.Running) > 0 {
		s.delayHold(w)
	}
	if !s.hasRecentClock(w) {
		s.placementDue = true
	}
	w.setClock(e.Lists.Clock, s.now)
	if !w.synced && !e.Lists.MoreFinished {
		w.synced, w.storedPool, w.stopsEndBy = true, "", s.now.Add(s.Limits.StopTimeout+stopMargin)
		s.placementDue = true
		s.emit(Decision{Name: "worker_settled", Worker: w.info.ID, Detail: "its lists are read"})
	}
	if e.Sent.After(w.lastContact) || w.lastContact.IsZero() {
		w.lastContact = e.Sent
		s.applyLists(w, e)
	}
	s.sendHoldIfDue(w)
}

// answersForPresent reports whether the lists are those of the incarnation that the hold was sent to. Otherwise they are the first to
// show the present one, which has to be asked with its own fence.
func (s *Scheduler) answersForPresent(w *worker, e WorkerHeld) bool {
	n := e.Lists.Incarnation
	if n == 0 {
		return true
	}
	if n == w.info.Incarnation {
		w.noticeLeases(e.Sent)
	}
	s.beginIncarnation(w, n)
	return e.Fence == w.fence
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
	// The worker may not have received what was sent, and gets it again once it answers.
	w.sentAcknowledge = 0
	switch {
	case w.failedHolds == 1:
		w.nextHold = s.now
	case w.synced && len(w.runs) == 0:
		w.nextHold = s.now.Add(idleRetryPause)
	default:
		w.nextHold = s.now.Add(holdRetryPause)
	}
	s.listSoon()
	s.sendHoldIfDue(w)
}
