package berylreducer

import (
	"strconv"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	// claimRetention is how long a claim's row is kept, and so the period in which a repeat of the request is recognised.
	claimRetention = 24 * time.Hour
	// releasedClaimRetention is how long a released row is kept; it is longer than a delayed write of the same claim can
	// take.
	releasedClaimRetention = 10 * time.Minute
	// claimWait bounds how long a request waits for its claim to be written.
	claimWait  = 3 * time.Second
	claimRetry = 500 * time.Millisecond
	// lateClaimWrite is the longest time for which a write without an answer may still take effect.
	lateClaimWrite = 10 * time.Second
	// claimSettleTimeout bounds the attempts to record an outcome; it is longer than maxOutage.
	claimSettleTimeout = time.Hour
	// maxClaimWrites bounds the writes of one claim while repeats of the request at other nodes compete for the key.
	maxClaimWrites = 5
)

// claimStep is the stage of a claim.
type claimStep int

// The stages of a claim; at most one effect of a claim is in flight.
const (
	claimWriting claimStep = iota
	claimReading
	claimOwned
	// claimSettling means that the outcome is being written.
	claimSettling
	// claimChecking means that the row is read back to find out whether the outcome is stored.
	claimChecking
)

// claim is this node's claim of an idempotency key for one request.
type claim struct {
	id     string
	number uint64
	key    beryllatch.RowKey
	row    ClaimRow
	// version is the version of the row that the next write expects.
	version uint64
	step    claimStep
	// q is the request that waits for the claim or runs under it; nil once the request no longer needs it.
	q *request
	// writeUncertain is true once a write without an answer may have taken effect.
	writeUncertain bool
	// takenOver is true once the claim replaces an earlier one whose request may have run.
	takenOver bool
	// reread is true once the row was read a second time because it held a stale claim of this node.
	reread bool
	writes int
	// giveUpAt is when the request stops waiting for the claim.
	giveUpAt time.Duration
	// settlingSince is when the node began to record the outcome.
	settlingSince time.Duration
	retryAt       time.Duration
	index         int
}

// reduceClaim applies the events of idempotency claims.
func (r *Reducer) reduceClaim(e Event) {
	switch e := e.(type) {
	case ClaimWritten:
		r.claimWritten(e)
	case ClaimRead:
		r.claimRead(e)
	}
}

// claimKey returns the key of a claim's row. Requests without a team have a partition for each queue.
func claimKey(team, queue, key string) beryllatch.RowKey {
	partition := "claim#" + team
	if team == "" {
		partition = "claim#open#" + queue
	}
	return beryllatch.RowKey{Partition: partition, Sort: key}
}

// startClaim writes the claim of a request. The request is dispatched only once the row is certain to hold this claim.
func (r *Reducer) startClaim(q *request) {
	if !r.mayClaim() {
		r.continueWithoutClaim(q)
		return
	}
	r.claimCount++
	c := &claim{
		id: q.ID, number: r.claimCount, key: claimKey(q.team, q.Queue, q.IdempotencyKey), q: q,
		giveUpAt: min(r.now.Mono+claimWait, q.deadline.Mono),
		row: ClaimRow{
			Team: q.team, Queue: q.Queue, BodyHash: q.BodyHash, Idempotent: q.Idempotent,
			Nonce: r.self.Incarnation + "/" + strconv.FormatUint(r.claimCount, 10),
			Node:  r.self.Node, Incarnation: r.self.Incarnation, RequestID: q.ID, State: ClaimClaimed,
		},
	}
	q.claim = c
	r.claims[c.id] = c
	r.claiming[q.Queue]++
	r.acquiring.add(c)
	r.writeClaim(c, 0)
}

func (r *Reducer) writeClaim(c *claim, expect uint64) {
	c.writes++
	if c.writes > maxClaimWrites {
		r.claimUnavailable(c)
		return
	}
	c.step, c.version = claimWriting, expect
	r.emit(WriteClaim{ID: c.id, Key: c.key, Row: c.row, Expect: expect, Expires: r.expiry(claimRetention)})
}

