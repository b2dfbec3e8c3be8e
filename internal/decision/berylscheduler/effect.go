package berylscheduler

import (
	"time"

	"github.com/beryllatch/beryllatch"
)

// Effect is something that the scheduler asks its node to do.
type Effect interface{ effect() }

// StartRun gives a start order.
type StartRun struct {
	Worker      beryllatch.WorkerAddress
	Incarnation int64
	Order       beryllatch.StartOrder
}

// StopRun gives a stop order.
type StopRun struct {
	Worker      beryllatch.WorkerAddress
	Incarnation int64
	Order       beryllatch.StopOrder
}

// PaceRun gives a pace order.
type PaceRun struct {
	Worker      beryllatch.WorkerAddress
	Incarnation int64
	Order       beryllatch.PaceOrder
}

// HoldWorker extends a worker's leases and reads its lists.
type HoldWorker struct {
	Worker      beryllatch.WorkerAddress
	Incarnation int64
	Order       beryllatch.HoldOrder
	// Probe marks an order that may be sent beside one that waits for an end.
	Probe bool
}

// CommitRows stores rows.
type CommitRows struct {
	// Batch identifies the transaction in its outcome.
	Batch       uint64
	Transaction beryllatch.RowTransaction
}

// AnswerCall ends the wait of a caller; Err is nil, a *beryllatch.Refusal or a *beryllatch.UnknownJobError.
type AnswerCall struct {
	Call uint64
	Err  error
}

// ListInstances reads the platform's instances.
type ListInstances struct{}

// MoveInstance puts an instance into another pool.
type MoveInstance struct{ Instance, Pool string }

// MaintainInstance maintains an instance for a wave.
type MaintainInstance struct {
	Instance string
	Wave     int
}

// WriteWaveStatus tells operators how a wave stands.
type WriteWaveStatus struct {
	Wave int
	Done bool
}

// AskAdvice asks which workers may run a step.
type AskAdvice struct {
	Step    string
	Workers []string
}

// WakeAfter asks for a Woken event.
type WakeAfter struct{ Wait time.Duration }

// Resign ends the epoch at this node.
type Resign struct{ Reason string }

// Decision is a line for the log: what was decided, about what, from which inputs.
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
func (AskAdvice) effect()        {}
func (WakeAfter) effect()        {}
func (Resign) effect()           {}
func (Decision) effect()         {}
