package beryllatch

import (
	"context"
	"fmt"
	"time"
)

// WorkerInfo is what a worker registers about itself; a worker is one life of an instance.
type WorkerInfo struct {
	ID string
	// Incarnation identifies the incarnation: the Unix millisecond of its start.
	Incarnation int64
	Instance    string
	Pool        string
	Address     string
	DataCentre  string
	Rack        string
	Labels      []string
	Capacity    Resources
	Draining    bool
	// Remaining is the least time left while the worker drains; 0 if it is not known.
	Remaining time.Duration
}

// HasLabel reports whether the worker carries the label.
func (w *WorkerInfo) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// WorkerAddress identifies the incarnation that an order is for.
type WorkerAddress struct {
	ID      string
	Address string
}

// StartOrder asks a worker to start a run of a task.
type StartOrder struct {
	Task    string
	Run     int
	Payload string
	// LeaseEnd is on the worker's clock.
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

// PaceOrder sets the share of its speed at which a run works.
type PaceOrder struct {
	Task    string
	Run     int
	Percent int
	Fence   int64
}

// HoldOrder extends the lease of everything on a worker and asks for its lists.
type HoldOrder struct {
	Fence int64
	// Acknowledge is the number of the last end that has been stored.
	Acknowledge int64
	// LeaseEnd is on the worker's clock; 0 extends nothing.
	LeaseEnd time.Duration
	// Wait is how long the worker may delay its answer until a run ends.
	Wait time.Duration
}

// RunningEntry is a run that is present on a worker.
type RunningEntry struct {
	Task       string
	Run        int
	Checkpoint string
	// Percent is the progress of the run.
	Percent int
	// Load is the response-time tail in milliseconds for a serving task, and the processor use in thousandths of a core for others.
	Load int
}

// RunOutcome tells how a run ended.
type RunOutcome string

// The ends of a run.
const (
	RunDone         RunOutcome = "done"
	RunFailed       RunOutcome = "failed"
	RunStopped      RunOutcome = "stopped"
	RunLeaseExpired RunOutcome = "lapsed"
	// RunGangBroken means that another member of the gang ended.
	RunGangBroken RunOutcome = "broken"
	// RunGangIncomplete means that the other members of the gang did not come.
	RunGangIncomplete RunOutcome = "alone"
)

// FinishedEntry is a run that has ended on a worker and has not been acknowledged.
type FinishedEntry struct {
	Number     int64
	Task       string
	Run        int
	Outcome    RunOutcome
	Checkpoint string
}

// WorkerLists is a worker's answer to a hold.
type WorkerLists struct {
	Clock       time.Duration
	Incarnation int64
	Running     []RunningEntry
	Finished    []FinishedEntry
}

// OrderRejection is why a worker has not carried out an order.
type OrderRejection string

// The reasons of rejected orders.
const (
	RejectFence  OrderRejection = "fence"
	RejectOldRun OrderRejection = "old_run"
	RejectLate   OrderRejection = "late"
	RejectNoRoom OrderRejection = "no_room"
	RejectTicket OrderRejection = "ticket"
	RejectOther  OrderRejection = "other"
	// RejectBusy is an unhealthy worker's refusal.
	RejectBusy OrderRejection = "busy"
	// RejectIncarnation means that another incarnation answers at the address.
	RejectIncarnation OrderRejection = "other_incarnation"
	// RejectUnsent means that no byte has left this process.
	RejectUnsent OrderRejection = "unsent"
)

// OrderRejectedError reports an order that surely had no effect.
type OrderRejectedError struct {
	Reason OrderRejection
	Clock  time.Duration
	Err    error
}

// Error names the reason.
func (e *OrderRejectedError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("order rejected (%s): %v", e.Reason, e.Err)
	}
	return fmt.Sprintf("order rejected (%s)", e.Reason)
}

// Unwrap returns the cause.
func (e *OrderRejectedError) Unwrap() error { return e.Err }

// RunClient gives orders to workers; an error other than *OrderRejectedError leaves the outcome unknown.
type RunClient interface {
	// Start returns the worker's clock.
	Start(ctx context.Context, w WorkerAddress, o StartOrder) (time.Duration, error)
	// Stop returns the worker's clock; the run is over, or will end within the stop timeout, or never starts.
	Stop(ctx context.Context, w WorkerAddress, o StopOrder) (time.Duration, error)
	Pace(ctx context.Context, w WorkerAddress, o PaceOrder) (time.Duration, error)
	Hold(ctx context.Context, w WorkerAddress, o HoldOrder) (WorkerLists, error)
}

// PlacementTicket allows a worker to run the tasks of a step.
type PlacementTicket struct {
	Worker string
	Ticket string
}

// PlacementAdvisor knows which workers may run a step of a restricted queue.
type PlacementAdvisor interface {
	// Advise returns tickets for those of the workers that may run the step, and how long they are valid.
	Advise(ctx context.Context, step string, workers []string) ([]PlacementTicket, time.Duration, error)
}

// FleetInstanceState is the state of an instance at the platform.
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

// InstanceRejection is why the platform has not carried out an instance order.
type InstanceRejection string

// The reasons of rejected instance orders.
const (
	InstanceFenced    InstanceRejection = "fence"
	InstanceBusy      InstanceRejection = "busy"
	InstanceNotInWave InstanceRejection = "not_in_wave"
	InstanceInvalid   InstanceRejection = "invalid"
	InstanceLimited   InstanceRejection = "rate_limited"
	InstanceUnsent    InstanceRejection = "unsent"
)

// InstanceRejectedError reports an instance order that surely had no effect.
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

// InstanceManager moves and maintains instances; an error other than *InstanceRejectedError leaves the outcome unknown.
type InstanceManager interface {
	Instances(ctx context.Context) ([]FleetInstance, error)
	// Move puts an instance into another pool; everything that runs on it ends at once.
	Move(ctx context.Context, holder string, fence int64, instance, pool string) error
	// Maintain reboots an instance for a maintenance wave; everything that runs on it ends at once.
	Maintain(ctx context.Context, holder string, fence int64, instance string, wave int) error
}
