// Package berylsoak runs real daemons as separate processes on loopback and injects faults from outside them.
//
// Connections are delayed, reset, cut one way or silenced by a proxy; processes are killed, paused, stopped and restarted by
// signals; workers crash. Faults come in series and overlap, from a seed. Clients and the stand-in's workers keep the record
// against which the promises are checked.
package berylsoak
