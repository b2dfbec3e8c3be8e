package berylreducer

import (
	"time"

	"github.com/beryllatch/beryllatch"
)

// Event is something that happened to the node.
type Event interface{ event() }

// Identity names a node and its present process.
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
	// NodeLapsed is never published; it is how another node shows one whose tenure is known to have lapsed.
	NodeLapsed NodeState = "lapsed"
)

// NodeRow is the value of a node's row in the platform's table.
type NodeRow struct {
	Identity
	Renewal       uint64    `json:"renewal"`
	ConfigVersion uint64    `json:"config_version"`
	State         NodeState `json:"state"`
	// Known lists the incarnations that the writer knew at its last completed renewal, sorted. It is stored in a row of
	// its own, see KnownKey, and not set on rows that were read.
	Known []string `json:"-"`
	// Version is the table's version of the row; it is set on rows that were read.
	Version uint64 `json:"-"`
}

// UnitRow is the value of a team's unit row; free units are the ceiling less all holdings.
type UnitRow struct {
	Team string `json:"team"`
	// ConfigVersion is the configuration version that Ceiling comes from.
	ConfigVersion uint64 `json:"config_version"`
	Ceiling       int    `json:"ceiling"`
	// Holdings maps a node's incarnation to the units that it holds.
	Holdings map[string]int `json:"holdings,omitempty"`
}

// Write results of conditional platform writes.
const (
	WriteDone     WriteResult = "done"
	WriteConflict WriteResult = "conflict"
	// WriteFailed means that the write surely had no effect.
	WriteFailed WriteResult = "failed"
	// WriteUnknown means that the write may have taken effect; the row must be read back.
	WriteUnknown WriteResult = "unknown"
)

// WriteResult is what is known about a conditional write.
type WriteResult string

// Started is the first event of a node.
type Started struct {
	Self Identity
	// Seed seeds the reducer's random choices.
	Seed uint64
	// Slots is the number of executions that the node runs at once; 0 means 4096.
	Slots int
}

// Ticked arrives every 100 ms.
type Ticked struct{}

// Renewed reports a successful renewal of the node's row.
type Renewed struct {
	// SentAt is when the renewal was sent; the tenure runs from then.
	SentAt Instant
	// HeadVersion is the configuration version that the table held.
	HeadVersion uint64
	// Nodes holds all node rows, sorted by node, with their table versions.
	Nodes []NodeRow
	// NodesSkipped is true when the node rows were not read.
	NodesSkipped bool
}

// KnownRead delivers the lists of known incarnations of other nodes.
type KnownRead struct {
	// SentAt is when the read was sent.
	SentAt Instant
	// Known holds a list by incarnation, empty for one that has stored none; a failed read is left out.
	Known map[string][]string
}

// RenewalFailed reports a renewal without a success.
type RenewalFailed struct {
	SentAt Instant
	// Replaced is true when the node's row, once written, is missing or was written by another process.
	Replaced bool
}

// ConfigRead delivers a configuration document from the table.
type ConfigRead struct{ Config beryllatch.Config }

// HeartbeatReceived delivers a heartbeat or the answer to one.
type HeartbeatReceived struct {
	From          Identity
	ConfigVersion uint64
	// Demand is empty when the message carries no demand.
	Demand []Demand
	// Work is the work of the sender for each pool; empty when the message carries none.
	Work []PoolWork
	// GrantRequestedAt is set on an answer to a request for an outage grant: the instant of the request.
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
	// CallID identifies the call that waits for a GrantReply.
	CallID string
}

// InstancesListed delivers the platform's instance list, by address.
type InstancesListed struct {
	Instances map[string]beryllatch.InstanceStatus
}

// WorkerReported delivers one worker's own report.
type WorkerReported struct {
	Instance string
	Healthy  bool
	Leaving  bool
	BootID   string
	// Running is the number of executions on the worker, from every node.
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
	// Deadline is the time by which the caller needs the answer; zero means the queue's default.
	Deadline time.Duration
	Urgent   bool
}

// RequestAbandoned reports that the caller has closed its connection.
type RequestAbandoned struct{ ID string }

// ExecutionEnded reports the end of an attempt.
type ExecutionEnded struct {
	ID       string
	Attempt  int
	Outcome  beryllatch.ExecutionOutcome
	Reason   beryllatch.Reason
	Duration time.Duration
	// Failed is true when the worker answered that the job failed.
	Failed bool
	// Replayable is true when the whole body can be sent again.
	Replayable bool
}

// UnitsRead delivers a team's unit row.
type UnitsRead struct {
	Team    string
	Row     UnitRow
	Version uint64
}

// UnitsWritten reports the end of a WriteUnits effect.
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
	// Demand is the asking node's state of the team.
	Demand Demand
}

// UnitsReadFailed reports the end of a ReadUnits effect without a row.
type UnitsReadFailed struct{ Team string }

// UnitsMoved is a peer's notice that it has moved units of a team to this node in the row.
type UnitsMoved struct{ Team string }

// Reincarnated answers Reincarnate: the node goes on under a new incarnation.
type Reincarnated struct{ Self Identity }

// NodeDeleted reports the end of a DeleteNode effect.
type NodeDeleted struct {
	Incarnation string
	Result      WriteResult
}

// ConfigNotified is a peer's notice that a configuration version is committed.
type ConfigNotified struct{ Version uint64 }

// ConfigCommitted reports that this node has committed a configuration version and must learn when it is in force.
type ConfigCommitted struct{ Version uint64 }

// ExecutionStopped reports that an execution whose outcome is unknown surely runs no more.
type ExecutionStopped struct {
	ID      string
	Attempt int
}

// StopRequested starts a graceful shutdown.
type StopRequested struct{}

func (Started) event()           {}
func (Ticked) event()            {}
func (Renewed) event()           {}
func (KnownRead) event()         {}
func (RenewalFailed) event()     {}
func (ConfigRead) event()        {}
func (HeartbeatReceived) event() {}
func (GrantRequested) event()    {}
func (InstancesListed) event()   {}
func (WorkerReported) event()    {}
func (RequestArrived) event()    {}
func (RequestAbandoned) event()  {}
func (ExecutionEnded) event()    {}
func (ExecutionStopped) event()  {}
func (UnitsRead) event()         {}
func (UnitsWritten) event()      {}
func (UnitsRequested) event()    {}
func (StopRequested) event()     {}
func (UnitsReadFailed) event()   {}
func (UnitsMoved) event()        {}
func (Reincarnated) event()      {}
func (NodeDeleted) event()       {}
func (ConfigNotified) event()    {}
func (ConfigCommitted) event()   {}
