package berylreducer

import (
	"time"

	"github.com/beryllatch/beryllatch"
)

// Event is an input of the reducer, such as an arrived request or the result of an effect.
type Event interface{ event() }

// Identity names a node and its current incarnation.
type Identity struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation,omitempty"`
	DataCentre  string `json:"data_centre"`
	// PeerAddress is the host and port of the peers' listener.
	PeerAddress string `json:"peer_address"`
}

// NodeState is the state that a node publishes in its row.
type NodeState string

// The published states of a node.
const (
	NodeLive    NodeState = "live"
	NodeLeaving NodeState = "leaving"
	// NodeExpired is never published by a node itself; other nodes show it for a node whose tenure has expired.
	NodeExpired NodeState = "lapsed"
)

// NodeRow is the value of a node's row in the platform's table.
type NodeRow struct {
	Identity
	Renewal       uint64    `json:"renewal"`
	ConfigVersion uint64    `json:"config_version"`
	State         NodeState `json:"state"`
	// Known lists, sorted, the incarnations that the writer found at its last read of the node rows. It is stored in a
	// separate row (see KnownKey) and is not set on rows that were read.
	Known []string `json:"-"`
	// Version is the table's version of the row; it is set only on rows that were read.
	Version uint64 `json:"-"`
}

// UnitRow is the value of a team's unit row. The free units are the ceiling minus the sum of all holdings.
type UnitRow struct {
	Team string `json:"team"`
	// ConfigVersion is the configuration version that defines Ceiling.
	ConfigVersion uint64 `json:"config_version"`
	Ceiling       int    `json:"ceiling"`
	// Holdings maps a node's incarnation to the units that it holds.
	Holdings map[string]int `json:"holdings,omitempty"`
}

// Write results of conditional platform writes.
const (
	WriteDone     WriteResult = "done"
	WriteConflict WriteResult = "conflict"
	// WriteFailed means that the write had no effect and never will.
	WriteFailed WriteResult = "failed"
	// WriteUnknown means that the write may have taken effect; the row must be read back.
	WriteUnknown WriteResult = "unknown"
)

// WriteResult is the outcome of a conditional write as far as it is known.
type WriteResult string

// Started is the first event of a node.
type Started struct {
	Self Identity
	// Seed seeds the reducer's random choices.
	Seed uint64
	// Slots is the largest number of concurrent executions of the node; 0 means 4096.
	Slots int
}

// Ticked arrives every 100 ms.
type Ticked struct{}

// Renewed reports a successful renewal of the node's row.
type Renewed struct {
	// SentAt is when the renewal was sent; the tenure counts from this instant.
	SentAt Instant
	// HeadVersion is the latest configuration version in the table.
	HeadVersion uint64
	// Nodes holds all node rows, sorted by node, with their table versions.
	Nodes []NodeRow
	// NodesSkipped is true when the node rows were not read.
	NodesSkipped bool
}

// KnownIncarnationsRead delivers the lists of known incarnations of other nodes.
type KnownIncarnationsRead struct {
	// SentAt is when the read was sent.
	SentAt Instant
	// Known maps an incarnation to its list, which is empty if it has stored none. Incarnations whose list could not be
	// read are absent.
	Known map[string][]string
}

// RenewalFailed reports a renewal that failed or whose outcome is unknown.
type RenewalFailed struct {
	SentAt Instant
	// Replaced is true when the node's row was written before and is now missing or was written by another process.
	Replaced bool
}

// ConfigRead delivers a configuration document from the table.
type ConfigRead struct{ Config beryllatch.Config }

// HeartbeatReceived delivers a peer's heartbeat or its answer to one.
type HeartbeatReceived struct {
	From          Identity
	ConfigVersion uint64
	// Demand holds the state of the sender's teams; empty when the message carries none.
	Demand []Demand
	// Work holds the sender's work for each pool; empty when the message carries none.
	Work []PoolWork
	// GrantRequestedAt is when this node sent its request for an outage grant; set only on the answer to such a request.
	GrantRequestedAt Instant
	Granted          bool
}

// Demand is one team's state at one node.
type Demand struct {
	Team    string
	Running int
	Waiting int
	Units   int
}

