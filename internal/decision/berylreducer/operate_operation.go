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

// Reasons of calls that are not accepted without a look at their changes.
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
	// callIDs lists the calls that wait for the outcome; repeats of the operation id join the first.
	callIDs  []string
	digest   string
	asked    Instant
	tries    int
	version  uint64
	accepted Instant
}

func (r *Reducer) changesRequested(e ChangesRequested) {
	op := &operation{ChangesRequested: e, callIDs: []string{e.CallID}, digest: digest(e.Changes), asked: r.now}
	if e.OperationID == "" {
		r.replyOperation(op, OutcomeNotAccepted, ReasonOperationMissing, 0)
		return
	}
	if r.replyRecorded(op) || r.joinOperation(op) {
		return
	}
	switch {
	case r.stopping:
		r.giveUp(op, ReasonStopping)
		return
	case !r.mayTransfer():
		r.giveUp(op, ReasonOperationStale)
		return
	}
	r.operate.queue = append(r.operate.queue, op)
	r.nextOperation()
}

// digest identifies the changes of a call, so that an operation id is not used for two different calls.
func digest(changes []berylplan.Change) string {
	h := sha256.New()
	for _, ch := range changes {
		// The changes are plain values, so that encoding them cannot fail.
		doc, _ := json.Marshal(ch)
		_, _ = fmt.Fprintf(h, "%T%s\n", ch, doc)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// joinOperation lets a repeat wait for the call with the same id that is under way here.
func (r *Reducer) joinOperation(op *operation) bool {
	same := func(o *operation) bool { return o.OperationID == op.OperationID }
	known := append(slices.Clone(r.operate.queue), r.operate.confirming...)
	n := slices.IndexFunc(known, same)
	if n < 0 {
		return false
	}
	if known[n].digest != op.digest {
		r.replyOperation(op, OutcomeNotAccepted, ReasonOperationReused, 0)
		return true
	}
	known[n].callIDs = append(known[n].callIDs, op.CallID)
	return true
}

// replyRecorded answers from the configuration document, if it holds the operation.
func (r *Reducer) replyRecorded(op *operation) bool {
	o, ok := r.config.Operation(op.OperationID)
	if !ok {
		return false
	}
	delete(r.operate.doubts, op.OperationID)
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

// nextOperation works on the first call, unless a write or a read is under way.
func (r *Reducer) nextOperation() {
	for len(r.operate.queue) > 0 && r.operate.write == nil && !r.operate.reading {
		if !r.judge(r.operate.queue[0]) {
			return
		}
		r.operate.queue = r.operate.queue[1:]
	}
}

// judge writes the call's change or settles it without a write; it reports whether the call has ended.
func (r *Reducer) judge(op *operation) bool {
	if r.replyRecorded(op) {
		return true
	}
	switch {
	case !r.mayTransfer() && r.doubtful(op):
		return false
	case !r.mayTransfer():
		r.replyOperation(op, OutcomeNotAccepted, ReasonOperationStale, 0)
		return true
	case op.tries >= maxOperationTries, r.forgotten(op):
		r.giveUp(op, ReasonConflicts)
		return true
	}
	op.tries++
	next, refused := r.evaluate(op)
	next = next.WithOperation(beryllatch.Operation{
		ID: op.OperationID, Operator: op.Operator, Version: r.config.Version + 1, Digest: op.digest, Refused: refused,
	})
	w := r.writeConfig(op.CallID, next)
	w.op, w.refused = op, refused
	return false
}

// evaluate applies the changes to the configuration in force; a refusal is recorded as the outcome of the id.
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

// doubtful reports whether a write of the operation may still take effect, or may have taken effect unseen. It cannot
// once the document has moved past the version that the write expected without recording the operation.
func (r *Reducer) doubtful(op *operation) bool {
	expect, ok := r.operate.doubts[op.OperationID]
	if !ok {
		return false
	}
	if moved := r.config.Version - expect; moved > 0 && moved < beryllatch.MaxOperations {
		delete(r.operate.doubts, op.OperationID)
		return false
	}
	return true
}

// forgotten reports whether the document no longer tells if the operation took effect: it may have been recorded and
// dropped again. Such a call is not written once more.
func (r *Reducer) forgotten(op *operation) bool {
	return r.doubtful(op) && r.config.Version-r.operate.doubts[op.OperationID] >= beryllatch.MaxOperations
}

// doubt notes a write whose answer was lost, and drops the oldest notes beyond the operations that the document keeps.
func (r *Reducer) doubt(w *configWrite) {
	if r.operate.doubts == nil {
		r.operate.doubts = map[string]uint64{}
	}
	r.operate.doubts[w.op.OperationID] = w.expect
	for len(r.operate.doubts) > beryllatch.MaxOperations {
		oldest := w.op.OperationID
		for _, id := range beryllatch.SortedKeys(r.operate.doubts) {
			if r.operate.doubts[id] < r.operate.doubts[oldest] {
				oldest = id
			}
		}
		delete(r.operate.doubts, oldest)
	}
}

func (r *Reducer) operationWritten(w *configWrite, result WriteResult) {
	op := w.op
	if result == WriteUnknown && w.refused == "" {
		r.doubt(w)
	}
	if !slices.Contains(r.operate.queue, op) {
		return
	}
	switch {
	case result == WriteDone:
		r.endOperation(op)
		if w.refused != "" {
			r.replyOperation(op, OutcomeNotAccepted, w.refused, w.config.Version)
			return
		}
		r.confirmOperation(op, w.config.Version)
	case result == WriteFailed && !r.doubtful(op):
		r.endOperation(op)
		r.replyOperation(op, OutcomeNotAccepted, ReasonNoPlatform, 0)
	default:
		r.readForOperation()
	}
}

// operateRead goes on with the first call once a configuration has been read.
func (r *Reducer) operateRead() {
	r.operate.reading = false
	r.nextOperation()
}

func (r *Reducer) timeOutOperations() {
	for _, op := range slices.Clone(r.operate.queue) {
		if r.now.Mono-op.asked.Mono >= operationTimeout {
			r.endOperation(op)
			r.giveUp(op, ReasonNoPlatform)
		}
	}
	r.confirmOperations()
}

// giveUp answers a call that could not be settled: "not accepted" only if no write of it can take effect any more.
func (r *Reducer) giveUp(op *operation, reason string) {
	w := r.operate.write
	if r.doubtful(op) || w != nil && w.op == op && w.refused == "" {
		r.replyOperation(op, OutcomeUnknown, ReasonOutcomeUnknown, 0)
		return
	}
	r.replyOperation(op, OutcomeNotAccepted, reason, 0)
}

func (r *Reducer) endOperation(op *operation) {
	r.operate.queue = slices.DeleteFunc(r.operate.queue, func(o *operation) bool { return o == op })
	r.operate.reading = r.operate.reading && len(r.operate.queue) > 0
}

func (r *Reducer) replyOperation(op *operation, outcome OperatorOutcome, reason string, version uint64) {
	r.count("operator_" + string(outcome))
	for _, id := range op.callIDs {
		r.emit(ReplyOperator{CallID: id, Outcome: outcome, Reason: reason, Version: version})
	}
}
