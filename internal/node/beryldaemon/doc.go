// Package beryldaemon runs the event loop of an entry node: it feeds events to the reducer, which takes all decisions,
// and carries out the effects that the reducer returns.
package beryldaemon
