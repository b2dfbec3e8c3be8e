package berylreducer

import (
	"slices"
	"time"
)

const (
	// confirmTimeout bounds how long an accepted call waits until its version is in force on all nodes. It is long enough
	// for a tenure, a renewal and a read, and shorter than the 8 s within which a change must be in force.
	confirmTimeout = 7 * time.Second
)

// lowestInForce returns the lowest version that any node which may start work still uses.
func (r *Reducer) lowestInForce() uint64 {
	v := min(r.config.Version, r.tenure.nodesHeadVersion)
	for _, m := range r.registeredMembers() {
		if !m.expired {
			v = min(v, m.reportedVersion)
		}
	}
	return v
}

// confirmOperation replies to an accepted call once its version is in force on all nodes, or after confirmTimeout.
func (r *Reducer) confirmOperation(op *operation, version uint64) {
	op.version, op.acceptedAt = version, r.now
	r.operate.confirming = append(r.operate.confirming, op)
	r.confirmOperations()
}

func (r *Reducer) confirmOperations() {
	r.operate.confirming = slices.DeleteFunc(r.operate.confirming, r.replyIfConfirmed)
}

// replyIfConfirmed replies to the call if its version is in force or the time is up, and reports whether it has replied.
func (r *Reducer) replyIfConfirmed(op *operation) bool {
	waitingFor := r.waitingNames(r.unacknowledged(op.version), op.version)
	// The head version is read before the node rows, so the rows contain every node that registered before that version.
	inForce := len(waitingFor) == 0 && r.tenure.nodesHeadVersion >= op.version
	if !inForce && r.now.Mono-op.acceptedAt.Mono < confirmTimeout {
		return false
	}
	r.count("operator_" + string(OutcomeAccepted))
	for _, id := range op.callIDs {
		r.emit(ReplyOperator{
			CallID: id, Outcome: OutcomeAccepted, Version: op.version, InForce: inForce, WaitingFor: waitingFor,
		})
	}
	return true
}
