package berylreducer

import (
	"slices"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	// hedgeFactor times the 90th percentile of its class is how long an attempt may take before a second one starts
	// beside it. About 0.4% of log-normal run times (sigma 0.5) are longer, so that few hedges are wasted.
	hedgeFactor = 2
	// minHedgeDelay keeps short work from being hedged for delays of the network.
	minHedgeDelay = 100 * time.Millisecond
	// hedgeRetryDelay is the time until a second attempt is tried again that lacked a unit, a worker or a retry token.
	hedgeRetryDelay = 100 * time.Millisecond
)

func newHedgeQueue() *priorityQueue[*attempt] {
	before := orderByTime(func(a *attempt) time.Duration { return a.hedgeAt }, func(a *attempt) uint64 { return a.q.sequence })
	return newPriorityQueue(before, func(a *attempt) *int { return &a.index })
}

// scheduleHedge plans a second attempt for idempotent work whose body can be sent again and whose run time is known.
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

// tickHedges starts the second attempts that are due.
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

// startHedge starts a second attempt on another worker, unless it would take capacity that waiting work needs.
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

// reserveHedge takes a unit and a retry token for a second attempt, and returns its worker or why there is none.
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

// releaseOtherAttempts ends the wait for the other attempts of an answered request. They run on and hold their units until the
// worker has answered or their leases have expired.
func (r *Reducer) releaseOtherAttempts(won *attempt) {
	if won.hedge {
		r.count("hedge_won")
	}
	for _, a := range slices.Clone(won.q.runningAttempts) {
		r.releaseAttempt(a)
		r.trackLostExecution(a)
	}
}

// attemptEndedAfterRequest gives back the unit of an attempt that ends after its request, if it surely runs no more.
func (r *Reducer) attemptEndedAfterRequest(e ExecutionEnded) {
	if e.Outcome != beryllatch.OutcomeUnknown {
		r.executionStopped(ExecutionStopped{ID: e.ID, Attempt: e.Attempt})
	}
}