func (r *Reducer) readClaim(c *claim, step claimStep) {
	c.step = step
	r.emit(ReadClaim{ID: c.id, Key: c.key})
}

func (r *Reducer) expiry(d time.Duration) int64 { return r.now.Wall.Add(d).Unix() }

func (r *Reducer) claimWritten(e ClaimWritten) {
	c := r.claims[e.ID]
	switch {
	case c == nil:
	case c.step == claimWriting:
		r.claimWriteEnded(c, e.Result)
	case c.step == claimSettling:
		r.claimSettled(c, e.Result)
	}
}

// claimWriteEnded handles the result of a write that claims the key.
func (r *Reducer) claimWriteEnded(c *claim, result WriteResult) {
	if result == WriteUnknown && r.faults.trustClaimWrite {
		result = WriteDone
	}
	switch result {
	case WriteDone:
		c.version++
		r.claimAcquired(c)
	case WriteConflict:
		r.readClaim(c, claimReading)
	case WriteUnknown:
		c.writeUncertain = true
		r.readClaim(c, claimReading)
	case WriteFailed:
		r.claimUnavailable(c)
	}
}

// claimAcquired lets the request proceed, now that its claim is stored.
func (r *Reducer) claimAcquired(c *claim) {
	q := c.q
	if q == nil {
		r.settleClaim(c, c.stateIfNotRun())
		return
	}
	c.step = claimOwned
	r.claiming[q.Queue]--
	r.acquiring.remove(c)
	r.readmit(q)
	r.dispatchPool(q.pool)
}

// claimUnavailable ends a claim that could not be written.
func (r *Reducer) claimUnavailable(c *claim) {
	r.giveUpClaim(c)
	if c.writeUncertain {
		r.abandonClaim(c)
		return
	}
	delete(r.claims, c.id)
}

// giveUpClaim ends the request's wait for the claim. An idempotent request runs without one, any other is refused.
func (r *Reducer) giveUpClaim(c *claim) {
	q := c.q
	r.detachClaim(c)
	if q != nil {
		r.continueWithoutClaim(q)
	}
}

// continueWithoutClaim dispatches an idempotent request without a claim and refuses any other.
func (r *Reducer) continueWithoutClaim(q *request) {
	if !q.Idempotent {
		r.refuseRequest(q, refusal{
			reason: beryllatch.ReasonClaimUnavailable, detail: "the claim of the idempotency key could not be written",
		})
		return
	}
	r.count("claim_skipped")
	r.readmit(q)
	r.dispatchPool(q.pool)
}

// detachClaim separates a claim that is not yet acquired from its request.
func (r *Reducer) detachClaim(c *claim) {
	if c.q == nil {
		return
	}
	r.claiming[c.q.Queue]--
	r.acquiring.remove(c)
	c.q.claim = nil
	c.q = nil
}

// endClaim records the request's outcome in the claim. It must be called before the last effect of the request is emitted.
func (r *Reducer) endClaim(q *request, answered bool) {
	c := q.claim
	if c == nil {
		return
	}
	if c.step == claimWriting || c.step == claimReading {
		// The result of the call in flight will show whether there is a claim to release.
		r.detachClaim(c)
		return
	}
	q.claim, c.q = nil, nil
	switch {
	case answered:
		r.settleClaim(c, ClaimDone)
	case q.mayHaveRun:
		r.settleClaim(c, ClaimUnknown)
	default:
		r.settleClaim(c, c.stateIfNotRun())
	}
}

func (r *Reducer) claimRead(e ClaimRead) {
	c := r.claims[e.ID]
	switch {
	case c == nil:
	case c.step == claimReading && e.Failed:
		r.retryClaimRead(c)
	case c.step == claimReading:
		r.evaluateClaim(c, e)
	case c.step == claimChecking && e.Failed:
		r.settleLater(c)
	case c.step == claimChecking:
		r.checkSettled(c, e)
	}
}

