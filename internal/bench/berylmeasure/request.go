package berylmeasure

import (
	"time"

	"github.com/beryllatch/beryllatch"
)

// place says where a request is.
type place int

const (
	placeNone place = iota
	placeWaiting
	placeRunning
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
	keyed    bool
	runTime  time.Duration
	deadline time.Duration
	arrived  time.Duration
	place    place
	started  bool
	starts   int
	// failed is true when the last answer was a failure of the worker.
	failed    bool
	abandoned bool
	counted   bool
}

// end is how a request ended.
type end struct {
	// reason is set for a refused request.
	reason beryllatch.Reason
	// done is true for an answer without a failure by the deadline.
	done bool
}
