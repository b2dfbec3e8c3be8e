package beryllatch

import (
	"context"
	"io"
	"time"
)

// TaskState is the state of a queued task.
type TaskState string

// The states of a queued task.
const (
	TaskQueued      TaskState = "queued"
	TaskDispatching TaskState = "dispatching"
	TaskRunning     TaskState = "running"
	TaskDone        TaskState = "done"
	TaskFailed      TaskState = "failed"
	TaskCancelled   TaskState = "cancelled"
	TaskParked      TaskState = "parked"
	TaskUnknown     TaskState = "unknown"
)

// Task is one piece of queued work as its row in the platform's table holds it.
type Task struct {
	ID         string    `json:"id"`
	Team       string    `json:"team"`
	Queue      string    `json:"queue"`
	State      TaskState `json:"state"`
	Idempotent bool      `json:"idempotent,omitempty"`
	Attempt    int       `json:"attempt,omitempty"`
	// Instance and BootID name the worker of the present attempt.
	Instance string `json:"instance,omitempty"`
	BootID   string `json:"boot_id,omitempty"`
	// Fence orders the attempts; its upper 32 bits are the epoch of the task's shard, its lower 32 bits the attempt.
	Fence uint64 `json:"fence,omitempty"`
	// FailedOn lists the instances on which the job failed, in order.
	FailedOn []string `json:"failed_on,omitempty"`
	// Refusals counts the attempts that no worker started.
	Refusals int `json:"refusals,omitempty"`
	// StartBy is the wall-clock limit for the start of the present attempt.
	StartBy  time.Time `json:"start_by,omitzero"`
	Accepted time.Time `json:"accepted,omitzero"`
	Deadline time.Time `json:"deadline,omitzero"`
	Finished time.Time `json:"finished,omitzero"`
	// PayloadRow marks a body that has a table row of its own; PayloadObject names the object that holds a larger one.
	PayloadRow    bool   `json:"payload_row,omitempty"`
	PayloadObject string `json:"payload_object,omitempty"`
	// Result is the body of the result; a larger one is split over ResultParts objects named ResultObject/<part>.
	Result       []byte `json:"result,omitempty"`
	ResultObject string `json:"result_object,omitempty"`
	ResultParts  int    `json:"result_parts,omitempty"`
	Reason       Reason `json:"reason,omitempty"`
	// CancelRequested asks the owner to stop the task.
	CancelRequested bool `json:"cancel_requested,omitempty"`
	// Decisions lists what operators decided about the task, the latest last.
	Decisions []TaskDecision `json:"decisions,omitempty"`
	// Listed marks a task with a row among those that wait for an operator.
	Listed bool `json:"listed,omitempty"`
}

// TaskVerdict is an operator's decision about a parked task or one of unknown outcome.
type TaskVerdict string

// The decisions of operators.
const (
	VerdictDone    TaskVerdict = "done"
	VerdictFailed  TaskVerdict = "failed"
	VerdictRequeue TaskVerdict = "requeue"
)

// TaskDecision records who decided what about a task, when and why.
type TaskDecision struct {
	// OperationID identifies the operator's call.
	OperationID string      `json:"operation_id"`
	Operator    string      `json:"operator"`
	As          TaskVerdict `json:"as"`
	Reason      string      `json:"reason"`
	// NotRun is true when the operator stated that the task has not run.
	NotRun bool      `json:"not_run,omitempty"`
	At     time.Time `json:"at"`
}

// FirstVersion returns the version of the first row that the task gets after its latest decision, among the unfinished
// tasks or the finished ones. Versions never repeat, so that a delayed write of the time before meets none it expects.
func (t Task) FirstVersion() uint64 { return uint64(len(t.Decisions))<<32 + 1 }

// HasStoredResult reports whether the result of a finished task is stored; that of a task that an operator settled is not.
func (t Task) HasStoredResult() bool {
	n := len(t.Decisions)
	return t.State == TaskDone && (n == 0 || t.Decisions[n-1].As != VerdictDone)
}

// Final reports whether a task in this state is never started again without an operator.
func (s TaskState) Final() bool {
	switch s {
	case TaskDone, TaskFailed, TaskCancelled, TaskParked, TaskUnknown:
		return true
	default:
		return false
	}
}

// WaitsForOperator reports whether only an operator can settle a task in this state.
func (s TaskState) WaitsForOperator() bool { return s == TaskParked || s == TaskUnknown }

// TaskRunState is the state of a task as its worker reports it.
type TaskRunState string

// The states that a worker reports.
const (
	TaskRunUnseen  TaskRunState = "unseen"
	TaskRunRunning TaskRunState = "running"
	TaskRunDone    TaskRunState = "done"
	TaskRunFailed  TaskRunState = "failed"
	TaskRunStopped TaskRunState = "stopped"
)

// TaskReport is a worker's answer about one task.
type TaskReport struct {
	State  TaskRunState `json:"state"`
	BootID string       `json:"boot_id"`
	Fence  uint64       `json:"fence"`
}

// WorkerReport is a worker's answer about itself.
type WorkerReport struct {
	BootID  string `json:"boot_id"`
	Slots   int    `json:"slots"`
	Running int    `json:"running"`
	Leaving bool   `json:"leaving"`
}

// TaskRunner runs queued tasks on workers; every error is an *ExecutionError.
type TaskRunner interface {
	// StartTask starts the task under the execution's lease and fence, and returns once the worker has accepted it.
	StartTask(ctx context.Context, e Execution, body io.Reader) error
	// RenewTask extends the lease of a running task.
	RenewTask(ctx context.Context, e Execution) (TaskReport, error)
	// QueryTask asks for the state of a task.
	QueryTask(ctx context.Context, address, id string) (TaskReport, error)
	// StopTask ends a task; a task that has never been seen will be refused from then on.
	StopTask(ctx context.Context, e Execution) (TaskReport, error)
	// TaskResult opens the result of a finished task; the caller closes it.
	TaskResult(ctx context.Context, address, id string) (io.ReadCloser, error)
	// QueryWorker asks for the state of a worker.
	QueryWorker(ctx context.Context, address string) (WorkerReport, error)
	// RebootWorker asks a drained worker to reboot, provided that it still runs the given boot.
	RebootWorker(ctx context.Context, address, bootID string) error
}
