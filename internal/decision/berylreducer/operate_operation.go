package berylreducer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylplan"
)

// Reasons of replies that don't depend on the changes of the call. A refusal of the changes has the text of its error.
const (
	ReasonVersionChanged   = "version_changed: the configuration is no longer at the expected version"
	ReasonOperationReused  = "operation_id_reused: the id belongs to a call with other changes"
	ReasonConflicts        = "conflict: other changes kept coming first"
	ReasonOperationStale   = "node_stale: the node cannot prove that its configuration is up to date"
	ReasonStopping         = "node_stopping: the node is shutting down"
	ReasonNoPlatform       = "platform_unavailable: the configuration was not written"
	ReasonOutcomeUnknown   = "answer_lost: the change may be in force; repeat the call with the same operation id"
	ReasonOperationMissing = "operation_id: is missing"
)

// operation is an operator's call between its arrival and its reply.
type operation struct {
	ChangesRequested
	// callIDs lists the calls to reply to: this one and repeats with the same operation id that arrived meanwhile.
	callIDs    []string
	digest     string
	receivedAt Instant
	// writes counts the configuration writes for the call.
	writes int
	// version is the configuration version that records the accepted changes; acceptedAt is when this node learned of it.
	version    uint64
	acceptedAt Instant
}

func (r *Reducer) changesRequested(e ChangesRequested) {
	op := &operation{ChangesRequested: e, callIDs: []string{e.CallID}, digest: digest(e.Changes), receivedAt: r.now}
	if e.OperationID == "" {
		r.replyOperation(op, OutcomeNotAccepted, ReasonOperationMissing, 0)
		return
	}
	if r.replyRecorded(op) || r.joinOperation(op) {
		return
	}
	switch {
	case r.stopping:
		r.replyUnsettled(op, ReasonStopping)
		return
	case !r.mayTransfer():
		r.replyUnsettled(op, ReasonOperationStale)
		return
	}
	r.operate.queue = append(r.operate.queue, op)
	r.processOperations()
}

