package berylreducer

import (
	"slices"
	"strconv"
	"time"
)

// attempt is one execution of a request.
type attempt struct {
	q *request
	n int
	w *workerState
	// hedge is true for an attempt that was started beside another one.
	hedge bool
	// hedgeAt is when a second attempt may start beside this one.
	hedgeAt time.Duration
	index   int
}

// executionID names the attempt at its worker.
func (a *attempt) executionID() string { return a.q.ID + "." + strconv.Itoa(a.n) }

// attemptOf returns the running attempt with the number, or nil.
func (q *request) attemptOf(n int) *attempt {
	if q == nil {
		return nil
	}
	for _, a := range q.running {
		if a.n == n {
			return a
		}
	}
	return nil
}

// releaseAttempt ends the attempt and gives back its place on the worker.
func (r *Reducer) releaseAttempt(a *attempt) {
	q := a.q
	q.running = slices.DeleteFunc(q.running, func(x *attempt) bool { return x == a })
	r.hedges.remove(a)
	q.pool.active--
	r.active--
	r.vacate(a.w)
}
