package beryllatch

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Execution identifies one attempt to run work on a worker.
type Execution struct {
	ID      string
	Address string
	Team    string
	Queue   string
	// StartBy is the wall-clock time after which the worker must refuse to start.
	StartBy time.Time
	// LeaseExpiry is the wall-clock time at which the worker stops the execution.
	LeaseExpiry time.Time
	// Fence orders the attempts of one task; a worker refuses a lower fence than it has seen.
	Fence uint64
}

// ExecutionOutcome is what is known about an execution once it has ended.
type ExecutionOutcome string

// The outcomes of an execution.
const (
	// OutcomeAnswered means that a whole answer of the execution arrived.
	OutcomeAnswered ExecutionOutcome = "answered"
	// OutcomeNotSent means that no byte can have reached the worker.
	OutcomeNotSent ExecutionOutcome = "not_sent"
	// OutcomeRefused means that the worker said it has not started the execution.
	OutcomeRefused ExecutionOutcome = "refused"
	// OutcomeWithdrawn means that the answer was lost, and that the worker has then said that it won't start the
	// execution.
	OutcomeWithdrawn ExecutionOutcome = "withdrawn"
	// OutcomeUnknown means that the execution may have run.
	OutcomeUnknown ExecutionOutcome = "unknown"
)

// ExecutionState is what a worker says about an execution whose answer was lost.
type ExecutionState string

// The states of an execution.
const (
	// ExecutionUnseen means that the worker has not started the execution and never will.
	ExecutionUnseen ExecutionState = "unseen"
	// ExecutionRunning means that the execution runs.
	ExecutionRunning ExecutionState = "running"
	// ExecutionEnded means that the execution has run and runs no more.
	ExecutionEnded ExecutionState = "ended"
)

// Upstream sends executions to workers.
type Upstream interface {
	// Execute sends the body and returns the worker's answer; an error is an *ExecutionError.
	Execute(ctx context.Context, e Execution, h http.Header, body io.Reader) (*http.Response, error)
	// Settle asks about an execution whose sending began at the given time; a worker that has not started it never will.
	Settle(ctx context.Context, e Execution, sent time.Time) (ExecutionState, error)
}

// ExecutionError reports an execution without a whole answer.
type ExecutionError struct {
	Outcome ExecutionOutcome
	Reason  Reason
	Err     error
}

// Error includes the outcome and the cause.
func (e *ExecutionError) Error() string {
	return string(e.Outcome) + " (" + string(e.Reason) + "): " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ExecutionError) Unwrap() error { return e.Err }
