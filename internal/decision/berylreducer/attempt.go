package berylreducer

import (
	"slices"
	"strconv"
	"time"
)

// attempt is one execution of a request.
type attempt struct {
	q      *request
	number int
	worker *workerState
	// hedge is true for an attempt that was started beside another one.
	hedge bool
	// hedgeAt is when a second attempt may start beside this one.
	hedgeAt time.Duration
	index   int
}

// executionID names the attempt at its worker.
func (a *attempt) executionID() string { return a.q.ID + "." + strconv.Itoa(a.number) }

// runningAttempt returns the running attempt with the number, or nil.
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

// releaseAttempt ends the attempt and gives back its place on the worker.
func (r *Reducer) releaseAttempt(a *attempt) {
	q := a.q
	q.runningAttempts = slices.DeleteFunc(q.runningAttempts, func(x *attempt) bool { return x == a })
	r.hedges.remove(a)
	q.pool.active--
	r.active--
	r.removeExecution(a.worker)
}
