package berylmeasure

import (
	"time"

	"github.com/beryllatch/beryllatch"
)

// requestState says whether a request waits or runs; the meter counts the requests by state.
type requestState int

const (
	// stateNone is the state before the arrival and after the end.
	stateNone requestState = iota
	stateWaiting
	stateRunning
)

// request is a caller's request and what has happened to it; times are virtual times since the start of the run.
type request struct {
	id string
	// work and team are indices in Deployment.Work and Deployment.Teams.
	work       int
	team       int
	node       *node
	urgent     bool
	idempotent bool
	// keyed is true for a request that carries an idempotency key.
	keyed     bool
	runTime   time.Duration
	deadline  time.Duration
	arrivedAt time.Duration
	state     requestState
	// started is true once a worker has started the request; starts is the number of times that workers have.
	started bool
	starts  int
	// failed is true if the last answer was a failure of the worker.
	failed    bool
	cancelled bool
	// measured is true for a request that arrived after the warm-up; the results leave out the others.
	measured bool
}

// requestOutcome is the outcome of a request for its caller. For a failed or late answer, neither field is set.
type requestOutcome struct {
	// reason is set for a refused request.
	reason beryllatch.Reason
	// done is true for an answer without a failure by the deadline.
	done bool
}
