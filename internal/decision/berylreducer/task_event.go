package berylreducer

import (
	"time"

	"github.com/beryllatch/beryllatch"
)

// ShardRow is the value of a task shard's row in the platform's table.
type ShardRow struct {
	Shard int `json:"shard"`
	// Owner is the incarnation that owns the shard; empty if the shard has no owner.
	Owner string `json:"owner,omitempty"`
	// Epoch grows by one whenever a node takes over the shard.
	Epoch uint32 `json:"epoch"`
}

// StoredShard is a shard row with its table version.
type StoredShard struct {
	ShardRow
	Version uint64
}

// StoredTask is a task row with its table version.
type StoredTask struct {
	beryllatch.Task
	Version uint64
}

// TaskClaim is the value of an idempotency claim that belongs to a task.
type TaskClaim struct {
	// State is always "task", so that a request with the same key recognises that the key is in use by a task.
	State  string `json:"state"`
	TaskID string `json:"task_id"`
	Queue  string `json:"queue"`
	// BodyHash is never equal to the hash of a request's body.
	BodyHash string `json:"body_hash"`
	// Key is the hash of the idempotency key; it is the sort key of the row.
	Key string `json:"-"`
}

// TaskSubmitted is a caller's submission whose headers have been read.
type TaskSubmitted struct {
	CallID string
	// TaskID is a new UUID of version 7. Its time stamp lets the owner of the shard find new tasks by a short range read.
	TaskID string
	// KeyHash is the SHA-256 of the presented secret in hexadecimal digits; empty without a key.
	KeyHash string
	Queue   string
	// IdempotencyKey is the hash of the caller's idempotency key; empty without one.
	IdempotencyKey string
	Idempotent     bool
	// Deadline is the time that the task may take until it has completed; zero means the queue's default.
	Deadline time.Duration
}

// PayloadReceived delivers the body of a submission, or the name of the object that holds it.
type PayloadReceived struct {
	CallID  string
	Payload []byte
	Object  string
}

// PayloadFailed reports that the body of a submission could not be received or stored.
type PayloadFailed struct {
	CallID string
	Reason beryllatch.Reason
}

// SubmissionWritten reports the outcome of a SubmitTask effect.
type SubmissionWritten struct {
	CallID string
	Result WriteResult
}

// SubmissionRead reports the outcome of a ReadSubmission effect.
type SubmissionRead struct {
	CallID string
	// Failed is true when the rows could not be read.
	Failed bool
	// Found is true when the task's row exists, finished or not.
	Found bool
	// Claimed is true when the idempotency key has a claim. Claim is empty when that claim belongs to a request.
	Claimed bool
	Claim   TaskClaim
}

// TaskQueried is a caller's request to read the state or the result of a task, or to cancel it.
type TaskQueried struct {
	CallID  string
	TaskID  string
	KeyHash string
	// Cancel is true for a cancellation of the task.
	Cancel bool
	// Result is true for a request for the task's result.
	Result bool
}

// TaskLookedUp reports the outcome of a LookUpTask effect.
type TaskLookedUp struct {
	CallID string
	// Failed is true when the rows could not be read.
	Failed bool
	// Found is true when the task's row exists, finished or not.
	Found bool
	Task  StoredTask
}

// CancelWritten reports the outcome of a WriteCancel effect.
type CancelWritten struct {
	CallID string
	Result WriteResult
}

// ShardsEnabled makes the node take part in the ownership of task shards.
type ShardsEnabled struct{}

// ShardsRead delivers all shard rows.
type ShardsRead struct {
	// SentAt is when the read was sent.
	SentAt Instant
	Failed bool
	Shards []StoredShard
}

// ShardWritten reports the outcome of a WriteShard effect.
type ShardWritten struct {
	Row     ShardRow
	Version uint64
	Result  WriteResult
}

// TasksLoaded reports the outcome of a LoadTasks effect.
type TasksLoaded struct {
	Shard  int
	Epoch  uint32
	After  string
	Failed bool
	// Tasks holds the rows in ascending order of their ids; fewer than the limit mean that the shard has no more.
	Tasks []StoredTask
}

// ShardPolled reports the outcome of a PollShard effect.
type ShardPolled struct {
	Shard  int
	Epoch  uint32
	Failed bool
	// Tasks holds the newest rows in ascending order of their ids.
	Tasks []StoredTask
	// Cancelled holds the ids of unfinished tasks for which a cancellation was requested after they had been dispatched.
	Cancelled []string
}

// TaskWritten reports the outcome of a WriteTask effect.
type TaskWritten struct {
	ID     string
	Epoch  uint32
	Result WriteResult
}

// TaskRowRead reports the outcome of a ReadTask effect.
type TaskRowRead struct {
	ID     string
	Epoch  uint32
	Failed bool
	// Found is false when the unfinished tasks have no row of the task.
	Found bool
	Task  StoredTask
}

// TaskStarted reports the outcome of a StartTask effect.
type TaskStarted struct {
	ID    string
	Fence uint64
	// Outcome is OutcomeAnswered when the worker has accepted the task.
	Outcome beryllatch.ExecutionOutcome
	Reason  beryllatch.Reason
}

// TaskReported reports the outcome of a QueryTask, RenewTask or StopTask effect.
type TaskReported struct {
	ID    string
	Fence uint64
	// Failed is true when the worker gave no answer.
	Failed bool
	// Refused is true when the worker refused the call because it has received one with a higher fence.
	Refused bool
	Report  beryllatch.TaskReport
}

