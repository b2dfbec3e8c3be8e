package berylreducer

import (
	"time"

	"github.com/beryllatch/beryllatch"
)

// blockedTeam is a team whose requests in a pool wait for a unit.
type blockedTeam struct {
	pool *poolState
	team *teamQueue
}

// dispatchWaiting starts the waiting requests of all pools for which there are units and workers.
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

// dispatchPool starts the pool's waiting requests in queue order as long as there are units and workers.
func (r *Reducer) dispatchPool(p *poolState) {
	for r.mayStart() && r.active < r.slots && p.hasWorker() {
		q, ok := p.queue.next()
		if !ok {
			return
		}
		r.dispatchNext(q)
	}
}

// dispatchNext starts the request that comes first in its local queue, or refuses it if it is too late, or blocks its team
// if there is no free unit.
func (r *Reducer) dispatchNext(q *request) {
	if r.tooLate(q) {
		r.refuseLate(q)
		return
	}
	if !r.takeUnit(q.team) {
		r.block(q)
		r.readUnits(q.team)
		return
	}
	w := q.pool.choose(r.rand, r.now.Mono, q.triedWorkers)
	r.dequeue(q)
	r.dispatch(q, w)
}

// dispatch sends the next attempt of the request to the worker. The caller has taken a unit for it.
func (r *Reducer) dispatch(q *request, w *workerState) *attempt {
	q.lastAttempt++
	a := &attempt{q: q, number: q.lastAttempt, worker: w, index: notIndexed}
	q.runningAttempts = append(q.runningAttempts, a)
	r.scheduleHedge(a)
	q.pool.active++
	r.active++
	q.pool.queue.setRunning(q.teamQueue, q.teamQueue.running+1)
	r.addExecution(w)
	r.emit(Dispatch{
		ID: q.ID, Attempt: q.lastAttempt, Instance: w.inst.ID,
		Execution: beryllatch.Execution{
			ID: a.executionID(), Address: w.inst.Address, Team: q.team, Queue: q.Queue,
			StartBy: r.now.Wall.Add(r.startWithin(q)), LeaseExpiry: q.deadline.Wall,
		},
		AnswerBy: q.deadline,
	})
	return a
}

// startWithin returns the time, from now, after which the worker must refuse to start the request.
func (r *Reducer) startWithin(q *request) time.Duration {
	return min(startByLimit, r.tenure.validUntil-r.now.Mono, q.deadline.Mono-r.now.Mono)
}

// block skips the team's requests in the pool until the team has a free unit.
func (r *Reducer) block(q *request) {
	q.teamQueue.blocked = true
	q.pool.queue.refreshReady(q.teamQueue)
	r.blocked[q.team] = append(r.blocked[q.team], blockedTeam{q.pool, q.teamQueue})
}

// unblock makes the team ready again in every pool, and returns the pools in which it was blocked.
func (r *Reducer) unblock(team string) []blockedTeam {
	list := r.blocked[team]
	delete(r.blocked, team)
	for _, b := range list {
		b.team.blocked = false
		b.pool.queue.refreshReady(b.team)
	}
	return list
}

func (r *Reducer) executionEnded(e ExecutionEnded) {
	q := r.requests[e.ID]
	a := q.runningAttempt(e.Attempt)
	if a == nil {
		r.attemptEndedAfterRequest(e)
		return
	}
	wasFull := r.active >= r.slots
	w := a.worker
	r.endAttempt(a, e)
	r.answerOrRetry(a, e)
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

// endAttempt frees the attempt's slot on the worker, returns its unit unless it may still run, and updates the estimates and
// failure counts of the worker and the job.
func (r *Reducer) endAttempt(a *attempt, e ExecutionEnded) {
	q, w := a.q, a.worker
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
		r.returnExecutionUnit(q.team, q.pool, q.teamQueue)
	}
	r.recordWorkerOutcome(w, q, e)
	r.recordJobOutcome(q, w, e)
	q.triedWorkers = append(q.triedWorkers, w.inst.ID)
}

// returnExecutionUnit returns the unit of an execution that is certain not to run any more.
func (r *Reducer) returnExecutionUnit(team string, p *poolState, t *teamQueue) {
	p.queue.setRunning(t, t.running-1)
	r.returnUnit(team)
}

// answerOrRetry answers the request or queues it for another attempt.
func (r *Reducer) answerOrRetry(a *attempt, e ExecutionEnded) {
	q := a.q
	failed := e.Outcome != beryllatch.OutcomeAnswered || e.Failed
	if failed && len(q.runningAttempts) > 0 {
		return // The outcome of the other attempt decides.
	}
	if failed && r.mayRetry(q, e) {
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

// finish answers the request with the answer of the attempt.
func (r *Reducer) finish(a *attempt) {
	q := a.q
	r.removeRequest(q)
	r.releaseOtherAttempts(a)
	if q.claim != nil {
		q.claim.row.Instance = a.worker.inst.ID
		q.claim.row.ExecutionID = a.executionID()
	}
	r.endClaim(q, true)
	r.emit(Finish{ID: q.ID})
}

// outcomeRefusal returns the refusal of a request whose last attempt had no answer and is not retried.
func (r *Reducer) outcomeRefusal(q *request, e ExecutionEnded) refusal {
	switch {
	case q.jobFailures >= jobFaultWorkers:
		return refusal{reason: beryllatch.ReasonJobFailing, detail: "the job failed on several workers", retryAfter: jobParkTime}
	case q.mayHaveRun:
		return refusal{reason: e.Reason, detail: "the request may have run"}
	default:
		return refusal{reason: e.Reason, detail: "no worker started the request"}
	}
}