func (r *Reducer) retryClaimRead(c *claim) {
	if c.q == nil {
		r.claimUnavailable(c)
		return
	}
	r.retryClaim(c)
}

// evaluateClaim decides by the stored row whether the request may claim the key, gets the stored answer or is refused.
func (r *Reducer) evaluateClaim(c *claim, e ClaimRead) {
	row := &e.Row
	switch {
	case c.q == nil:
		r.startSettling(c, c.stateIfNotRun())
		r.checkSettled(c, e)
	case e.Version == 0:
		r.writeClaim(c, 0)
	case row.Nonce == c.row.Nonce && row.State == ClaimClaimed:
		c.version = e.Version
		r.claimAcquired(c)
	case row.State == ClaimReleased || e.Expires > 0 && e.Expires <= r.now.Wall.Unix():
		r.writeClaim(c, e.Version)
	case row.Queue != c.row.Queue || row.BodyHash != c.row.BodyHash:
		r.refuseForClaim(c, beryllatch.RunStateNotRun, refusal{
			reason: beryllatch.ReasonKeyReused, detail: "the idempotency key belongs to another queue or body",
		})
	case row.State == ClaimDone:
		r.replay(c, *row)
	case row.State == ClaimUnknown || r.incarnationEnded(row.Incarnation):
		r.retakeUnknownClaim(c, e)
	case r.isOwnStaleClaim(row):
		r.resolveStaleClaim(c, e)
	default:
		r.refuseForClaim(c, beryllatch.RunStateUnknown, refusal{
			reason: beryllatch.ReasonRequestInProgress, detail: "a request with this idempotency key is being run",
		})
	}
}

// isOwnStaleClaim reports whether a row holds a claim of this incarnation that the node no longer handles.
func (r *Reducer) isOwnStaleClaim(row *ClaimRow) bool {
	if row.Incarnation != r.self.Incarnation {
		return false
	}
	c := r.claims[row.RequestID]
	return c == nil || c.row.Nonce != row.Nonce
}

// resolveStaleClaim handles a row with a stale claim of this node. It first reads the row once more, since the claim may
// have been settled after the read.
func (r *Reducer) resolveStaleClaim(c *claim, e ClaimRead) {
	if !c.reread {
		c.reread = true
		r.readClaim(c, claimReading)
		return
	}
	r.retakeUnknownClaim(c, e)
}

// retakeUnknownClaim handles the repeat of a request that may have run. The repeat runs only if both requests are marked
// as idempotent.
func (r *Reducer) retakeUnknownClaim(c *claim, e ClaimRead) {
	if e.Row.Idempotent && c.row.Idempotent || r.faults.retakeUnknown {
		c.takenOver = true
		r.writeClaim(c, e.Version)
		return
	}
	r.refuseForClaim(c, beryllatch.RunStateUnknown, refusal{
		reason: beryllatch.ReasonAnswerLost, detail: "the first request with this idempotency key may have run",
	})
}

func (r *Reducer) replay(c *claim, row ClaimRow) {
	if row.AnswerOmitted {
		r.refuseForClaim(c, beryllatch.RunStateRun, refusal{
			reason: beryllatch.ReasonAnswerNotKept,
			detail: "the request has run; its answer was too large to be kept for repeats",
		})
		return
	}
	q := c.q
	r.detachClaim(c)
	delete(r.claims, c.id)
	r.removeRequest(q)
	r.count("claim_replayed")
	r.emit(ReplayAnswer{ID: q.ID, Row: row})
}

// refuseForClaim refuses a request whose key is claimed by another request.
func (r *Reducer) refuseForClaim(c *claim, state beryllatch.RunState, x refusal) {
	q := c.q
	r.detachClaim(c)
	delete(r.claims, c.id)
	r.removeRequest(q)
	r.refuse(q.ID, state, x)
}