// ResultCollected reports the outcome of a CollectResult effect.
type ResultCollected struct {
	ID    string
	Fence uint64
	// WorkerFailed is true when the worker did not deliver the complete result.
	WorkerFailed bool
	// StoreFailed is true when the result could not be written to the object store.
	StoreFailed bool
	Result      []byte
	// Object is the name of a large result's objects, and Parts their number.
	Object string
	Parts  int
}

// ReceivePayload tells the HTTP handler of a submission to read the body; PayloadReceived or PayloadFailed follows.
type ReceivePayload struct {
	CallID string
	TaskID string
}

// SubmitTask writes the task row, the payload row and, if Claim.Key is set, the claim row in one transaction.
type SubmitTask struct {
	CallID  string
	Shard   int
	Task    beryllatch.Task
	Payload []byte
	Claim   TaskClaim
}

// ReadSubmission reads back the task row and, if ClaimKey is set, the claim.
type ReadSubmission struct {
	CallID   string
	Shard    int
	TaskID   string
	Team     string
	ClaimKey string
}

// AnswerTask answers a call of the tasks API with the state of a task.
type AnswerTask struct {
	CallID string
	Task   beryllatch.Task
	// Accepted is true when the answer confirms a submission or a cancellation.
	Accepted bool
}

// RefuseTask answers a call of the tasks API with a refusal.
type RefuseTask struct {
	CallID  string
	Refusal beryllatch.Refusal
}

// LookUpTask reads a task row, finished or not.
type LookUpTask struct {
	CallID string
	Shard  int
	TaskID string
}

// WriteCancel stores a task's cancellation if its row has the version Expect. Unless that puts the task into a final
// state, it also adds a row to the cancellations of the shard, which the final WriteTask deletes.
type WriteCancel struct {
	CallID string
	Shard  int
	Task   beryllatch.Task
	Expect uint64
}

// ReadShards reads all shard rows.
type ReadShards struct{}

// WriteShard replaces a shard row if it has the version Expect.
type WriteShard struct {
	Row    ShardRow
	Expect uint64
	Checks []NodeCheck
}

// LoadTasks reads up to Limit unfinished tasks of a shard with ids greater than After.
type LoadTasks struct {
	Shard int
	Epoch uint32
	After string
	Limit int
}

// PollShard reads the newest tasks of a shard, with ids greater than After, and its pending cancellations.
type PollShard struct {
	Shard int
	Epoch uint32
	After string
	Limit int
	// SkipCancels omits the read of the cancellations.
	SkipCancels bool
}

// WriteTask replaces the row of an unfinished task if it and the shard row have the expected versions.
// A task in a final state moves to the partition of finished tasks, and its payload row is deleted.
type WriteTask struct {
	Shard int
	Epoch uint32
	// ShardExpect is the version of the shard row; 0 means that it is not checked.
	ShardExpect uint64
	Task        beryllatch.Task
	Expect      uint64
}

// ReadTask reads the row of an unfinished task.
type ReadTask struct {
	Shard int
	Epoch uint32
	ID    string
}

// StartTask reads the payload and sends the task to its worker.
type StartTask struct {
	ID            string
	Shard         int
	Execution     beryllatch.Execution
	PayloadRow    bool
	PayloadObject string
}

// QueryTask asks a worker for the state of a task.
type QueryTask struct {
	ID      string
	Fence   uint64
	Address string
}

// RenewTask extends the lease of a running task.
type RenewTask struct{ Execution beryllatch.Execution }

// StopTask stops a task on its worker.
type StopTask struct{ Execution beryllatch.Execution }

// CollectResult reads the result of a finished task from its worker and stores a large one as objects.
type CollectResult struct {
	ID      string
	Fence   uint64
	Address string
}

// SetGauge sets a named gauge of the metrics.
type SetGauge struct {
	Name  string
	Value float64
}

func (TaskSubmitted) event()     {}
func (PayloadReceived) event()   {}
func (PayloadFailed) event()     {}
func (SubmissionWritten) event() {}
func (SubmissionRead) event()    {}
func (TaskQueried) event()       {}
func (TaskLookedUp) event()      {}
func (CancelWritten) event()     {}
func (ShardsEnabled) event()     {}
func (ShardsRead) event()        {}
func (ShardWritten) event()      {}
func (TasksLoaded) event()       {}
func (ShardPolled) event()       {}
func (TaskWritten) event()       {}
func (TaskRowRead) event()       {}
func (TaskStarted) event()       {}
func (TaskReported) event()      {}
func (ResultCollected) event()   {}

func (ReceivePayload) effect() {}
func (SubmitTask) effect()     {}
func (ReadSubmission) effect() {}
func (AnswerTask) effect()     {}
func (RefuseTask) effect()     {}
func (LookUpTask) effect()     {}
func (WriteCancel) effect()    {}
func (ReadShards) effect()     {}
func (WriteShard) effect()     {}
func (LoadTasks) effect()      {}
func (PollShard) effect()      {}
func (WriteTask) effect()      {}
func (ReadTask) effect()       {}
func (StartTask) effect()      {}
func (QueryTask) effect()      {}
func (RenewTask) effect()      {}
func (StopTask) effect()       {}
func (CollectResult) effect()  {}
func (SetGauge) effect()       {}
