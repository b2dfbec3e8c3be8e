// Package berylreducer holds the decision logic of an entry node: a Reducer takes events and returns the effects that
// the node must carry out.
//
// A Reducer uses no clock, I/O or goroutine, and its output does not depend on map iteration order, so that a recorded
// session can be replayed. Each subject (tenure, units, claims, tasks ...) has files of its own.
package berylreducer
