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
	// ExpectedVersion is the version that the change is based on; 0 accepts any.
	ExpectedVersion uint64
	Changes         []berylplan.Change
}

// ConfigWritten reports the outcome of a WriteConfig effect.
type ConfigWritten struct {
	CallID string
	Result WriteResult
}

func (ChangesRequested) event() {}
func (ConfigWritten) event()    {}

// OperatorOutcome is the outcome of a call that is reported to the operator.
type OperatorOutcome string

// The outcomes of an operator's call.
const (
	OutcomeAccepted    OperatorOutcome = "accepted"
	OutcomeNotAccepted OperatorOutcome = "not_accepted"
	OutcomeUnknown     OperatorOutcome = "unknown"
)

// WriteConfig replaces the configuration document if it has the version Expect; 0 means that there is none yet. Exactly one
// ConfigWritten follows.
type WriteConfig struct {
	CallID string
	// Config has the version Expect+1.
	Config beryllatch.Config
	Expect uint64
}

// ReplyOperator answers a ChangesRequested event.
type ReplyOperator struct {
	CallID  string
	Outcome OperatorOutcome
	Reason  string
	// Version is the configuration version that records the outcome. With OutcomeNotAccepted, 0 means only that this call
	// changed nothing; an earlier call with the same operation id at another node may have had an effect.
	Version uint64
	// InForce is true if every registered node uses the version or is certain to have lost its tenure.
	InForce bool
	// WaitingFor lists, sorted, the nodes that have not acknowledged the version.
	WaitingFor []string
}

// RebootWorker asks a drained worker to reboot if its boot id is still BootID.
type RebootWorker struct {
	Instance string
	Address  string
	BootID   string
}

func (WriteConfig) effect()   {}
func (ReplyOperator) effect() {}
func (RebootWorker) effect()  {}
