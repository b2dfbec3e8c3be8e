package berylreducer

import (
	"time"

	"github.com/beryllatch/beryllatch"
)

// blockedTeam is a team that waits in a pool for a unit.
type blockedTeam struct {
	pool *poolState
	team *queueTeam
}

// dispatchWaiting starts every waiting request that has a unit and a worker.
func (r *Reducer) dispatchWaiting() {
	for _, team := range beryllatch.SortedKeys(r.blocked) {
		if u := r.units[team]; u == nil || u.running < r.limit(u) {
			r.unblock(team)
		}
	}
	for _, name := range beryllatch.SortedKeys(r.pools) {
		r.dispatchPool(r.pools[name])
	}
}

// dispatchPool starts the pool's waiting requests in order while there are units and workers.
func (r *Reducer) dispatchPool(p *poolState) {
	for r.mayStart() && r.active < r.slots && p.hasWorker() {
		q, ok := p.queue.next()
		if !ok {
			return
		}
		r.dispatchNext(q)
	}
}

func (r *Reducer) dispatchNext(q *request) {
	if r.late(q) {
		r.refuseLate(q)
		return
	}
	if !r.takeUnit(q.team) {
		r.block(q)
		r.readUnits(q.team)
		return
	}
	w := q.pool.choose(r.rand, r.now.Mono, q.tried)
	r.dequeue(q)
	r.dispatch(q, w)
}

// dispatch sends the next attempt of the request, which holds a unit, to the worker.
func (r *Reducer) dispatch(q *request, w *workerState) *attempt {
	q.attempt++
	a := &attempt{q: q, n: q.attempt, w: w, index: notPlaced}
	q.running = append(q.running, a)
	r.scheduleHedge(a)
	q.pool.active++
	r.active++
	q.pool.queue.setRunning(q.share, q.share.running+1)
	r.occupy(w)
	r.emit(Dispatch{
		ID: q.ID, Attempt: q.attempt, Instance: w.inst.ID,
		Execution: beryllatch.Execution{
			ID: a.executionID(), Address: w.inst.Address, Team: q.team, Queue: q.Queue,
			StartBy: r.now.Wall.Add(r.startWithin(q)), LeaseExpiry: q.deadline.Wall,
		},
		AnswerBy: q.deadline,
	})
	return a
}

// startWithin is how long from now the worker may still start the request.
func (r *Reducer) startWithin(q *request) time.Duration {
	return min(startByLimit, r.tenure.validUntil-r.now.Mono, q.deadline.Mono-r.now.Mono)
}

// block keeps the request's team out of the pool's order until it has a free unit.
func (r *Reducer) block(q *request) {
	q.share.blocked = true
	q.pool.queue.offer(q.share)
	r.blocked[q.team] = append(r.blocked[q.team], blockedTeam{q.pool, q.share})
}

// unblock makes the team ready again in every pool, and returns where it waited.
func (r *Reducer) unblock(team string) []blockedTeam {
	list := r.blocked[team]
	delete(r.blocked, team)
	for _, b := range list {
		b.team.blocked = false
		b.pool.queue.offer(b.team)
	}
	return list
}

func (r *Reducer) executionEnded(e ExecutionEnded) {
	q := r.requests[e.ID]
	a := q.attemptOf(e.Attempt)
	if a == nil {
		r.hedgeEnded(e)
		return
	}
	wasFull := r.active >= r.slots
	w := a.w
	r.endAttempt(a, e)
	r.settle(a, e)
	if wasFull {
		r.dispatchWaiting()
		return
	}
	for _, b := range r.unblock(q.team) {
		r.dispatchPool(b.pool)
	}
	r.dispatchPool(w.pool)
	r.dispatchPool(q.pool)
}

// endAttempt updates what is learned from the attempt, and gives back its unit and its place on the worker.
func (r *Reducer) endAttempt(a *attempt, e ExecutionEnded) {
	q, w := a.q, a.w
	r.releaseAttempt(a)
	started := e.Outcome == beryllatch.OutcomeAnswered || e.Outcome == beryllatch.OutcomeUnknown
	if started {
		r.learnRunTime(q, e, e.Outcome == beryllatch.OutcomeAnswered && !e.Failed)
	}
	q.mayHaveRun = q.mayHaveRun || started
	if e.Outcome != beryllatch.OutcomeRefused {
		q.failures++
	}
	if e.Outcome == beryllatch.OutcomeUnknown {
		r.trackLostExecution(a)
	} else {
		r.giveBack(q.team, q.pool, q.share)
	}
	r.scoreWorker(w, q, e)
	r.scoreJob(q, w, e)
	q.tried = append(q.tried, w.inst.ID)
}

// giveBack returns the unit of an execution that surely runs no more.
func (r *Reducer) giveBack(team string, p *poolState, t *queueTeam) {
	p.queue.setRunning(t, t.running-1)
	r.returnUnit(team)
}

// settle answers the request or queues it for another attempt.
func (r *Reducer) settle(a *attempt, e ExecutionEnded) {
	q := a.q
	wanted := e.Outcome != beryllatch.OutcomeAnswered || e.Failed
	if wanted && len(q.running) > 0 {
		return // The other attempt decides.
	}
	if wanted && r.mayRetry(q, e) {
		if r.freeRetry(q, e) || r.budget.take(r.now.Mono) {
			r.count("retry." + string(retryReason(e)))
			r.readmit(q)
			return
		}
		r.count("retry_denied")
		if e.Outcome != beryllatch.OutcomeAnswered {
			r.refuseRequest(q, refusal{
				reason: beryllatch.ReasonRetryBudget, detail: "no retry is left after " + string(e.Reason),
			})
			return
		}
	}
	if e.Outcome == beryllatch.OutcomeAnswered {
		r.finish(a)
		return
	}
	r.refuseRequest(q, r.outcomeRefusal(q, e))
}

func (r *Reducer) finish(a *attempt) {
	q := a.q
	r.end(q)
	r.leaveHedge(a)
	if q.claim != nil {
		q.claim.row.Instance = a.w.inst.ID
		q.claim.row.ExecutionID = a.executionID()
	}
	r.endClaim(q, true)
	r.emit(Finish{ID: q.ID})
}

func (r *Reducer) outcomeRefusal(q *request, e ExecutionEnded) refusal {
	switch {
	case q.jobFailures >= jobWorkers:
		return refusal{reason: beryllatch.ReasonJobFailing, detail: "the job failed on several workers", after: jobPark}
	case q.mayHaveRun:
		return refusal{reason: e.Reason, detail: "the request may have run"}
	default:
		return refusal{reason: e.Reason, detail: "no worker started the request"}
	}
}
