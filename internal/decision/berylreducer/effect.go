package berylreducer

import (
	"github.com/beryllatch/beryllatch"
)

// Effect is something that the node must do.
type Effect interface{ effect() }

// RenewTenure writes the node's row and reads the head version and all node rows.
type RenewTenure struct{ Row NodeRow }

// ReadConfig reads the configuration document from the table.
type ReadConfig struct{}

// SendHeartbeats sends the node's demand to peers and reports their answers as PeerHeard.
type SendHeartbeats struct {
	Peers         []Identity
	ConfigVersion uint64
	Demand        []Demand
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

// ReadUnits reads a team's unit row.
type ReadUnits struct{ Team string }

// WriteUnits replaces a team's unit row if it has the version Expect.
type WriteUnits struct {
	Row    UnitRow
	Expect uint64
}

// AskUnits asks a peer to give up units of a team.
type AskUnits struct {
	Peer  Identity
	Team  string
	Units int
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
