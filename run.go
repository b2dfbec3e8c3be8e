package beryllatch

import (
	"context"
	"fmt"
	"time"
)

// WorkerInfo is what a worker registers about itself. After a restart of its instance, a worker registers with a new
// ID, or with the same ID and a higher incarnation.
type WorkerInfo struct {
	ID string
	// Incarnation is the Unix time in milliseconds at which this incarnation of the worker started; 0 if it is not
	// known. The tag is the key in stored data.
	Incarnation int64 `json:"Born"`
	Instance    string
	Pool        string
	Address     string
	DataCentre  string
	Rack        string
	Labels      []string
	Capacity    Resources
	Draining    bool
	// Remaining is the minimum time until a draining worker shuts down; 0 if it is not known.
	Remaining time.Duration
}

// HasLabel reports whether the worker has the label.
func (w *WorkerInfo) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// WorkerAddress is the destination of an order. A worker with another ID at the address rejects the order.
type WorkerAddress struct {
	ID      string
	Address string
}

// StartOrder asks a worker to start a run of a task.
type StartOrder struct {
	Task    string
	Run     int
	Payload string
	// LeaseEnd is the time on the worker's clock at which the lease of the run expires.
	LeaseEnd   time.Duration
	Fence      int64
	Checkpoint string
	Ticket     string
}

// StopOrder asks a worker to end a run.
type StopOrder struct {
	Task  string
	Run   int
	Fence int64
}

// PaceOrder sets the speed of a run, in percent of its full speed.
type PaceOrder struct {
	Task    string
	Run     int
	Percent int
	Fence   int64
}

// HoldOrder extends the leases of all runs on a worker and asks for its lists of running and finished runs.
type HoldOrder struct {
	Fence int64
	// Acknowledge is the highest FinishedEntry.Number whose outcome is stored; the worker can drop the entries up to it.
	Acknowledge int64
	// LeaseEnd is the time on the worker's clock at which the leases expire; 0 leaves them as they are.
	LeaseEnd time.Duration
	// Wait is how long the worker may delay its answer if no run ends before.
	Wait time.Duration
}

// RunningEntry describes a run that is in progress on a worker.
type RunningEntry struct {
	Task       string
	Run        int
	Checkpoint string
	// Percent is the progress of the run in percent.
	Percent int
	// Load is the response-time tail in milliseconds if the task serves requests, else the processor use in thousandths
	// of a core.
	Load int
}

// RunOutcome is the outcome of a run, as its worker reports it.
type RunOutcome string

// The outcomes of a run.
const (
	RunDone    RunOutcome = "done"
	RunFailed  RunOutcome = "failed"
	RunStopped RunOutcome = "stopped"
	// RunLeaseExpired means that the worker stopped the run because its lease had expired.
	RunLeaseExpired RunOutcome = "lapsed"
	// RunGangBroken means that the worker stopped the run because another task of its gang had ended.
	RunGangBroken RunOutcome = "broken"
	// RunGangIncomplete means that the run ended because the other tasks of its gang did not start in time.
	RunGangIncomplete RunOutcome = "alone"
)

// FinishedEntry describes a run that has ended on a worker and has not yet been acknowledged by a HoldOrder.
type FinishedEntry struct {
	// Number counts the ended runs of a worker's incarnation, in the order in which they ended.
	Number     int64
	Task       string
	Run        int
	Outcome    RunOutcome
	Checkpoint string
}

// WorkerLists is a worker's answer to a HoldOrder.
type WorkerLists struct {
	// Clock is the time on the worker's clock.
	Clock time.Duration
	// Incarnation is the incarnation of the worker that answers, as in WorkerInfo.
	Incarnation int64
	Running     []RunningEntry
	Finished    []FinishedEntry
	// MoreFinished is true if the worker may have more finished runs than Finished holds; it lists them once these are acknowledged.
	MoreFinished bool
}

// OrderRejection is the reason for which a worker did not carry out an order.
type OrderRejection string

