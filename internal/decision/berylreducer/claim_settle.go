package berylreducer

import (
	"slices"
	"time"
)

// claimStopWait bounds how long a stopping node waits until the outcomes of its claims are recorded. The other nodes treat
// a row that is left in the state claimed as a request that may have run, once this node has stopped.
const claimStopWait = 30 * time.Second

// maxAbsent bounds the number of incarnations without a node row that the node remembers.
const maxAbsent = 256

// newAcquiringQueue returns a queue of claims that are not yet acquired, ordered by giveUpAt.
func newAcquiringQueue() *priorityQueue[*claim] {
	before := orderByTime(func(c *claim) time.Duration { return c.giveUpAt }, func(c *claim) uint64 { return c.number })
	return newPriorityQueue(before, func(c *claim) *int { return &c.index })
}

// settleClaim begins to record the final state of a claim in its row.
func (r *Reducer) settleClaim(c *claim, to ClaimState) {
	r.startSettling(c, to)
	r.writeSettled(c)
}

// stateIfNotRun is the final state of a claim whose request did not run. If the claim replaces one whose request may have
// run, the outcome remains unknown.
func (c *claim) stateIfNotRun() ClaimState {
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

// abandonClaim releases a claim that may have been written. It reads the row first, which may hold another node's claim.
func (r *Reducer) abandonClaim(c *claim) {
	r.startSettling(c, c.stateIfNotRun())
	r.retryClaim(c)
}

func (r *Reducer) writeSettled(c *claim) {
	c.step = claimSettling
	if c.row.State == ClaimReleased {
		r.emit(ReleaseClaim{ID: c.id, Key: c.key, Row: c.row, Expect: c.version, Expires: r.expiry(releasedClaimRetention)})
		return
	}
	r.emit(FinishClaim{ID: c.id, Key: c.key, Row: c.row, Expect: c.version, Expires: r.expiry(claimRetention)})
}

// claimSettled handles the result of writing a final state. The write is repeated until the row is known to hold that
// state.
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

// checkSettled compares the stored row with the final state and writes that again if necessary. A missing row is written
// too, as a tombstone that makes a delayed write of the claim fail.
func (r *Reducer) checkSettled(c *claim, e ClaimRead) {
	ownClaim := e.Row.Nonce == c.row.Nonce
	switch {
	case e.Version == 0 || ownClaim && e.Row.State != c.row.State:
		c.version = e.Version
		r.writeSettled(c)
	case !ownClaim && c.writeUncertain && r.now.Mono-c.settlingSince < lateClaimWrite:
		r.settleLater(c)
	default:
		delete(r.claims, c.id)
	}
}

// settleLater repeats the current step after a pause; after claimSettleTimeout it gives up.
func (r *Reducer) settleLater(c *claim) {
	if r.now.Mono-c.settlingSince >= claimSettleTimeout {
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

// tickClaims gives up the claims that requests have waited for too long, and repeats the steps whose pause is over. The
// list of retries is sorted by time, since all pauses are equally long.
func (r *Reducer) tickClaims() {
	for c, ok := r.acquiring.top(); ok && r.now.Mono >= c.giveUpAt; c, ok = r.acquiring.top() {
		r.giveUpClaim(c)
	}
	// While the platform cannot be reached, retries would only load the node and its network.
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

// claimsIdle reports whether a stopping node no longer has to wait for its claims.
func (r *Reducer) claimsIdle() bool {
	return len(r.claims) == 0 || r.now.Mono-r.acceptUntil >= claimStopWait
}

// incarnationEnded reports whether the tenure of an incarnation has expired, or its node row is deleted, which happens only
// after a graceful stop or after the tenure has expired. A node writes its row before it claims any key. A node row that is
// still missing in a renewal that was sent after the claim was read has therefore been deleted.
func (r *Reducer) incarnationEnded(incarnation string) bool {
	m := r.members[incarnation]
	if incarnation == r.self.Incarnation || (m != nil && !m.absent) {
		delete(r.absentSince, incarnation)
		return r.hasExpired(incarnation)
	}
	notedAt, ok := r.absentSince[incarnation]
	if !ok {
		r.recordAbsent(incarnation)
		return false
	}
	return r.tenure.pendingRenewal.SentAt.Mono > notedAt
}

func (r *Reducer) recordAbsent(incarnation string) {
	if len(r.absentSince) >= maxAbsent {
		clear(r.absentSince)
	}
	if r.absentSince == nil {
		r.absentSince = map[string]time.Duration{}
	}
	r.absentSince[incarnation] = r.now.Mono
}
