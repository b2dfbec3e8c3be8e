package berylreducer

import "github.com/beryllatch/beryllatch"

// TaskResolveRequested is an operator's decision about a task that is parked or of unknown outcome.
type TaskResolveRequested struct {
	// CallID identifies the call that waits for a ReplyTaskResolve.
	CallID      string
	TaskID      string
	OperationID string
	Operator    string
	As          beryllatch.TaskVerdict
	Reason      string
	// NotRun is the operator's statement that the task has not run; a requeue of a task that isn't idempotent needs it.
	NotRun bool
}

// AttemptReported reports the outcome of a QueryAttempt effect.
type AttemptReported struct {
	CallID string
	// Failed is true when the worker gave no answer.
	Failed bool
	Report beryllatch.TaskReport
}

// DecisionWritten reports the outcome of a WriteDecision effect.
type DecisionWritten struct {
	CallID string
	Result WriteResult
}

// QueryAttempt asks the last worker of a task of unknown outcome for the task's state.
type QueryAttempt struct {
	CallID  string
	TaskID  string
	Address string
}

// WriteDecision stores an operator's decision if the task's row in the partition of finished tasks has the version Expect.
// The row of a requeued task moves to the partition of unfinished tasks.
type WriteDecision struct {
	CallID string
	Shard  int
	Task   beryllatch.Task
	Expect uint64
	// Unlist deletes the task's entry in the list of tasks that wait for an operator.
	Unlist bool
}

// ReplyTaskResolve answers a TaskResolveRequested event.
type ReplyTaskResolve struct {
	CallID  string
	Outcome OperatorOutcome
	Reason  string
	// Settled is true when no earlier call with the same operation id can still take effect.
	Settled bool
	Task    beryllatch.Task
}

func (TaskResolveRequested) event() {}
func (AttemptReported) event()      {}
func (DecisionWritten) event()      {}

func (QueryAttempt) effect()     {}
func (WriteDecision) effect()    {}
func (ReplyTaskResolve) effect() {}
