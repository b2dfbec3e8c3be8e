package berylreducer

import "time"

// leaveTimeout bounds the wait for the return of the units after the last request; units that remain go back to the
// fleet once this incarnation has surely lapsed.
const leaveTimeout = 5 * time.Second

// leave ends a graceful stop: the units go back first, then the node's row is deleted, then the process ends.
func (r *Reducer) leave() {
	t := &r.tenure
	late := r.now.Mono-r.idleAt >= leaveTimeout
	switch {
	case r.idleAt == 0:
		r.idleAt = r.now.Mono
	case late, t.replaced:
		// The row stays while it may still have units: its peers know it, so that they can tell when it has lapsed.
		r.emit(Stop{})
	case t.deleting, t.inFlight, !r.unitsReturned(), !r.mayTransfer():
		// The deletion expects the version of the last renewal, so that renewal must have ended.
	default:
		t.deleting = true
		t.until, t.renewedUntil = min(t.until, r.now.Mono), min(t.renewedUntil, r.now.Mono)
		r.emit(DeleteNode{Node: NodeCheck{Incarnation: r.self.Incarnation}})
	}
}
