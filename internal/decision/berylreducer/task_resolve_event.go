package berylreducer

import "github.com/beryllatch/beryllatch"

// TaskResolveRequested is an operator's decision about a parked task or one of unknown outcome.
type TaskResolveRequested struct {
	// CallID identifies the call that waits for a ReplyTaskResolve.
	CallID      string
	TaskID      string
	OperationID string
	Operator    string
	As          beryllatch.TaskVerdict
	Reason      string
	// NotRun states that the task has not run; a requeue of a task that isn't idempotent needs it.
	NotRun bool
}

// AttemptReported reports the end of an AskAttempt effect.
type AttemptReported struct {
	CallID string
	// Failed is true when the worker gave no answer.
	Failed bool
	Report beryllatch.TaskReport
}

// DecisionWritten reports the end of a WriteDecision effect.
type DecisionWritten struct {
	CallID string
	Result WriteResult
}

// AskAttempt asks the worker of a task of unknown outcome for its state.
type AskAttempt struct {
	CallID  string
	TaskID  string
	Address string
}

// WriteDecision stores an operator's decision if the task's row among the finished ones has the version Expect. The row
// of a queued task moves to the unfinished ones.
type WriteDecision struct {
	CallID string
	Shard  int
	Task   beryllatch.Task
	Expect uint64
	// Unlist deletes the task's row among those that wait for an operator.
	Unlist bool
}

// ReplyTaskResolve answers a TaskResolveAsked event.
type ReplyTaskResolve struct {
	CallID  string
	Outcome OperatorOutcome
	Reason  string
	// Settled is true when no call with the same operation id can take effect any more, unless it is repeated.
	Settled bool
	Task    beryllatch.Task
}

func (TaskResolveRequested) event() {}
func (AttemptReported) event()      {}
func (DecisionWritten) event()      {}

func (AskAttempt) effect()       {}
func (WriteDecision) effect()    {}
func (ReplyTaskResolve) effect() {}
