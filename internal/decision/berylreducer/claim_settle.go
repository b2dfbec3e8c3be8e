package berylreducer

import (
	"slices"
	"time"
)

// claimStopWait bounds the wait of a stopping node for its claims. A row that is left as claimed becomes unknown to
// the other nodes once this one has gone.
const claimStopWait = 30 * time.Second

// maxAbsent bounds the memory for incarnations without a node row.
const maxAbsent = 256

// newAcquiringQueue orders the claims that requests wait for by the end of that wait.
func newAcquiringQueue() *priorityQueue[*claim] {
	before := earlier(func(c *claim) time.Duration { return c.giveUpAt }, func(c *claim) uint64 { return c.number })
	return newPriorityQueue(before, func(c *claim) *int { return &c.index })
}

// settleClaim records the final state of a claim in its row.
func (r *Reducer) settleClaim(c *claim, to ClaimState) {
	r.startSettling(c, to)
	r.writeSettled(c)
}

// withoutRun is the final state of a claim whose request did not run.
func (c *claim) withoutRun() ClaimState {
	if c.takenOver {
		return ClaimUnknown
	}
	return ClaimReleased
}

func (r *Reducer) startSettling(c *claim, to ClaimState) {
	c.row.State = to
	c.settlingSince = r.now.Mono
	c.step = claimChecking
}

// abandonClaim releases a claim that may have been written. The row is read first, as it may be another's.
func (r *Reducer) abandonClaim(c *claim) {
	r.startSettling(c, c.withoutRun())
	r.retryClaim(c)
}

func (r *Reducer) writeSettled(c *claim) {
	c.step = claimSettling
	if c.row.State == ClaimReleased {
		r.emit(ReleaseClaim{ID: c.id, Key: c.key, Row: c.row, Expect: c.version, Expires: r.expiry(releasedLife)})
		return
	}
	r.emit(FinishClaim{ID: c.id, Key: c.key, Row: c.row, Expect: c.version, Expires: r.expiry(claimLife)})
}

// claimSettled judges the write of a final state, which is repeated until it is surely in the row.
func (r *Reducer) claimSettled(c *claim, result WriteResult) {
	switch result {
	case WriteDone:
		delete(r.claims, c.id)
	case WriteConflict:
		r.readClaim(c, claimChecking)
	case WriteFailed, WriteUnknown:
		r.settleLater(c)
	}
}

// checkSettled compares the row with the final state. A missing row is written all the same: the tombstone makes a
// delayed write of the claim fail.
func (r *Reducer) checkSettled(c *claim, e ClaimRead) {
	ours := e.Row.Nonce == c.row.Nonce
	switch {
	case e.Version == 0 || ours && e.Row.State != c.row.State:
		c.version = e.Version
		r.writeSettled(c)
	case !ours && c.doubtful && r.now.Mono-c.settlingSince < claimLateWrite:
		r.settleLater(c)
	default:
		delete(r.claims, c.id)
	}
}

// settleLater repeats the present step, until claimSettle has passed.
func (r *Reducer) settleLater(c *claim) {
	if r.now.Mono-c.settlingSince >= claimSettle {
		r.count("claim_unsettled")
		delete(r.claims, c.id)
		return
	}
	r.retryClaim(c)
}

func (r *Reducer) retryClaim(c *claim) {
	c.retryAt = r.now.Mono + claimRetry
	r.claimRetries = append(r.claimRetries, c)
}

// tickClaims repeats the steps whose pause is over; the pauses are equal, so the list is in order.
func (r *Reducer) tickClaims() {
	for c, ok := r.acquiring.top(); ok && r.now.Mono >= c.giveUpAt; c, ok = r.acquiring.top() {
		r.leaveClaim(c)
	}
	// Without contact to the platform, the retries would only load the node and its network.
	for r.mayClaim() && len(r.claimRetries) > 0 && r.now.Mono >= r.claimRetries[0].retryAt {
		c := r.claimRetries[0]
		r.claimRetries = slices.Delete(r.claimRetries, 0, 1)
		if c.step == claimSettling {
			r.writeSettled(c)
		} else {
			r.readClaim(c, c.step)
		}
	}
}

// claimsIdle reports whether a stopping node need not wait for its claims any longer.
func (r *Reducer) claimsIdle() bool {
	return len(r.claims) == 0 || r.now.Mono-r.stopAt >= claimStopWait
}

// incarnationGone reports whether the tenure of an incarnation is known to have lapsed, or its node row is surely
// deleted, which happens only after its graceful stop or its known lapse. A node writes its row before it claims
// anything, so a row that is missing in a renewal sent after the claim was read has been deleted.
func (r *Reducer) incarnationGone(incarnation string) bool {
	m := r.members[incarnation]
	if incarnation == r.self.Incarnation || (m != nil && !m.absent) {
		delete(r.absent, incarnation)
		return r.knownLapsed(incarnation)
	}
	seen, ok := r.absent[incarnation]
	if !ok {
		r.noteAbsent(incarnation)
		return false
	}
	return r.tenure.pending.SentAt.Mono > seen
}

func (r *Reducer) noteAbsent(incarnation string) {
	if len(r.absent) >= maxAbsent {
		clear(r.absent)
	}
	if r.absent == nil {
		r.absent = map[string]time.Duration{}
	}
	r.absent[incarnation] = r.now.Mono
}
