package berylmeasure

import (
	"time"

	"github.com/beryllatch/beryllatch"
)

// requestState says where a request is.
type requestState int

const (
	stateNone requestState = iota
	stateWaiting
	stateRunning
)

// request is one caller's request.
type request struct {
	id         string
	work       int
	team       int
	node       *node
	urgent     bool
	idempotent bool
	// keyed requests carry an idempotency key.
	keyed     bool
	runTime   time.Duration
	deadline  time.Duration
	arrivedAt time.Duration
	state     requestState
	started   bool
	starts    int
	// failed is true when the last answer was a failure of the worker.
	failed    bool
	cancelled bool
	measured  bool
}

// requestOutcome is how a request ended.
type requestOutcome struct {
	// reason is set for a refused request.
	reason beryllatch.Reason
	// done is true for an answer without a failure by the deadline.
	done bool
}
