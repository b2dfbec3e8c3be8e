package berylreducer

import "time"

// skewAllowance is the largest difference between the clocks of a node and a worker that leases tolerate.
const skewAllowance = 500 * time.Millisecond

// attemptID names one attempt of a request.
type attemptID struct {
	request string
	attempt int
}

// lostExecution is an execution whose answer was lost and that may still run on its worker. It keeps its unit until the
// worker reports that it has stopped or its lease has expired, since the team could otherwise exceed its ceiling. It
// keeps no slot of the worker, which itself refuses executions beyond its slots: when slots were kept until the lease
// expired, an overloaded pool lost half of its capacity and stayed overloaded.
type lostExecution struct {
	id        attemptID
	team      string
	pool      *poolState
	teamQueue *teamQueue
	leaseEnd  time.Duration
	sequence  uint64
	index     int
}

func newLostExecutionQueue() *priorityQueue[*lostExecution] {
	before := orderByTime(func(l *lostExecution) time.Duration { return l.leaseEnd }, func(l *lostExecution) uint64 { return l.sequence })
	return newPriorityQueue(before, func(l *lostExecution) *int { return &l.index })
}

func (r *Reducer) trackLostExecution(a *attempt) {
	r.sequence++
	q := a.q
	l := &lostExecution{
		id: attemptID{q.ID, a.number}, team: q.team, pool: q.pool, teamQueue: q.teamQueue,
		leaseEnd: q.deadline.Mono + skewAllowance, sequence: r.sequence,
	}
	r.lostExecutions.add(l)
	r.lostExecutionsByID[l.id] = l
}

// tickLostExecutions returns the units of lost executions whose leases have expired.
func (r *Reducer) tickLostExecutions() {
	for {
		l, ok := r.lostExecutions.top()
		if !ok || r.now.Mono < l.leaseEnd {
			return
		}
		r.releaseLostExecution(l)
	}
}

// executionStopped returns the unit of a lost execution before its lease expires.
func (r *Reducer) executionStopped(e ExecutionStopped) {
	if l := r.lostExecutionsByID[attemptID{e.ID, e.Attempt}]; l != nil {
		r.releaseLostExecution(l)
		r.dispatchWaiting()
	}
}

func (r *Reducer) releaseLostExecution(l *lostExecution) {
	r.lostExecutions.remove(l)
	delete(r.lostExecutionsByID, l.id)
	r.returnExecutionUnit(l.team, l.pool, l.teamQueue)
}
