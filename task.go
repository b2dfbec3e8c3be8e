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

// Task is one queued task as it is stored in its row of the platform's table.
type Task struct {
	ID         string    `json:"id"`
	Team       string    `json:"team"`
	Queue      string    `json:"queue"`
	State      TaskState `json:"state"`
	Idempotent bool      `json:"idempotent,omitempty"`
	Attempt    int       `json:"attempt,omitempty"`
	// Instance and BootID identify the worker of the current attempt and its boot.
	Instance string `json:"instance,omitempty"`
	BootID   string `json:"boot_id,omitempty"`
	// Fence increases with each attempt: its upper 32 bits are the epoch of the task's shard, its lower 32 bits the
	// number of the attempt.
	Fence uint64 `json:"fence,omitempty"`
	// FailedOn lists the instances on which the task failed, in the order of the failures.
	FailedOn []string `json:"failed_on,omitempty"`
	// Refusals is the number of attempts that no worker started.
	Refusals int `json:"refusals,omitempty"`
	// StartBy is the wall-clock time after which the worker must not start the current attempt.
	StartBy  time.Time `json:"start_by,omitzero"`
	Accepted time.Time `json:"accepted,omitzero"`
	Deadline time.Time `json:"deadline,omitzero"`
	Finished time.Time `json:"finished,omitzero"`
	// PayloadRow is true if the request body is stored in a table row of its own. PayloadObject names the object that
	// holds a larger body.
	PayloadRow    bool   `json:"payload_row,omitempty"`
	PayloadObject string `json:"payload_object,omitempty"`
	// Result is the body of the result. A larger one is stored in ResultParts objects, named ResultObject/<part>.
	Result       []byte `json:"result,omitempty"`
	ResultObject string `json:"result_object,omitempty"`
	ResultParts  int    `json:"result_parts,omitempty"`
	Reason       Reason `json:"reason,omitempty"`
	// CancelRequested tells the node that owns the task's shard to stop the task.
	CancelRequested bool `json:"cancel_requested,omitempty"`
	// Decisions lists the decisions of operators about the task, the latest last.
	Decisions []TaskDecision `json:"decisions,omitempty"`
	// Listed is true if the task has a row in the list of tasks that wait for an operator.
	Listed bool `json:"listed,omitempty"`
}

// TaskVerdict is an operator's decision about a task that is parked or whose outcome is unknown.
type TaskVerdict string

// The decisions that an operator can make about a task.
const (
	VerdictDone    TaskVerdict = "done"
	VerdictFailed  TaskVerdict = "failed"
	VerdictRequeue TaskVerdict = "requeue"
)

// TaskDecision records an operator's decision about a task.
type TaskDecision struct {
	// OperationID identifies the operator's call.
	OperationID string `json:"operation_id"`
	Operator    string `json:"operator"`
	// As is the state that the operator gives the task, or the request to queue it again.
	As     TaskVerdict `json:"as"`
	Reason string      `json:"reason"`
	// NotRun is true if the operator has confirmed that the task has not run.
	NotRun bool      `json:"not_run,omitempty"`
	At     time.Time `json:"at"`
}

// FirstVersion returns the version of the row that is created for the task after its latest decision, in the partition of
// the unfinished or of the finished tasks. Each decision starts a new range of versions, so a delayed write from before
// the decision never finds the version that it expects.
func (t Task) FirstVersion() uint64 { return uint64(len(t.Decisions))<<32 + 1 }

// HasStoredResult reports whether the result of a finished task is stored. A task that an operator declared done has no result.
func (t Task) HasStoredResult() bool {
	n := len(t.Decisions)
	return t.State == TaskDone && (n == 0 || t.Decisions[n-1].As != VerdictDone)
}

// Final reports whether a task in this state is never started again, unless an operator decides so.
func (s TaskState) Final() bool {
	switch s {
	case TaskDone, TaskFailed, TaskCancelled, TaskParked, TaskUnknown:
		return true
	default:
		return false
	}
}

// WaitsForOperator reports whether a task in this state stays in it until an operator decides about it.
func (s TaskState) WaitsForOperator() bool { return s == TaskParked || s == TaskUnknown }

// TaskRunState is the state of a task as its worker reports it.
type TaskRunState string

// The states that a worker reports.
const (
	// TaskRunUnseen means that the worker has not started the task.
	TaskRunUnseen  TaskRunState = "unseen"
	TaskRunRunning TaskRunState = "running"
	TaskRunDone    TaskRunState = "done"
	TaskRunFailed  TaskRunState = "failed"
	TaskRunStopped TaskRunState = "stopped"
)

// TaskReport is a worker's report on the state of one task.
type TaskReport struct {
	State  TaskRunState `json:"state"`
	BootID string       `json:"boot_id"`
	Fence  uint64       `json:"fence"`
}

// WorkerReport is a worker's report on its own state.
type WorkerReport struct {
	BootID  string `json:"boot_id"`
	Slots   int    `json:"slots"`
	Running int    `json:"running"`
	Leaving bool   `json:"leaving"`
}

// TaskRunner runs queued tasks on workers. Each error is an *ExecutionError.
type TaskRunner interface {
	// StartTask starts the task with the lease and the fence of the execution. It returns when the worker has accepted it.
	StartTask(ctx context.Context, e Execution, body io.Reader) error
	// RenewTask extends the lease of a running task.
	RenewTask(ctx context.Context, e Execution) (TaskReport, error)
	// QueryTask asks a worker for the state of a task.
	QueryTask(ctx context.Context, address, id string) (TaskReport, error)
	// StopTask stops a task. If the worker has not started it, it will refuse to do so from then on.
	StopTask(ctx context.Context, e Execution) (TaskReport, error)
	// TaskResult opens the result of a finished task; the caller must close it.
	TaskResult(ctx context.Context, address, id string) (io.ReadCloser, error)
	// QueryWorker asks a worker for its own state.
	QueryWorker(ctx context.Context, address string) (WorkerReport, error)
	// RebootWorker tells a drained worker to reboot. The worker refuses if its boot id is not the given one, so that a
	// repeated or delayed call does not reboot it twice.
	RebootWorker(ctx context.Context, address, bootID string) error
}
