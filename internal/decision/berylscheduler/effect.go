package berylscheduler

import (
	"time"

	"github.com/beryllatch/beryllatch"
)

// Effect is something that the scheduler asks its node to do. Most effects are answered by an event.
type Effect interface{ effect() }

// StartRun sends a start order to a worker.
type StartRun struct {
	Worker beryllatch.WorkerAddress
	Order  beryllatch.StartOrder
}

// StopRun sends a stop order to a worker.
type StopRun struct {
	Worker beryllatch.WorkerAddress
	Order  beryllatch.StopOrder
}

// PaceRun sends a pace order, which slows a filler down or lets it speed up.
type PaceRun struct {
	Worker beryllatch.WorkerAddress
	Order  beryllatch.PaceOrder
}

// HoldWorker extends the leases of a worker's runs and reads its lists of running and finished runs.
type HoldWorker struct {
	Worker beryllatch.WorkerAddress
	Order  beryllatch.HoldOrder
	// Probe marks a probe: a hold that may be sent while another one waits on the worker for a completion.
	Probe bool
}

// CommitRows stores rows in one transaction.
type CommitRows struct {
	// Batch is the number by which Committed refers to the transaction.
	Batch       uint64
	Transaction beryllatch.RowTransaction
}

// AnswerCall answers a waiting caller; Err is nil, a *beryllatch.Refusal or a *beryllatch.UnknownJobError.
type AnswerCall struct {
	Call uint64
	Err  error
}

// ListInstances asks the platform for the list of all instances.
type ListInstances struct{}

// MoveInstance asks the platform to move an instance into another pool.
type MoveInstance struct{ Instance, Pool string }

// MaintainInstance asks the platform to maintain an instance as part of a wave.
type MaintainInstance struct {
	Instance string
	Wave     int
}

// WriteWaveStatus writes the status of a wave for operators.
type WriteWaveStatus struct {
	Wave int
	Done bool
}

// WavesLeft reports how many instances all open waves together still have to maintain, and how many for each of WaveReasons.
type WavesLeft struct {
	Left    int
	Reasons map[string]int
}

// AskAdvice asks the advisor which of the workers may run a step of a restricted queue.
type AskAdvice struct {
	Step    string
	Workers []string
}

// WakeAfter asks for a Woken event after the given time.
type WakeAfter struct{ Wait time.Duration }

// ConfirmEpoch asks the store whether the row that names the scheduling node is still that of this epoch.
type ConfirmEpoch struct{}

// Resign releases the scheduling role; the scheduler ignores all events after it.
type Resign struct{ Reason string }

// Decision is a log record: what was decided, about which job, task or worker, and how old the information behind it was.
type Decision struct {
	Name   string
	Job    string
	Task   string
	Worker string
	Run    int
	Detail string
	Age    time.Duration
}

func (StartRun) effect()         {}
func (StopRun) effect()          {}
func (PaceRun) effect()          {}
func (HoldWorker) effect()       {}
func (CommitRows) effect()       {}
func (AnswerCall) effect()       {}
func (ListInstances) effect()    {}
func (MoveInstance) effect()     {}
func (MaintainInstance) effect() {}
func (WriteWaveStatus) effect()  {}
func (WavesLeft) effect()        {}
func (AskAdvice) effect()        {}
func (WakeAfter) effect()        {}
func (ConfirmEpoch) effect()     {}
func (Resign) effect()           {}
func (Decision) effect()         {}
