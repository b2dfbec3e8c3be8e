package berylreducer

import (
	"github.com/beryllatch/beryllatch"
)

// Effect is an action that the node must carry out.
type Effect interface{ effect() }

// RenewTenure writes the node's row if it still has the version that this incarnation wrote last, then reads the head
// version of the configuration and all node rows. After a write without an answer the daemon first reads the row back.
// The first write of an incarnation expects that there is no row; a row that is missing later means that the node was
// replaced.
//
// If the list of known incarnations differs from the stored one, it is written in the same transaction as the row. A
// reader that sees the same version of the row before and after it reads the list therefore has the matching list.
type RenewTenure struct {
	Row NodeRow
	// SkipNodes omits the read of the node rows; the head version is always read.
	SkipNodes bool
}

// ReadKnownIncarnations reads the lists of known incarnations of nodes that no longer renew their rows.
type ReadKnownIncarnations struct{ Incarnations []string }

// ReadConfig reads the configuration document from the table.
type ReadConfig struct{}

// SendHeartbeats sends the node's demand to peers; each answer arrives as a HeartbeatReceived event.
type SendHeartbeats struct {
	Peers         []Identity
	ConfigVersion uint64
	Demand        []Demand
	Work          []PoolWork
	AskGrant      bool
}

// ReplyGrant answers a GrantRequested event.
type ReplyGrant struct {
	CallID  string
	Granted bool
}

// Dispatch sends an attempt of a request to a worker.
type Dispatch struct {
	ID       string
	Attempt  int
	Instance string
	// Execution is the whole call except the body; its ID is unique to the attempt.
	Execution beryllatch.Execution
	// AnswerBy is the time-out of the wait for the answer.
	AnswerBy Instant
}

// Refuse answers a request with a refusal.
type Refuse struct {
	ID      string
	Refusal beryllatch.Refusal
}

// Finish tells the HTTP handler of a request to send its caller the worker's answer, which the handler has kept.
type Finish struct{ ID string }

// ReadUnits reads a team's unit row; exactly one UnitsRead or UnitsReadFailed follows.
type ReadUnits struct{ Team string }

// WriteUnits replaces a team's unit row if it has the version Expect and all checks hold, in one transaction; exactly
// one UnitsWritten follows.
type WriteUnits struct {
	Row    UnitRow
	Expect uint64
	Checks []NodeCheck
}

// NodePartition is the partition of the node rows.
const NodePartition = "node"

// NodeCheck is a condition of a transaction: the node row of an incarnation still has the given version, so its tenure
// has not been renewed since that version was read. Version 0 means that the row must not exist.
type NodeCheck struct {
	Incarnation string
	Version     uint64
}

// KnownKey returns the key of the row with an incarnation's list of known incarnations. The list has its own row because
// every node reads all node rows every few seconds, but needs the list only of a node whose tenure may have expired.
func KnownKey(incarnation string) beryllatch.RowKey {
	return beryllatch.RowKey{Partition: "known", Sort: incarnation}
}

// NodeKey returns the key of an incarnation's node row.
func NodeKey(incarnation string) beryllatch.RowKey {
	return beryllatch.RowKey{Partition: NodePartition, Sort: incarnation}
}

// RowWrite returns the check as an element of a transaction.
func (c NodeCheck) RowWrite() beryllatch.RowWrite {
	return beryllatch.RowWrite{Row: beryllatch.Row{Key: NodeKey(c.Incarnation)}, Expect: c.Version, CheckOnly: true}
}

// NotifyUnits tells a peer that this node has transferred units of a team to it in the team's unit row.
type NotifyUnits struct {
	Peer Identity
	Team string
}

// Reincarnate asks the daemon for a new incarnation of the node; Reincarnated delivers it.
type Reincarnate struct{}

// DeleteNode deletes an incarnation's node row if the check holds; NodeDeleted follows. For the node's own row the check
// has version 0, and the daemon uses the version that it wrote last.
type DeleteNode struct{ Node NodeCheck }

// NotifyConfig tells the peers that a configuration version is committed; each answer arrives as a HeartbeatReceived event.
type NotifyConfig struct {
	Peers   []Identity
	Version uint64
}

// ConfigInForce reports whether a committed version is in force on all nodes and, if not, which nodes are missing.
type ConfigInForce struct {
	Version uint64
	InForce bool
	// WaitingFor lists, sorted, the nodes that have not acknowledged the version and may still hold a valid tenure.
	WaitingFor []string
}

// RequestUnits asks a peer to transfer units of a team to this node.
type RequestUnits struct {
	Peer  Identity
	Team  string
	Units int
	// Demand is the team's state at this node.
	Demand Demand
}

// Count adds N to a named counter.
type Count struct {
	Name string
	N    int64
}

// LogState writes one log line about a change of state.
type LogState struct {
	Subject string
	From    string
	To      string
	Detail  string
}

// SetReady sets the readiness that the load balancer sees.
type SetReady struct{ Ready bool }

// Stop ends the process after a graceful shutdown.
type Stop struct{}

func (RenewTenure) effect()           {}
func (ReadConfig) effect()            {}
func (ReadKnownIncarnations) effect() {}
func (SendHeartbeats) effect()        {}
func (ReplyGrant) effect()            {}
func (Dispatch) effect()              {}
func (Refuse) effect()                {}
func (Finish) effect()                {}
func (ReadUnits) effect()             {}
func (WriteUnits) effect()            {}
func (RequestUnits) effect()          {}
func (Count) effect()                 {}
func (LogState) effect()              {}
func (SetReady) effect()              {}
func (Stop) effect()                  {}
func (NotifyUnits) effect()           {}
func (Reincarnate) effect()           {}
func (DeleteNode) effect()            {}
func (NotifyConfig) effect()          {}
func (ConfigInForce) effect()         {}
