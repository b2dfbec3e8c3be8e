package berylreducer

import (
	"slices"
	"time"
)

const (
	// confirmTimeout bounds the wait for the other nodes: a tenure, a renewal and a read fit into it, and a change must
	// be in force within 8 s.
	confirmTimeout = 7 * time.Second
	// lapseWithoutProof is when a silent node's tenure has ended whatever grants it got: the 15 min that outage mode
	// lasts at most, the tenure, a renewal and the clock allowance.
	lapseWithoutProof = 15*time.Minute + 5500*time.Millisecond
)

// nodeSeen is a node's row as last read.
type nodeSeen struct {
	NodeRow
	// changed is when this node first saw the row's present renewal.
	changed time.Duration
}

// nodesSeen records the node rows and the lowest version in force among them.
func (r *Reducer) nodesSeen(e Renewed) {
	r.operate.headSeen = e.HeadVersion
	seen := make(map[string]nodeSeen, len(e.Nodes))
	r.operate.inForce = min(r.config.Version, e.HeadVersion)
	for _, row := range e.Nodes {
		n := nodeSeen{NodeRow: row, changed: r.now.Mono}
		if old, ok := r.operate.nodes[row.Incarnation]; ok && old.Renewal == row.Renewal {
			n.changed = old.changed
		}
		seen[row.Incarnation] = n
		if row.Incarnation != r.self.Incarnation && !r.lapsedForSure(n) {
			r.operate.inForce = min(r.operate.inForce, row.ConfigVersion)
		}
	}
	r.operate.nodes = seen
}

// lapsedForSure reports whether the node can no longer start work.
func (r *Reducer) lapsedForSure(n nodeSeen) bool { return r.now.Mono-n.changed >= lapseWithoutProof }

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
	late := r.waitingFor(op.version)
	// The head is read before the node rows, so that the rows hold every node that registered before that version.
	inForce := len(late) == 0 && r.operate.headSeen >= op.version
	if !inForce && r.now.Mono-op.accepted.Mono < confirmTimeout {
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

// waitingFor returns the registered nodes that have not acknowledged the version, sorted by name.
func (r *Reducer) waitingFor(version uint64) []string {
	var out []string
	for _, n := range r.operate.nodes {
		if n.Incarnation != r.self.Incarnation && n.ConfigVersion < version && !r.lapsedForSure(n) {
			out = append(out, n.Node)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
