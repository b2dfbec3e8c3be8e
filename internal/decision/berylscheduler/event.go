package berylscheduler

import (
	"time"

	"github.com/beryllatch/beryllatch"
)

// Event is an input of the scheduler: news from outside or the outcome of an effect.
type Event interface{ event() }

// Recovered holds the rows that earlier scheduling nodes have stored; it is the first event of an epoch.
type Recovered struct {
	Jobs     []beryllatch.DataRow
	Progress []beryllatch.DataRow
	// Workers holds the registrations of all workers that earlier scheduling nodes may have used.
	Workers []beryllatch.DataRow
	Waves   []beryllatch.DataRow
	// Barrier holds the barrier row, if there is one.
	Barrier []beryllatch.DataRow
}

// DeploymentChanged holds a newer version of the configuration.
type DeploymentChanged struct{ Deployment *beryllatch.Deployment }

// OperationsChanged holds what operators have requested at present, such as maintenance waves and evacuations.
type OperationsChanged struct{ Operations beryllatch.Operations }

// RegistryRead holds the whole registry of workers.
type RegistryRead struct{ Workers []beryllatch.WorkerInfo }

// RegistryChanged holds the changed registrations and the IDs of removed ones.
type RegistryChanged struct {
	Workers []beryllatch.WorkerInfo
	Removed []string
}

// JobSubmitted is a request to accept a job; Call identifies the waiting caller.
type JobSubmitted struct {
	Call uint64
	Job  beryllatch.Job
}

// CancelRequested is a request to cancel a job; Call identifies the waiting caller.
type CancelRequested struct {
	Call uint64
	ID   string
}

// WorkerHeld is the outcome of a HoldWorker effect.
type WorkerHeld struct {
	Worker string
	// Fence and Acknowledge are copied from the order.
	Fence, Acknowledge int64
	// Sent is when the hold was sent.
	Sent  time.Time
	Lists beryllatch.WorkerLists
	// Probe is copied from the effect.
	Probe bool
	Err   error
}

// StartEnded is the outcome of a StartRun effect.
type StartEnded struct {
	Worker string
	// Fence is copied from the order.
	Fence int64
	Task  string
	Run   int
	Clock time.Duration
	Err   error
}

// StopEnded is the outcome of a StopRun effect.
type StopEnded struct {
	Worker string
	// Fence is copied from the order.
	Fence int64
	Task  string
	Run   int
	Err   error
}

// PaceEnded is the outcome of a PaceRun effect.
type PaceEnded struct {
	Worker string
	// Fence is copied from the order.
	Fence   int64
	Task    string
	Run     int
	Percent int
	Err     error
}

// Committed is the outcome of a CommitRows effect.
type Committed struct {
	Batch   uint64
	Version int64
	// StoreUnresponsive is true if no other request to the store was answered either.
	StoreUnresponsive bool
	Err               error
}

// InstancesListed is the outcome of a ListInstances effect.
type InstancesListed struct {
	Instances []beryllatch.FleetInstance
	Err       error
}

// InstanceOrderEnded is the outcome of a MoveInstance or MaintainInstance effect.
type InstanceOrderEnded struct {
	Instance string
	Err      error
}

// StatusWritten is the outcome of a WriteWaveStatus effect.
type StatusWritten struct {
	Wave int
	Done bool
	Err  error
}

// AdviceReceived is the outcome of an AskAdvice effect.
type AdviceReceived struct {
	Step    string
	Workers []string
	Tickets []beryllatch.PlacementTicket
	Valid   time.Duration
	Err     error
}

// EpochConfirmed is the outcome of a ConfirmEpoch effect.
type EpochConfirmed struct {
	// Current is true if the row that names the scheduling node still has the version of this epoch.
	Current bool
	Err     error
}

// HeartbeatStored reports that the store has stored a heartbeat of this node.
type HeartbeatStored struct {
	// Sent is when the heartbeat was sent.
	Sent time.Time
}

// Ticked is sent at regular intervals, for everything that depends on the time alone.
type Ticked struct {
	// PeersAt is the latest time at which, by their own word, none of the other nodes had taken over; it is zero if that is not known
	// of one of them.
	PeersAt time.Time
}

// Woken is the outcome of a WakeAfter effect.
type Woken struct{}

func (Recovered) event()          {}
func (DeploymentChanged) event()  {}
func (OperationsChanged) event()  {}
func (RegistryRead) event()       {}
func (RegistryChanged) event()    {}
func (JobSubmitted) event()       {}
func (CancelRequested) event()    {}
func (WorkerHeld) event()         {}
func (StartEnded) event()         {}
func (StopEnded) event()          {}
func (PaceEnded) event()          {}
func (Committed) event()          {}
func (InstancesListed) event()    {}
func (InstanceOrderEnded) event() {}
func (StatusWritten) event()      {}
func (AdviceReceived) event()     {}
func (EpochConfirmed) event()     {}
func (HeartbeatStored) event()    {}
func (Ticked) event()             {}
func (Woken) event()              {}
