// Package berylsoak runs real daemons as separate processes on loopback and injects faults from outside them.
//
// A proxy delays or resets connections, drops the data of one direction, or drops all data. Signals kill, pause, stop
// and restart processes; workers crash, restart, and carry out orders late. The faults overlap and follow from a seed. Clients and the workers of the
// stand-in record what happened, and the record is checked against the platform's rules.
package berylsoak
