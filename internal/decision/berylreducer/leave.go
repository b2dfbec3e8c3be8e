package berylreducer

import "time"

// leaveTimeout bounds how long a stopping node waits for its units to be returned after the last request. Units that it
// still holds then become free for other nodes once its tenure has expired.
const leaveTimeout = 5 * time.Second

// leave carries out the last steps of a graceful stop: return the units, delete the node's row, end the process.
func (r *Reducer) leave() {
	t := &r.tenure
	timedOut := r.now.Mono-r.idleSince >= leaveTimeout
	switch {
	case r.idleSince == 0:
		r.idleSince = r.now.Mono
	case timedOut, t.replaced:
		// The node may still hold units, so its row stays: its peers need the row to determine when the tenure has expired.
		r.emit(Stop{})
	case t.deleting, t.renewalInFlight, !r.unitsReturned(), !r.mayTransfer():
		// Not yet: the deletion expects the row version of the last renewal, so a renewal in flight must complete first.
	default:
		t.deleting = true
		t.validUntil, t.renewedUntil = min(t.validUntil, r.now.Mono), min(t.renewedUntil, r.now.Mono)
		r.emit(DeleteNode{Node: NodeCheck{Incarnation: r.self.Incarnation}})
	}
}