// digest returns a hash of the changes of a call, to detect an operation id that is reused for other changes.
func digest(changes []berylplan.Change) string {
	h := sha256.New()
	for _, ch := range changes {
		// The changes are plain values, so encoding them cannot fail.
		doc, _ := json.Marshal(ch)
		_, _ = fmt.Fprintf(h, "%T%s\n", ch, doc)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// joinOperation adds a repeated call to the pending one with the same operation id at this node. It reports whether there is
// one.
func (r *Reducer) joinOperation(op *operation) bool {
	sameID := func(o *operation) bool { return o.OperationID == op.OperationID }
	pending := append(slices.Clone(r.operate.queue), r.operate.confirming...)
	n := slices.IndexFunc(pending, sameID)
	if n < 0 {
		return false
	}
	if pending[n].digest != op.digest {
		r.replyOperation(op, OutcomeNotAccepted, ReasonOperationReused, 0)
		return true
	}
	pending[n].callIDs = append(pending[n].callIDs, op.CallID)
	return true
}

// replyRecorded replies with the outcome that the configuration document records, if any. It reports whether there is one.
func (r *Reducer) replyRecorded(op *operation) bool {
	o, ok := r.config.Operation(op.OperationID)
	if !ok {
		return false
	}
	delete(r.operate.uncertainWrites, op.OperationID)
	switch {
	case o.Digest != op.digest:
		r.replyOperation(op, OutcomeNotAccepted, ReasonOperationReused, 0)
	case o.Refused != "":
		r.replyOperation(op, OutcomeNotAccepted, o.Refused, o.Version)
	default:
		r.confirmOperation(op, o.Version)
	}
	return true
}

// processOperations processes the queued calls in order until a write or a read is in flight.
func (r *Reducer) processOperations() {
	for len(r.operate.queue) > 0 && r.operate.write == nil && !r.operate.reading {
		if !r.processOperation(r.operate.queue[0]) {
			return
		}
		r.operate.queue = r.operate.queue[1:]
	}
}

// processOperation writes the outcome of the call to the configuration, or replies without a write. It reports whether the
// call needs no further processing.
func (r *Reducer) processOperation(op *operation) bool {
	if r.replyRecorded(op) {
		return true
	}
	switch {
	case !r.mayTransfer() && r.writeUncertain(op):
		return false
	case !r.mayTransfer():
		r.replyOperation(op, OutcomeNotAccepted, ReasonOperationStale, 0)
		return true
	case op.writes >= maxOperationWrites, r.outcomeForgotten(op):
		r.replyUnsettled(op, ReasonConflicts)
		return true
	}
	op.writes++
	next, refused := r.evaluate(op)
	next = next.WithOperation(beryllatch.Operation{
		ID: op.OperationID, Operator: op.Operator, Version: r.config.Version + 1, Digest: op.digest, Refused: refused,
	})
	w := r.writeConfig(op.CallID, next)
	w.op, w.refused = op, refused
	return false
}

// evaluate applies the changes to the current configuration. It returns the new configuration, or the current one and the
// reason of the refusal.
func (r *Reducer) evaluate(op *operation) (beryllatch.Config, string) {
	if op.ExpectedVersion != 0 && op.ExpectedVersion != r.config.Version {
		return r.config, ReasonVersionChanged
	}
	next, err := berylplan.Apply(r.config, r.health(), op.Changes...)
	if err != nil {
		return r.config, err.Error()
	}
	return next, ""
}

// writeUncertain reports whether a write for the operation may have taken effect, or may still do so, without this node's
// knowledge. That is ruled out once the document is past the version that the write expected and does not record the
// operation.
func (r *Reducer) writeUncertain(op *operation) bool {
	expect, ok := r.operate.uncertainWrites[op.OperationID]
	if !ok {
		return false
	}
	if newer := r.config.Version - expect; newer > 0 && newer < beryllatch.MaxOperations {
		delete(r.operate.uncertainWrites, op.OperationID)
		return false
	}
	return true
}

// outcomeForgotten reports whether the document can no longer show if the operation took effect, since its record may have
// been dropped in favour of later ones. Such an operation is not written again.
func (r *Reducer) outcomeForgotten(op *operation) bool {
	return r.writeUncertain(op) && r.config.Version-r.operate.uncertainWrites[op.OperationID] >= beryllatch.MaxOperations
}

// recordUncertainWrite records a write whose answer was lost. It keeps as many such records as the document keeps operations,
// and drops the oldest.
func (r *Reducer) recordUncertainWrite(w *configWrite) {
	if r.operate.uncertainWrites == nil {
		r.operate.uncertainWrites = map[string]uint64{}
	}
	r.operate.uncertainWrites[w.op.OperationID] = w.expect
	for len(r.operate.uncertainWrites) > beryllatch.MaxOperations {
		oldest := w.op.OperationID
		for _, id := range beryllatch.SortedKeys(r.operate.uncertainWrites) {
			if r.operate.uncertainWrites[id] < r.operate.uncertainWrites[oldest] {
				oldest = id
			}
		}
		delete(r.operate.uncertainWrites, oldest)
	}
}

func (r *Reducer) operationWritten(w *configWrite, result WriteResult) {
	op := w.op
	if result == WriteUnknown && w.refused == "" {
		r.recordUncertainWrite(w)
	}
	if !slices.Contains(r.operate.queue, op) {
		return
	}
	switch {
	case result == WriteDone:
		r.dequeueOperation(op)
		if w.refused != "" {
			r.replyOperation(op, OutcomeNotAccepted, w.refused, w.config.Version)
			return
		}
		r.confirmOperation(op, w.config.Version)
	case result == WriteFailed && !r.writeUncertain(op):
		r.dequeueOperation(op)
		r.replyOperation(op, OutcomeNotAccepted, ReasonNoPlatform, 0)
	default:
		r.readForOperation()
	}
}

// configReadForOperation continues with the first call once the configuration has been read.
func (r *Reducer) configReadForOperation() {
	r.operate.reading = false
	r.processOperations()
}

func (r *Reducer) timeOutOperations() {
	for _, op := range slices.Clone(r.operate.queue) {
		if r.now.Mono-op.receivedAt.Mono >= operationTimeout {
			r.dequeueOperation(op)
			r.replyUnsettled(op, ReasonNoPlatform)
		}
	}
	r.confirmOperations()
}

// replyUnsettled replies to a call without a recorded outcome: "not accepted" if none of its writes can take effect any more,
// otherwise "unknown".
func (r *Reducer) replyUnsettled(op *operation, reason string) {
	w := r.operate.write
	if r.writeUncertain(op) || w != nil && w.op == op && w.refused == "" {
		r.replyOperation(op, OutcomeUnknown, ReasonOutcomeUnknown, 0)
		return
	}
	r.replyOperation(op, OutcomeNotAccepted, reason, 0)
}

func (r *Reducer) dequeueOperation(op *operation) {
	r.operate.queue = slices.DeleteFunc(r.operate.queue, func(o *operation) bool { return o == op })
	r.operate.reading = r.operate.reading && len(r.operate.queue) > 0
}

func (r *Reducer) replyOperation(op *operation, outcome OperatorOutcome, reason string, version uint64) {
	r.count("operator_" + string(outcome))
	for _, id := range op.callIDs {
		r.emit(ReplyOperator{CallID: id, Outcome: outcome, Reason: reason, Version: version})
	}
}
