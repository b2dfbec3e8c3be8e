package berylreducer

import "time"

// skewAllowance is the largest difference between the clocks of a node and a worker that leases allow for.
const skewAllowance = 500 * time.Millisecond

// attemptID names one attempt of a request.
type attemptID struct {
	request string
	attempt int
}

// lingering is an execution that may still run at its worker although its answer is lost. It keeps its unit until the
// worker says that it runs no more or its lease has surely expired, since otherwise the team could exceed its ceiling. It
// keeps no place on the worker, which refuses what exceeds its slots: places kept until the lease ends halved the capacity
// of an overloaded pool, which then stayed overloaded.
type lingering struct {
	id       attemptID
	team     string
	pool     *poolState
	share    *queueTeam
	until    time.Duration
	sequence uint64
	index    int
}

func newLingerQueue() *priorityQueue[*lingering] {
	before := earlier(func(l *lingering) time.Duration { return l.until }, func(l *lingering) uint64 { return l.sequence })
	return newPriorityQueue(before, func(l *lingering) *int { return &l.index })
}

func (r *Reducer) linger(a *attempt) {
	r.sequence++
	q := a.q
	l := &lingering{
		id: attemptID{q.ID, a.n}, team: q.team, pool: q.pool, share: q.share,
		until: q.deadline.Mono + skewAllowance, sequence: r.sequence,
	}
	r.lingering.add(l)
	r.lingeringByID[l.id] = l
}

// tickLingering gives back what executions held whose leases have expired.
func (r *Reducer) tickLingering() {
	for {
		l, ok := r.lingering.top()
		if !ok || r.now.Mono < l.until {
			return
		}
		r.endLingering(l)
	}
}

// executionStopped gives back what an execution held, ahead of its lease's expiry.
func (r *Reducer) executionStopped(e ExecutionStopped) {
	if l := r.lingeringByID[attemptID{e.ID, e.Attempt}]; l != nil {
		r.endLingering(l)
		r.dispatchWaiting()
	}
}

func (r *Reducer) endLingering(l *lingering) {
	r.lingering.remove(l)
	delete(r.lingeringByID, l.id)
	r.giveBack(l.team, l.pool, l.share)
}
