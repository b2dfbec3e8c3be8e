// Package beryljobs runs an entry node that takes jobs and, while it holds the duty, schedules them.
//
// All nodes are equal. One at a time holds the duty row and schedules; the others send callers' jobs to it, and take over
// when it falls silent. The package does the input and output for the decisions of berylscheduler.
package beryljobs
