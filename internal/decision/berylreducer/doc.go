// Package berylreducer decides everything that an entry node does: events go in, effects come out.
//
// A Reducer uses no clock, I/O or goroutine, and its output does not depend on map iteration order. Each area of
// decisions has one file.
package berylreducer
