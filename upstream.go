package beryllatch

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Execution is one attempt to run a request or a task on a worker.
type Execution struct {
	ID      string
	Address string
	Team    string
	Queue   string
	// StartBy is the wall-clock time after which the worker must refuse to start the execution.
	StartBy time.Time
	// LeaseExpiry is the wall-clock time at which the worker stops the execution.
	LeaseExpiry time.Time
	// Fence increases with each attempt at a task; a worker refuses a fence below the highest that it has received for it.
	Fence uint64
}

// ExecutionOutcome is what is known about an execution when its request has ended.
type ExecutionOutcome string

// The outcomes of an execution.
const (
	// OutcomeAnswered means that the complete answer was received.
	OutcomeAnswered ExecutionOutcome = "answered"
	// OutcomeNotSent means that no byte of the request can have reached the worker.
	OutcomeNotSent ExecutionOutcome = "not_sent"
	// OutcomeRefused means that the worker refused to start the execution.
	OutcomeRefused ExecutionOutcome = "refused"
	// OutcomeWithdrawn means that the answer was lost, and that the worker then confirmed that it has not started the
	// execution and never will.
	OutcomeWithdrawn ExecutionOutcome = "withdrawn"
	// OutcomeUnknown means that the execution may or may not have run.
	OutcomeUnknown ExecutionOutcome = "unknown"
)

// ExecutionState is the state that a worker reports for an execution whose answer was lost.
type ExecutionState string

// The states of an execution.
const (
	// ExecutionUnseen means that the worker has not started the execution and never will.
	ExecutionUnseen ExecutionState = "unseen"
	// ExecutionRunning means that the execution is still running.
	ExecutionRunning ExecutionState = "running"
	// ExecutionEnded means that the execution has run and has ended.
	ExecutionEnded ExecutionState = "ended"
)

// Upstream sends executions to workers.
type Upstream interface {
	// Execute sends the request to the worker and returns its answer; an error is an *ExecutionError.
	Execute(ctx context.Context, e Execution, h http.Header, body io.Reader) (*http.Response, error)
	// Settle asks the worker for the state of an execution whose answer was lost; sent is the time at which its request
	// began to be sent. A worker that has not started the execution refuses it from then on.
	Settle(ctx context.Context, e Execution, sent time.Time) (ExecutionState, error)
}

// ExecutionError reports an execution for which no complete answer was received.
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
