package berylscheduler

import (
	"fmt"
	"time"
)

// incarnation is what is known of one incarnation of a worker: a process that knows nothing of the one before. It is replaced as a
// whole when another incarnation is seen, so that nothing outlives the process that it was learned from.
type incarnation struct {
	// discoveredAt is when the scheduler learned of the incarnation.
	discoveredAt time.Time
	// fence is that of all orders to the incarnation, see newIncarnation.
	fence int64
	// restarted is true if the scheduler knew of the incarnation before, whose orders may reach this one until it is first asked.
	restarted bool
	// unshared is true if all orders to the incarnation are of this epoch, which has had answers of the one before.
	unshared bool
	// synced is true once the scheduler knows all runs on the worker: its lists have been read in this epoch, all leases that it
	// can hold have expired, or it cannot have had runs before this epoch.
	synced bool
	// stopsEndBy is when the stops have ended that an earlier epoch ordered before the worker knew of this one.
	stopsEndBy time.Time

	// answerMissing is true from an unanswered order to the next answer; meanwhile the worker gets no new tasks.
	answerMissing bool
	// holdPending is true while a hold is in flight.
	holdPending bool
	// probePending is true while a probe is in flight, possibly beside a hold that waits for a completion.
	probePending bool
	// failedHolds counts the holds without an answer since the last answer.
	failedHolds int
	// lastContact is when the last hold that was answered was sent.
	lastContact time.Time
	// clock is the worker's clock as read at clockAt.
	clock   time.Duration
	clockAt time.Time

	// lastCompletion is the number of the last completion that was applied. The worker may forget completions up to
	// acknowledged, which has been sent up to sentAcknowledge.
	lastCompletion, acknowledged, sentAcknowledge int64
	// acknowledgeTaken is the highest number in a hold that was answered.
	acknowledgeTaken int64
	unacknowledged   []unacknowledgedCompletion

	// preparingSince is since when the worker has been prepared and not usable.
	preparingSince time.Time
	health         health
	speed          speed
}

// unacknowledgedCompletion is a completion that may be acknowledged once the change of the job is stored.
type unacknowledgedCompletion struct {
	number int64
	job    *job
	change uint64
}

// fencesPerEpoch separates the fences of epochs: those of a later epoch are always higher. A fence stays below 2^53, which JSON numbers
// hold exactly, for 2^33 epochs.
const fencesPerEpoch = 1 << 20

// newIncarnation returns the state of an incarnation that has just been seen. Its orders have a higher fence than those to any incarnation
// before: once it has received one, it refuses the orders to its predecessors under the same ID, however late they are delivered.
func (s *Scheduler) newIncarnation() incarnation {
	s.incarnations++
	if s.incarnations == fencesPerEpoch {
		s.resign("the fences of the epoch are used up")
	}
	return incarnation{discoveredAt: s.now, fence: s.Epoch*fencesPerEpoch + s.incarnations}
}

// beginIncarnation replaces what is known of the worker's incarnation if another one than the present one is seen. The runs stay booked:
// the orders for them may have reached the new incarnation, and its lists show which of them it has.
func (s *Scheduler) beginIncarnation(w *worker, number int64) {
	if number == w.info.Incarnation {
		return
	}
	if w.info.Incarnation == 0 {
		w.info.Incarnation = number
		return
	}
	s.emit(Decision{Name: "worker_restarted", Worker: w.info.ID, Detail: fmt.Sprintf("incarnation %d after %d", number, w.info.Incarnation)})
	w.info.Incarnation = number
	s.replaceIncarnation(w)
}

// replaceIncarnation replaces what is known of the worker's incarnation.
func (s *Scheduler) replaceIncarnation(w *worker) {
	unshared := !w.lastContact.IsZero()
	w.incarnation = s.newIncarnation()
	w.restarted, w.unshared = true, unshared
	if s.mayHoldLease(w) {
		// Its orders may have reached the new incarnation, on whose clock the lease is the longest possible one.
		w.leasesExpireBy = laterTime(w.leasesExpireBy, s.now.Add(expiryBound(s.Limits.MaxLease)))
	}
	w.nextHold = time.Time{}
	for _, r := range w.runs {
		// A stop that the incarnation before has confirmed is sent again, and a filler starts at its full speed.
		r.stopConfirmedAt, r.pace = time.Time{}, 100
	}
	s.fleet.workerByInstance = nil
	s.placementDue = true
}

// maxClockAge is how old a reading of a worker's clock may be before it is read again. A lease that is granted by a reading of
// that age is shorter by 1.2 s, and the worker's next answer holds a new reading.
const maxClockAge = time.Minute

// clockAtLeast returns the least time that the worker's clock can show now; it returns false before the clock was first read.
func (s *Scheduler) clockAtLeast(w *worker) (time.Duration, bool) {
	if w.clockAt.IsZero() {
		return 0, false
	}
	return w.clock + time.Duration(float64(s.now.Sub(w.clockAt))*(1-clockDrift)), true
}

// checkClock replaces the worker's incarnation by an unknown one if the clock in the answer to an order shows that the worker has started
// again since: its present incarnation's clock had passed that time when the order was sent. Only lists name the incarnation that
// answers.
func (s *Scheduler) checkClock(w *worker, clock time.Duration, sent time.Time) {
	if clock == 0 || w.clockAt.IsZero() {
		return
	}
	rate := 1 - clockDrift
	if sent.Before(w.clockAt) {
		rate = 1 + clockDrift
	}
	least := w.clock + time.Duration(float64(sent.Sub(w.clockAt))*rate) - time.Millisecond // Clocks are in whole milliseconds.
	if clock >= least {
		return
	}
	s.emit(Decision{Name: "worker_restarted", Worker: w.info.ID, Detail: fmt.Sprintf("its clock is at %s, and was at %s", clock, w.clock)})
	w.info.Incarnation = 0
	s.replaceIncarnation(w)
	s.sendHoldIfDue(w)
}

// hasRecentClock reports whether the worker's clock has been read within maxClockAge.
func (s *Scheduler) hasRecentClock(w *worker) bool {
	return !w.clockAt.IsZero() && s.now.Sub(w.clockAt) <= maxClockAge
}

// contactValidity is how long an answered hold shows which incarnation gets the next order. It is longer than a hold may take, so
// that a worker with runs stays in contact.
const contactValidity = 3 * time.Second

// inContact reports whether the worker's incarnation has answered a hold that was sent within contactValidity. An idle worker may
// have started again unnoticed.
func (s *Scheduler) inContact(w *worker) bool {
	return w.failedHolds == 0 && !w.lastContact.IsZero() && s.now.Sub(w.lastContact) <= contactValidity
}

// checkNumber logs completions that the worker has forgotten before it listed them. An earlier epoch may have acknowledged those before the
// first list, unless the incarnation is unshared.
func (s *Scheduler) checkNumber(w *worker, number int64) {
	if missing := number - w.lastCompletion - 1; missing > 0 && (w.lastCompletion > 0 || w.unshared) {
		s.emit(Decision{
			Name: "completions_missing", Worker: w.info.ID,
			Detail: fmt.Sprintf("%d before number %d, incarnation %d", missing, number, w.info.Incarnation), Age: s.now.Sub(w.discoveredAt),
		})
	}
}

func (w *worker) setClock(clock time.Duration, at time.Time) {
	if clock > 0 {
		w.clock, w.clockAt = clock, at
	}
}
