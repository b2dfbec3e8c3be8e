package berylscheduler

import "time"

// PeerProofLimit is how long after its last heartbeat a scheduling node may rely on the word of the nodes that it knows. A node that may
// be unknown to it takes over only once the heartbeat has not changed for this time. It is longer than the outages of the store that
// have been seen.
const PeerProofLimit = 10 * time.Second

// MaxActingProofAge is the age of the proof up to which tasks start and runs are stopped. It covers the longest interval of the probes of
// the other nodes twice, since an echo comes with the next probe.
const MaxActingProofAge = 3 * time.Second

const (
	// proofInterval is the time after which the store is asked again whether this node still schedules, if no transaction has shown it.
	proofInterval = 500 * time.Millisecond
	// oldProof is the age from which the lack of a newer proof is logged. It covers a transaction at a slow store.
	oldProof = time.Second
	// maxUnnoticedProofAge is the age of the proof up to which a worker gets a lease that has not answered lately.
	maxUnnoticedProofAge = 1500 * time.Millisecond
	// maxOrderingProofAge is as MaxActingProofAge for orders to instances, which an instance that another node has ordered or filled meanwhile
	// carries out. It is about the time that a takeover takes.
	maxOrderingProofAge = 1500 * time.Millisecond
)

// epochProof is what shows that no other node had taken over by a given time.
type epochProof struct {
	// storeAt is when the last request was sent whose answer shows that the duty row is still that of this epoch.
	storeAt time.Time
	// peersAt is as in Ticked.
	peersAt time.Time
	// heartbeatSent is when a stored heartbeat was sent, heartbeatAnswered when its answer came. It is replaced by a later one once it
	// is heartbeatAt.
	heartbeatSent, heartbeatAnswered time.Time
	// heartbeatAt is when a heartbeat was sent that was stored before storeAt, and so before any takeover.
	heartbeatAt time.Time
	// requestedAt is when the confirmation in flight was requested.
	requestedAt time.Time
	// old is true while the proof is older than oldProof.
	old bool
}

// provenAt returns the latest time at which certainly no other node had taken over.
//
// What a scheduling node infers from its own past orders holds only as long as no other node gives orders: a worker that it can't reach
// may have got longer leases, other runs or another instance order from its successor.
//
// While the store answers no node, the word of all nodes that this one knows takes the place of its answer. One that this node doesn't
// know takes over only after PeerProofLimit without a heartbeat, so that their word counts for that long.
func (s *Scheduler) provenAt() time.Time {
	return laterTime(s.proof.storeAt, earlierTime(s.proof.peersAt, s.proof.heartbeatAt.Add(PeerProofLimit)))
}

// proofAge returns the time since provenAt. The monotonic clock stands still while the machine is suspended, the wall clock does not.
func (s *Scheduler) proofAge() time.Duration {
	at := s.provenAt()
	return max(s.now.Sub(at), s.now.Round(0).Sub(at.Round(0)))
}

// mayAct reports whether tasks may start and runs may be stopped: both rest on the belief that no other node does so too.
func (s *Scheduler) mayAct() bool { return s.confirmed && s.proofAge() <= MaxActingProofAge }

// mayOrderInstances reports whether instances may be moved or maintained.
func (s *Scheduler) mayOrderInstances() bool {
	return s.mayAct() && s.proofAge() <= maxOrderingProofAge && s.now.Sub(s.startedAt) >= s.InstanceOrderDelay
}

// mayMaintain reports whether instances may be maintained. The scheduling node before may still order instances of a wave, or have ordered
// some that the last list of instances doesn't show yet.
func (s *Scheduler) mayMaintain() bool {
	return !s.PredecessorMayAct || s.fleet.listShows.Sub(s.startedAt) >= MaxActingProofAge
}

// recordProof records that the store has answered a request, sent at the given time, as it does only without a successor.
func (s *Scheduler) recordProof(sent time.Time) {
	s.proof.storeAt = laterTime(s.proof.storeAt, sent)
	if !s.proof.heartbeatAnswered.After(s.proof.storeAt) {
		s.proof.heartbeatAt = s.proof.heartbeatSent
	}
	s.checkProof()
}

func (s *Scheduler) heartbeatStored(e HeartbeatStored) {
	if !s.proof.heartbeatSent.After(s.proof.heartbeatAt) {
		s.proof.heartbeatSent, s.proof.heartbeatAnswered = e.Sent, s.now
	}
}

// awaitsProof reports whether the answer to a transaction in flight may soon be a proof. A confirmation would only wait behind it, since the
// store carries out the transactions of a part one after another.
func (s *Scheduler) awaitsProof() bool {
	for _, b := range s.journal.batches {
		if s.now.Sub(b.sentAt) < oldProof {
			return true
		}
	}
	return false
}

// checkProof requests a new proof if the last one is not recent, and logs when there has been none for a while.
func (s *Scheduler) checkProof() {
	age := s.proofAge()
	if s.now.Sub(s.proof.storeAt) >= proofInterval && !s.awaitsProof() {
		s.requestConfirmation()
	}
	if old := age >= oldProof; old != s.proof.old {
		s.proof.old = old
		name := "epoch_proven"
		if old {
			name = "epoch_unproven"
		}
		s.emit(Decision{Name: name, Age: age})
	}
	s.endPause()
}
