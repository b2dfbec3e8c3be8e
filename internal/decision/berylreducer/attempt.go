package berylreducer

import (
	"slices"
	"strconv"
	"time"
)

// attempt is the record of one execution of a request on a worker.
type attempt struct {
	q *request
	// number counts the attempts of the request, from 1.
	number int
	worker *workerState
	// hedge is true for a second attempt that was started while the first one was still running.
	hedge bool
	// hedgeAt is when a hedge of this attempt may start.
	hedgeAt time.Duration
	// index is the position in the queue of attempts that await a hedge.
	index int
}

// executionID returns the id by which the worker knows the attempt.
func (a *attempt) executionID() string { return a.q.ID + "." + strconv.Itoa(a.number) }

// runningAttempt returns the running attempt with the number n, or nil. The request may be nil.
func (q *request) runningAttempt(n int) *attempt {
	if q == nil {
		return nil
	}
	for _, a := range q.runningAttempts {
		if a.number == n {
			return a
		}
	}
	return nil
}

// releaseAttempt removes the attempt from its request and frees its slot on the worker. Its unit stays in use.
func (r *Reducer) releaseAttempt(a *attempt) {
	q := a.q
	q.runningAttempts = slices.DeleteFunc(q.runningAttempts, func(x *attempt) bool { return x == a })
	r.hedges.remove(a)
	q.pool.active--
	r.active--
	r.removeExecution(a.worker)
}