// The reasons of rejected orders.
const (
	// RejectFence means that the worker has received an order with a higher fence.
	RejectFence OrderRejection = "fence"
	// RejectOldRun means that this run, or a later run of the task, has already ended or been stopped on the worker.
	RejectOldRun OrderRejection = "old_run"
	// RejectLate means that the lease end of the order has passed on the worker's clock.
	RejectLate OrderRejection = "late"
	// RejectNoRoom means that the run does not fit into the worker's free capacity.
	RejectNoRoom OrderRejection = "no_room"
	// RejectTicket means that the placement ticket is missing or not valid.
	RejectTicket OrderRejection = "ticket"
	RejectOther  OrderRejection = "other"
	// RejectBusy means that the worker answered that it is overloaded or unavailable.
	RejectBusy OrderRejection = "busy"
	// RejectIncarnation means that another worker answers at the address.
	RejectIncarnation OrderRejection = "other_incarnation"
	// RejectUnsent means that no byte of the order was sent to the worker.
	RejectUnsent OrderRejection = "unsent"
)

// OrderRejectedError reports an order that certainly had no effect.
type OrderRejectedError struct {
	Reason OrderRejection
	// Clock is the time on the worker's clock; 0 if the worker did not report it.
	Clock time.Duration
	Err   error
}

// Error includes the reason and the cause, if there is one.
func (e *OrderRejectedError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("order rejected (%s): %v", e.Reason, e.Err)
	}
	return fmt.Sprintf("order rejected (%s)", e.Reason)
}

// Unwrap returns the cause.
func (e *OrderRejectedError) Unwrap() error { return e.Err }

// RunClient sends orders to workers. After an error other than *OrderRejectedError the order may or may not have had an
// effect.
type RunClient interface {
	// Start returns the worker's clock.
	Start(ctx context.Context, w WorkerAddress, o StartOrder) (time.Duration, error)
	// Stop returns the worker's clock. The run has ended, or will end within the stop timeout, or will never start.
	Stop(ctx context.Context, w WorkerAddress, o StopOrder) (time.Duration, error)
	// Pace returns the worker's clock.
	Pace(ctx context.Context, w WorkerAddress, o PaceOrder) (time.Duration, error)
	Hold(ctx context.Context, w WorkerAddress, o HoldOrder) (WorkerLists, error)
}

// PlacementTicket permits a worker to run the tasks of a step of a restricted queue.
type PlacementTicket struct {
	Worker string
	Ticket string
}

// PlacementAdvisor says which workers may run a step of a restricted queue.
type PlacementAdvisor interface {
	// Advise returns tickets for those of the workers that may run the step, and how long they are valid.
	Advise(ctx context.Context, step string, workers []string) ([]PlacementTicket, time.Duration, error)
}

// FleetInstanceState is the state of an instance as the platform reports it.
type FleetInstanceState string

// The states of an instance.
const (
	FleetInstanceUp          FleetInstanceState = "up"
	FleetInstanceMoving      FleetInstanceState = "moving"
	FleetInstanceMaintenance FleetInstanceState = "maintenance"
	FleetInstanceDown        FleetInstanceState = "down"
)

// FleetInstance is one instance of the platform's fleet.
type FleetInstance struct {
	Name       string
	Pool       string
	State      FleetInstanceState
	DataCentre string
	Labels     []string
	Capacity   Resources
	Worker     string
}

// InstanceRejection is the reason for which the platform did not move or maintain an instance.
type InstanceRejection string

// The reasons of rejected calls of InstanceManager.
const (
	InstanceFenced    InstanceRejection = "fence"
	InstanceBusy      InstanceRejection = "busy"
	InstanceNotInWave InstanceRejection = "not_in_wave"
	InstanceInvalid   InstanceRejection = "invalid"
	InstanceLimited   InstanceRejection = "rate_limited"
	InstanceUnsent    InstanceRejection = "unsent"
)

// InstanceRejectedError reports a call of InstanceManager that certainly had no effect.
type InstanceRejectedError struct {
	Reason InstanceRejection
	Err    error
}

// Error names the reason.
func (e *InstanceRejectedError) Error() string {
	return fmt.Sprintf("instance order rejected (%s)", e.Reason)
}

// Unwrap returns the cause.
func (e *InstanceRejectedError) Unwrap() error { return e.Err }

// InstanceManager moves and maintains instances. After an error other than *InstanceRejectedError the call may or may
// not have had an effect. Move and Maintain take the name of the scheduling node and its epoch as the fence.
type InstanceManager interface {
	Instances(ctx context.Context) ([]FleetInstance, error)
	// Move puts an instance into another pool; all runs on it end immediately.
	Move(ctx context.Context, node string, fence int64, instance, pool string) error
	// Maintain reboots an instance for a maintenance wave; all runs on it end immediately.
	Maintain(ctx context.Context, node string, fence int64, instance string, wave int) error
}
