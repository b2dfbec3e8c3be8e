package berylreducer

import (
	"slices"
	"time"
)

const (
	// confirmTimeout bounds the wait for the other nodes: a tenure, a renewal and a read fit into it, and a change must
	// be in force within 8 s.
	confirmTimeout = 7 * time.Second
)

// lowestInForce returns the version that every node which may start work has in force.
func (r *Reducer) lowestInForce() uint64 {
	v := min(r.config.Version, r.tenure.nodesHeadVersion)
	for _, m := range r.registered() {
		if !m.lapsed {
			v = min(v, m.reportedVersion)
		}
	}
	return v
}

// confirmOperation answers an accepted call once every node has its version in force, or after the time limit.
func (r *Reducer) confirmOperation(op *operation, version uint64) {
	op.version, op.acceptedAt = version, r.now
	r.operate.confirming = append(r.operate.confirming, op)
	r.confirmOperations()
}

func (r *Reducer) confirmOperations() {
	r.operate.confirming = slices.DeleteFunc(r.operate.confirming, r.confirmed)
}

func (r *Reducer) confirmed(op *operation) bool {
	late := r.waitingNames(r.unacknowledged(op.version), op.version)
	// The head is read before the node rows, so that the rows hold every node that registered before that version.
	inForce := len(late) == 0 && r.tenure.nodesHeadVersion >= op.version
	if !inForce && r.now.Mono-op.acceptedAt.Mono < confirmTimeout {
		return false
	}
	r.count("operator_" + string(OutcomeAccepted))
	for _, id := range op.callIDs {
		r.emit(ReplyOperator{
			CallID: id, Outcome: OutcomeAccepted, Version: op.version, InForce: inForce, WaitingFor: late,
		})
	}
	return true
}
