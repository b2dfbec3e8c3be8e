package berylscheduler

import "time"

// pauseThreshold is the time without any event, of which there are ten a second, after which the process must have been paused.
const pauseThreshold = 700 * time.Millisecond

// checkPause stops starts and instance orders after a pause of the process until there is a proof that this node still
// schedules: another node may have taken over, and workers that it has not reached yet would still carry out orders of this
// epoch. Holds go on, since they only keep runs going.
func (s *Scheduler) checkPause() {
	last := s.lastEvent
	s.lastEvent = s.now
	if last.IsZero() {
		return
	}
	// The monotonic clock stands still while the machine is suspended, the wall clock does not.
	gap := max(s.now.Sub(last), s.now.Round(0).Sub(last.Round(0)))
	if gap < pauseThreshold {
		return
	}
	s.emit(Decision{Name: "process_was_paused", Age: gap})
	s.confirmed, s.pausedUntil = false, s.now
	s.requestConfirmation()
}

// requestConfirmation asks the store whether this node still schedules, unless such a request is in flight.
func (s *Scheduler) requestConfirmation() {
	if s.confirming {
		return
	}
	s.confirming, s.proof.requestedAt = true, s.now
	s.emit(ConfirmEpoch{})
}

func (s *Scheduler) epochConfirmed(e EpochConfirmed) {
	s.confirming = false
	switch {
	case e.Err != nil:
		// The next tick asks again.
	case !e.Current:
		s.resign("another node has taken over")
	default:
		s.recordProof(s.proof.requestedAt)
	}
}

// endPause lets starts and instance orders go on once there is a proof from after the last pause of the process.
func (s *Scheduler) endPause() {
	if s.confirmed || s.provenAt().Before(s.pausedUntil) {
		return
	}
	s.confirmed, s.placementDue = true, true
	s.emit(Decision{Name: "epoch_confirmed"})
}
