package berylreducer

import (
	"slices"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	// hedgeFactor times the 90th percentile of the run times of its class is how long an attempt may take before a hedge, a
	// second attempt on another worker, starts. About 0.4% of log-normal run times (sigma 0.5) are longer, so few hedges
	// are wasted.
	hedgeFactor = 2
	// minHedgeDelay prevents hedges of short requests because of network delays.
	minHedgeDelay = 100 * time.Millisecond
	// hedgeRetryDelay is the pause before a hedge that lacked a unit, a worker or a retry token is tried again.
	hedgeRetryDelay = 100 * time.Millisecond
)

func newHedgeQueue() *priorityQueue[*attempt] {
	before := orderByTime(func(a *attempt) time.Duration { return a.hedgeAt }, func(a *attempt) uint64 { return a.q.sequence })
	return newPriorityQueue(before, func(a *attempt) *int { return &a.index })
}

// scheduleHedge schedules a hedge of the attempt if the request is idempotent, its body can be sent again, and there is an
// estimate of its run time.
func (r *Reducer) scheduleHedge(a *attempt) {
	q := a.q
	if !q.Idempotent || q.BodyHash == "" || len(q.runningAttempts) > 1 {
		return
	}
	_, slow := r.runTimes[runTimeClass{q.team, q.Queue}].estimate(r.now.Mono)
	if slow == 0 {
		return
	}
	a.hedgeAt = r.now.Mono + max(hedgeFactor*slow, minHedgeDelay)
	r.hedges.add(a)
}

// tickHedges starts the hedges that are due.
func (r *Reducer) tickHedges() {
	for {
		a, ok := r.hedges.top()
		if !ok || r.now.Mono < a.hedgeAt {
			return
		}
		r.hedges.remove(a)
		r.startHedge(a)
	}
}

// startHedge starts a second attempt on another worker, unless waiting requests need the capacity.
func (r *Reducer) startHedge(a *attempt) {
	q := a.q
	if !r.mayStart() || q.abandoned || r.tooLate(q) || !r.allowed(q) {
		return
	}
	w, denied := r.reserveHedge(a)
	if denied != "" {
		r.count("hedge_denied." + string(denied))
		a.hedgeAt = r.now.Mono + hedgeRetryDelay
		r.hedges.add(a)
		return
	}
	r.count("hedge")
	r.dispatch(q, w).hedge = true
}

// reserveHedge takes a unit and a retry token for a hedge. It returns the worker for it, or the reason why there is no hedge.
func (r *Reducer) reserveHedge(a *attempt) (*workerState, beryllatch.Reason) {
	q := a.q
	if q.pool.queue.len() > 0 || r.active >= r.slots {
		return nil, beryllatch.ReasonNoCapacity
	}
	w := q.pool.chooseExcept(r.rand, r.now.Mono, append(slices.Clone(q.triedWorkers), a.worker.inst.ID))
	if w == nil {
		return nil, beryllatch.ReasonNoCapacity
	}
	if !r.takeUnit(q.team) {
		r.readUnits(q.team)
		return nil, beryllatch.ReasonTeamCeiling
	}
	if !r.budget.take(r.now.Mono) {
		r.returnUnit(q.team)
		return nil, beryllatch.ReasonRetryBudget
	}
	return w, ""
}

// releaseOtherAttempts stops waiting for the other attempt of a request that was answered by the winner. It may still run,
// so it keeps its unit until its worker has answered or its lease has expired.
func (r *Reducer) releaseOtherAttempts(winner *attempt) {
	if winner.hedge {
		r.count("hedge_won")
	}
	for _, a := range slices.Clone(winner.q.runningAttempts) {
		r.releaseAttempt(a)
		r.trackLostExecution(a)
	}
}

// attemptEndedAfterRequest handles the outcome of an attempt whose request has already been answered or refused. Unless the
// outcome is unknown, its unit is returned.
func (r *Reducer) attemptEndedAfterRequest(e ExecutionEnded) {
	if e.Outcome != beryllatch.OutcomeUnknown {
		r.executionStopped(ExecutionStopped{ID: e.ID, Attempt: e.Attempt})
	}
}
