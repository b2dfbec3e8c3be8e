package berylreducer

import (
	"github.com/beryllatch/beryllatch"
)

// Effect is something that the node must do.
type Effect interface{ effect() }

// RenewTenure writes the node's row if it has the version that this incarnation wrote last, then reads the head version
// and all node rows; after a write without an answer the shell first reads the row back. An incarnation's first write
// expects no row, and only a row that is missing after that is a replaced one.
//
// A list of known incarnations that differs from the stored one is written in the same transaction as the row, so that a
// reader who finds the row unchanged before and after it has read the list has the list of that row.
type RenewTenure struct {
	Row NodeRow
	// SkipNodes leaves the read of the node rows out; the head version is always read.
	SkipNodes bool
}

// ReadKnown reads the lists of known incarnations of nodes whose rows stand still.
type ReadKnown struct{ Incarnations []string }

// ReadConfig reads the configuration document from the table.
type ReadConfig struct{}

// SendHeartbeats sends the node's demand to peers and reports their answers as PeerHeard.
type SendHeartbeats struct {
	Peers         []Identity
	ConfigVersion uint64
	Demand        []Demand
	Work          []PoolWork
	AskGrant      bool
}

// ReplyGrant answers a GrantAsked event.
type ReplyGrant struct {
	CallID  string
	Granted bool
}

// Dispatch sends an attempt of a request to a worker.
type Dispatch struct {
	ID       string
	Attempt  int
	Instance string
	// Execution has everything but the body; its ID is unique to the attempt.
	Execution beryllatch.Execution
	// AnswerBy is the end of the wait for the answer.
	AnswerBy Instant
}

// Refuse answers a request without an execution.
type Refuse struct {
	ID      string
	Refusal beryllatch.Refusal
}

// Finish tells the handler of a request to pass on the answer that it holds.
type Finish struct{ ID string }

// ReadUnits reads a team's unit row; it is always answered by one UnitsRead or UnitsReadFailed.
type ReadUnits struct{ Team string }

// WriteUnits replaces a team's unit row if it has the version Expect and all checks hold, in one transaction; it is
// always answered by one UnitsWritten.
type WriteUnits struct {
	Row    UnitRow
	Expect uint64
	Checks []NodeCheck
}

// NodePartition is the partition of the node rows.
const NodePartition = "node"

// NodeCheck is the condition that an incarnation's row still has the version, so that its tenure has not been renewed
// since; version 0 means that the row is missing.
type NodeCheck struct {
	Incarnation string
	Version     uint64
}

// KnownKey returns the row of an incarnation's list of known incarnations. It is apart from the node row, since every node
// reads all node rows every few seconds, and the list only of a node that may have lapsed.
func KnownKey(incarnation string) beryllatch.RowKey {
	return beryllatch.RowKey{Partition: "known", Sort: incarnation}
}

// NodeKey returns the row of an incarnation's node.
func NodeKey(incarnation string) beryllatch.RowKey {
	return beryllatch.RowKey{Partition: NodePartition, Sort: incarnation}
}

// RowWrite returns the check as a part of a transaction.
func (c NodeCheck) RowWrite() beryllatch.RowWrite {
	return beryllatch.RowWrite{Row: beryllatch.Row{Key: NodeKey(c.Incarnation)}, Expect: c.Version, CheckOnly: true}
}

// NotifyUnits tells a peer that units of a team have been moved to it in the row.
type NotifyUnits struct {
	Peer Identity
	Team string
}

// Reincarnate asks the shell for a new incarnation of the node, which it reports as Reincarnated.
type Reincarnate struct{}

// DeleteNode deletes an incarnation's row if the check holds; it is answered by NodeDeleted. The check of the node's own
// row has version 0, and the shell uses the version that it wrote last.
type DeleteNode struct{ Node NodeCheck }

// NotifyConfig tells the peers that a configuration version is committed; their answers arrive as PeerHeard.
type NotifyConfig struct {
	Peers   []Identity
	Version uint64
}

// ConfigInForce reports whether a committed version is in force everywhere, and which nodes have not shown it.
type ConfigInForce struct {
	Version uint64
	InForce bool
	// WaitingFor lists the nodes that have neither acknowledged the version nor surely lapsed, sorted.
	WaitingFor []string
}

// AskUnits asks a peer to give up units of a team.
type AskUnits struct {
	Peer  Identity
	Team  string
	Units int
	// Demand is this node's own state of the team.
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

// SetReady publishes whether the node accepts work.
type SetReady struct{ Ready bool }

// Stop ends the process after a graceful shutdown.
type Stop struct{}

func (RenewTenure) effect()    {}
func (ReadConfig) effect()     {}
func (ReadKnown) effect()      {}
func (SendHeartbeats) effect() {}
func (ReplyGrant) effect()     {}
func (Dispatch) effect()       {}
func (Refuse) effect()         {}
func (Finish) effect()         {}
func (ReadUnits) effect()      {}
func (WriteUnits) effect()     {}
func (AskUnits) effect()       {}
func (Count) effect()          {}
func (LogState) effect()       {}
func (SetReady) effect()       {}
func (Stop) effect()           {}
func (NotifyUnits) effect()    {}
func (Reincarnate) effect()    {}
func (DeleteNode) effect()     {}
func (NotifyConfig) effect()   {}
func (ConfigInForce) effect()  {}