// GrantRequested is a peer's request for an outage grant.
type GrantRequested struct {
	From Identity
	// CallID identifies the call that waits for a ReplyGrant.
	CallID string
}

// InstancesListed delivers the platform's instance list, by address.
type InstancesListed struct {
	Instances map[string]beryllatch.InstanceStatus
}

// WorkerReported delivers a worker's report about itself.
type WorkerReported struct {
	Instance string
	Healthy  bool
	Leaving  bool
	BootID   string
	// Running is the number of executions on the worker, dispatched by any node.
	Running int
}

// RequestArrived is a caller's request whose headers have been read.
type RequestArrived struct {
	ID string
	// KeyHash is the SHA-256 of the presented secret in hexadecimal digits; empty without a key.
	KeyHash    string
	Queue      string
	Idempotent bool
	// IdempotencyKey is the hash of the caller's idempotency key; empty without one.
	IdempotencyKey string
	// BodyHash is the SHA-256 of the body in hexadecimal digits; empty if the body is not buffered.
	BodyHash string
	// Deadline is the time within which the caller needs the answer; zero means the queue's default.
	Deadline time.Duration
	Urgent   bool
}

// RequestAbandoned reports that the caller has closed its connection.
type RequestAbandoned struct{ ID string }

// ExecutionEnded reports the outcome of an attempt.
type ExecutionEnded struct {
	ID       string
	Attempt  int
	Outcome  beryllatch.ExecutionOutcome
	Reason   beryllatch.Reason
	Duration time.Duration
	// Failed is true when the worker answered that the job failed.
	Failed bool
	// Replayable is true when the node still has the whole body and can send it again.
	Replayable bool
}

// UnitsRead delivers a team's unit row.
type UnitsRead struct {
	Team    string
	Row     UnitRow
	Version uint64
}

// UnitsWritten reports the outcome of a WriteUnits effect.
type UnitsWritten struct {
	Team    string
	Row     UnitRow
	Version uint64
	Result  WriteResult
}

// UnitsRequested is a peer's request for units.
type UnitsRequested struct {
	Team        string
	Incarnation string
	Units       int
	// Demand is the team's state at the requesting node.
	Demand Demand
}

// UnitsReadFailed reports that a ReadUnits effect delivered no row.
type UnitsReadFailed struct{ Team string }

// UnitsTransferred is a peer's notice that it has transferred units of a team to this node in the team's unit row.
type UnitsTransferred struct{ Team string }

// Reincarnated delivers the new incarnation that a Reincarnate effect asked for.
type Reincarnated struct{ Self Identity }

// NodeDeleted reports the outcome of a DeleteNode effect.
type NodeDeleted struct {
	Incarnation string
	Result      WriteResult
}

// ConfigNotified is a peer's notice that a configuration version is committed.
type ConfigNotified struct{ Version uint64 }

// ConfigCommitted reports that this node has committed a configuration version. The node must then emit ConfigInForce
// once all nodes use it.
type ConfigCommitted struct{ Version uint64 }

// ExecutionStopped reports that an execution of unknown outcome is certain to have stopped.
type ExecutionStopped struct {
	ID      string
	Attempt int
}

// StopRequested starts a graceful shutdown.
type StopRequested struct{}

func (Started) event()               {}
func (Ticked) event()                {}
func (Renewed) event()               {}
func (KnownIncarnationsRead) event() {}
func (RenewalFailed) event()         {}
func (ConfigRead) event()            {}
func (HeartbeatReceived) event()     {}
func (GrantRequested) event()        {}
func (InstancesListed) event()       {}
func (WorkerReported) event()        {}
func (RequestArrived) event()        {}
func (RequestAbandoned) event()      {}
func (ExecutionEnded) event()        {}
func (ExecutionStopped) event()      {}
func (UnitsRead) event()             {}
func (UnitsWritten) event()          {}
func (UnitsRequested) event()        {}
func (StopRequested) event()         {}
func (UnitsReadFailed) event()       {}
func (UnitsTransferred) event()      {}
func (Reincarnated) event()          {}
func (NodeDeleted) event()           {}
func (ConfigNotified) event()        {}
func (ConfigCommitted) event()       {}
