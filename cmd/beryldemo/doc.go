// Command beryldemo runs the fleets of the example users on loopback, injects faults and compares the replies to callers
// with the workers' records.
package main
