package berylreducer

import (
	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylplan"
)

// ChangesRequested is an operator's call to change the configuration.
type ChangesRequested struct {
	// CallID identifies the call that waits for a ReplyOperator.
	CallID      string
	Operator    string
	OperationID string
	// ExpectedVersion is the version that the operator saw; 0 accepts any.
	ExpectedVersion uint64
	Changes         []berylplan.Change
}

// ConfigWritten reports the end of a WriteConfig effect.
type ConfigWritten struct {
	CallID string
	Result WriteResult
}

func (ChangesRequested) event() {}
func (ConfigWritten) event()    {}

// OperatorOutcome is what an operator is told about a call.
type OperatorOutcome string

// The outcomes of an operator's call.
const (
	OutcomeAccepted    OperatorOutcome = "accepted"
	OutcomeNotAccepted OperatorOutcome = "not_accepted"
	OutcomeUnknown     OperatorOutcome = "unknown"
)

// WriteConfig replaces the configuration document if it has the version Expect; 0 means that there is none yet. It is
// always answered by one ConfigWritten.
type WriteConfig struct {
	CallID string
	// Config has the version Expect+1.
	Config beryllatch.Config
	Expect uint64
}

// ReplyOperator answers an OperatorAsked event.
type ReplyOperator struct {
	CallID  string
	Outcome OperatorOutcome
	Reason  string
	// Version records the outcome; 0 with OutcomeNotAccepted means that this call changed nothing, which says nothing
	// about earlier calls with the same operation id at other nodes.
	Version uint64
	// InForce is true when every registered node has the version in force or has lost its tenure for sure.
	InForce bool
	// WaitingFor lists the nodes that have not acknowledged the version, sorted.
	WaitingFor []string
}

// RebootWorker asks a drained worker to reboot, provided that it still runs the boot BootID.
type RebootWorker struct {
	Instance string
	Address  string
	BootID   string
}

func (WriteConfig) effect()   {}
func (ReplyOperator) effect() {}
func (RebootWorker) effect()  {}
