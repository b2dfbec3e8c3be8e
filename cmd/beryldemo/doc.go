// Command beryldemo runs the fleets of the example users on loopback, injects faults and checks that what callers were
// told agrees with what the workers recorded.
package main
