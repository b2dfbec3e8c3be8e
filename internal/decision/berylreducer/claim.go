package berylreducer

import (
	"strconv"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	claimLife = 24 * time.Hour
	// releasedLife is how long a released row outlives any delayed write of the same claim.
	releasedLife = 10 * time.Minute
	// claimWait bounds the wait of a request for its claim.
	claimWait  = 3 * time.Second
	claimRetry = 500 * time.Millisecond
	// claimLateWrite is how long a write without an answer may still take effect.
	claimLateWrite = 10 * time.Second
	// claimSettle bounds the attempts to record an outcome; it outlasts an outage that nodes bridge by grants.
	claimSettle = time.Hour
	// maxClaimWrites bounds the writes of one claim under racing repeats.
	maxClaimWrites = 5
)

// claimStep is what a claim waits for.
type claimStep int

// The steps of a claim; one effect at most is under way for a claim.
const (
	claimWriting claimStep = iota
	claimReading
	claimOwned
	// claimSettling means that the outcome is being recorded.
	claimSettling
	// claimChecking means that a row is read back while its outcome is being recorded.
	claimChecking
)

// claim is this node's hold on one idempotency key.
type claim struct {
	id     string
	number uint64
	key    beryllatch.RowKey
	row    ClaimRow
	// version is the row's version that the next write expects.
	version uint64
	step    claimStep
	// q is the request that waits for the claim or runs under it; nil once it has ended.
	q *request
	// doubtful is true once a write may have taken effect without an answer.
	doubtful bool
	// takenOver is true once the claim replaces one whose request may have run.
	takenOver bool
	// checked is true once a row that this node has left behind was read a second time.
	checked bool
	writes  int
	// giveUpAt ends the request's wait for the claim.
	giveUpAt time.Duration
	// settlingSince is when the recording of the outcome began.
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

// claimKey returns the row of an idempotency key; queues without a team's key have partitions of their own.
func claimKey(team, queue, key string) beryllatch.RowKey {
	partition := "claim#" + team
	if team == "" {
		partition = "claim#open#" + queue
	}
	return beryllatch.RowKey{Partition: partition, Sort: key}
}

// startClaim writes the claim of a request, which is dispatched only once the row is surely this node's.
func (r *Reducer) startClaim(q *request) {
	if !r.mayClaim() {
		r.goUnclaimed(q)
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
	r.emit(WriteClaim{ID: c.id, Key: c.key, Row: c.row, Expect: expect, Expires: r.expiry(claimLife)})
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
		r.claimAttempted(c, e.Result)
	case c.step == claimSettling:
		r.claimSettled(c, e.Result)
	}
}

// claimAttempted judges a write that was to make the claim this node's.
func (r *Reducer) claimAttempted(c *claim, result WriteResult) {
	if result == WriteUnknown && r.faults.trustClaimWrite {
		result = WriteDone
	}
	switch result {
	case WriteDone:
		c.version++
		r.claimGained(c)
	case WriteConflict:
		r.readClaim(c, claimReading)
	case WriteUnknown:
		c.doubtful = true
		r.readClaim(c, claimReading)
	case WriteFailed:
		r.claimUnavailable(c)
	}
}

// claimGained lets the request go on under its claim.
func (r *Reducer) claimGained(c *claim) {
	q := c.q
	if q == nil {
		r.settleClaim(c, c.withoutRun())
		return
	}
	c.step = claimOwned
	r.claiming[q.Queue]--
	r.acquiring.remove(c)
	r.readmit(q)
	r.dispatchPool(q.pool)
}

// claimUnavailable ends a claim that this node could not write.
func (r *Reducer) claimUnavailable(c *claim) {
	r.leaveClaim(c)
	if c.doubtful {
		r.abandonClaim(c)
		return
	}
	delete(r.claims, c.id)
}

// leaveClaim takes the request out of its claim. An idempotent request runs without one, any other is refused.
func (r *Reducer) leaveClaim(c *claim) {
	q := c.q
	r.detachClaim(c)
	if q != nil {
		r.goUnclaimed(q)
	}
}

func (r *Reducer) goUnclaimed(q *request) {
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

// detachClaim separates a claim that is not owned from its request.
func (r *Reducer) detachClaim(c *claim) {
	if c.q == nil {
		return
	}
	r.claiming[c.q.Queue]--
	r.acquiring.remove(c)
	c.q.claim = nil
	c.q = nil
}

// endClaim records how the request has ended; it precedes the request's last effect.
func (r *Reducer) endClaim(q *request, answered bool) {
	c := q.claim
	if c == nil {
		return
	}
	if c.step == claimWriting || c.step == claimReading {
		// The result of the step under way decides whether there is a claim to release.
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
		r.settleClaim(c, c.withoutRun())
	}
}

func (r *Reducer) claimRead(e ClaimRead) {
	c := r.claims[e.ID]
	switch {
	case c == nil:
	case c.step == claimReading && e.Failed:
		r.readAgain(c)
	case c.step == claimReading:
		r.judgeClaim(c, e)
	case c.step == claimChecking && e.Failed:
		r.settleLater(c)
	case c.step == claimChecking:
		r.checkSettled(c, e)
	}
}

func (r *Reducer) readAgain(c *claim) {
	if c.q == nil {
		r.claimUnavailable(c)
		return
	}
	r.retryClaim(c)
}

// judgeClaim decides what the row means for the request that wants the key.
func (r *Reducer) judgeClaim(c *claim, e ClaimRead) {
	row := &e.Row
	switch {
	case c.q == nil:
		r.startSettling(c, c.withoutRun())
		r.checkSettled(c, e)
	case e.Version == 0:
		r.writeClaim(c, 0)
	case row.Nonce == c.row.Nonce && row.State == ClaimClaimed:
		c.version = e.Version
		r.claimGained(c)
	case row.State == ClaimReleased || e.Expires > 0 && e.Expires <= r.now.Wall.Unix():
		r.writeClaim(c, e.Version)
	case row.Queue != c.row.Queue || row.BodyHash != c.row.BodyHash:
		r.loseClaim(c, beryllatch.RunStateNotRun, refusal{
			reason: beryllatch.ReasonKeyReused, detail: "the idempotency key belongs to another queue or body",
		})
	case row.State == ClaimDone:
		r.replay(c, *row)
	case row.State == ClaimUnknown || r.incarnationGone(row.Incarnation):
		r.repeatUnknown(c, e)
	case r.leftBehind(row):
		r.judgeLeftBehind(c, e)
	default:
		r.loseClaim(c, beryllatch.RunStateUnknown, refusal{
			reason: beryllatch.ReasonRequestInProgress, detail: "a request with this idempotency key is being run",
		})
	}
}

// leftBehind reports whether a row is one of this node's claims that it no longer works on.
func (r *Reducer) leftBehind(row *ClaimRow) bool {
	if row.Incarnation != r.self.Incarnation {
		return false
	}
	c := r.claims[row.RequestID]
	return c == nil || c.row.Nonce != row.Nonce
}

// judgeLeftBehind reads the row once more, since the claim may have been settled after the read.
func (r *Reducer) judgeLeftBehind(c *claim, e ClaimRead) {
	if !c.checked {
		c.checked = true
		r.readClaim(c, claimReading)
		return
	}
	r.repeatUnknown(c, e)
}

// repeatUnknown handles a repeat of a request that may have run: it runs again only if both say that they are
// idempotent.
func (r *Reducer) repeatUnknown(c *claim, e ClaimRead) {
	if e.Row.Idempotent && c.row.Idempotent || r.faults.retakeUnknown {
		c.takenOver = true
		r.writeClaim(c, e.Version)
		return
	}
	r.loseClaim(c, beryllatch.RunStateUnknown, refusal{
		reason: beryllatch.ReasonAnswerLost, detail: "the first request with this idempotency key may have run",
	})
}

func (r *Reducer) replay(c *claim, row ClaimRow) {
	if row.AnswerOmitted {
		r.loseClaim(c, beryllatch.RunStateRun, refusal{
			reason: beryllatch.ReasonAnswerNotKept,
			detail: "the request has run; its answer was too large to be kept for repeats",
		})
		return
	}
	q := c.q
	r.detachClaim(c)
	delete(r.claims, c.id)
	r.end(q)
	r.count("claim_replayed")
	r.emit(ReplayAnswer{ID: q.ID, Row: row})
}

// loseClaim refuses a request whose key is held by another.
func (r *Reducer) loseClaim(c *claim, state beryllatch.RunState, x refusal) {
	q := c.q
	r.detachClaim(c)
	delete(r.claims, c.id)
	r.end(q)
	r.refuse(q.ID, state, x)
}
