package berylreducer

import (
	"slices"
	"time"

	"github.com/beryllatch/beryllatch"
)

// confirmTimeout bounds the wait for the other nodes: a tenure, a renewal and a read fit into it, and a change must be in
// force within 8 s.
const confirmTimeout = 7 * time.Second

// waitingFor returns the nodes that may not have the version in force, sorted by name. Only a read that was started
// after since counts, as a node may have registered until then.
func (r *Reducer) waitingFor(version uint64, since time.Duration) []string {
	names := map[string]bool{}
	for _, p := range r.unacknowledged(version) {
		names[p.Node] = true
	}
	if r.config.Version < version || r.tenure.pending.SentAt.Mono <= since {
		names[r.self.Node] = true
	}
	return beryllatch.SortedKeys(names)
}

// confirmOperation answers an accepted call once every node has its version in force, or after the time limit.
func (r *Reducer) confirmOperation(op *operation, version uint64) {
	op.version, op.accepted = version, r.now
	r.operate.confirming = append(r.operate.confirming, op)
	r.confirmOperations()
}

func (r *Reducer) confirmOperations() {
	r.operate.confirming = slices.DeleteFunc(r.operate.confirming, r.confirmed)
}

func (r *Reducer) confirmed(op *operation) bool {
	late := r.waitingFor(op.version, op.accepted.Mono)
	if len(late) > 0 && r.now.Mono-op.accepted.Mono < confirmTimeout {
		return false
	}
	r.count("operator_" + string(OutcomeAccepted))
	for _, id := range op.callIDs {
		r.emit(ReplyOperator{
			CallID: id, Outcome: OutcomeAccepted, Version: op.version, InForce: len(late) == 0, WaitingFor: late,
		})
	}
	return true
}
