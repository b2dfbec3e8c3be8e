package berylreducer

import (
	"net/http"

	"github.com/beryllatch/beryllatch"
)

// MaxStoredAnswer is the largest answer body in bytes that a claim row keeps for repeats.
const MaxStoredAnswer = 64 << 10

// ClaimState is the state of an idempotency claim.
type ClaimState string

// The states of an idempotency claim.
const (
	// ClaimClaimed means that the claiming node may be running the request.
	ClaimClaimed ClaimState = "claimed"
	// ClaimDone means that the request was answered.
	ClaimDone ClaimState = "done"
	// ClaimUnknown means that the request may have run.
	ClaimUnknown ClaimState = "unknown"
	// ClaimReleased means that the request is certain not to have run. The row is kept for a while, since a delayed write
	// of the claim would take effect if the row were missing.
	ClaimReleased ClaimState = "released"
)

// ClaimRow is the value of an idempotency claim's row.
type ClaimRow struct {
	Team  string `json:"team,omitempty"`
	Queue string `json:"queue"`
	// BodyHash distinguishes a repeat of the request from another request with the same key.
	BodyHash   string `json:"body_hash,omitempty"`
	Idempotent bool   `json:"idempotent,omitempty"`
	// Nonce is unique to one claim of one node, so that a node recognises its own write when it reads the row back.
	Nonce       string     `json:"nonce"`
	Node        string     `json:"node"`
	Incarnation string     `json:"incarnation"`
	RequestID   string     `json:"request_id"`
	ExecutionID string     `json:"execution_id,omitempty"`
	Instance    string     `json:"instance,omitempty"`
	State       ClaimState `json:"state"`
	// Status, Header and Answer hold the answer of a done claim.
	Status int         `json:"status,omitempty"`
	Header http.Header `json:"header,omitempty"`
	Answer []byte      `json:"answer,omitempty"`
	// AnswerOmitted is true when the answer was larger than MaxStoredAnswer.
	AnswerOmitted bool `json:"answer_omitted,omitempty"`
}

// WriteClaim claims a key if the row has the version Expect; the result arrives as ClaimWritten.
type WriteClaim struct {
	ID     string
	Key    beryllatch.RowKey
	Row    ClaimRow
	Expect uint64
	// Expires is the Unix time in seconds after which the table may drop the row.
	Expires int64
}

// ReadClaim reads a claim row consistently; the result arrives as ClaimRead.
type ReadClaim struct {
	ID  string
	Key beryllatch.RowKey
}

// FinishClaim records the outcome of a claimed request; the result arrives as ClaimWritten. If the state is done, the
// daemon adds the worker's answer to the row, or sets AnswerOmitted if the answer is too large. It keeps the answer until
// the result is done or conflict, since the effect may be repeated. The effect comes before the request's Finish.
type FinishClaim struct {
	ID      string
	Key     beryllatch.RowKey
	Row     ClaimRow
	Expect  uint64
	Expires int64
}

// ReleaseClaim marks a claim as released, since its request is certain not to have run; the result arrives as
// ClaimWritten.
type ReleaseClaim struct {
	ID      string
	Key     beryllatch.RowKey
	Row     ClaimRow
	Expect  uint64
	Expires int64
}

// ReplayAnswer answers a request with the stored answer of its claim.
type ReplayAnswer struct {
	ID  string
	Row ClaimRow
}

// ClaimWritten reports the outcome of a WriteClaim, FinishClaim or ReleaseClaim effect.
type ClaimWritten struct {
	ID     string
	Result WriteResult
}

// ClaimRead reports the outcome of a ReadClaim effect.
type ClaimRead struct {
	ID string
	// Failed is true when the row could not be read.
	Failed bool
	Row    ClaimRow
	// Version is the row's version; 0 means that there is no row.
	Version uint64
	Expires int64
}

func (WriteClaim) effect()   {}
func (ReadClaim) effect()    {}
func (FinishClaim) effect()  {}
func (ReleaseClaim) effect() {}
func (ReplayAnswer) effect() {}
func (ClaimWritten) event()  {}
func (ClaimRead) event()     {}
