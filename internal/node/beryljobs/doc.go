// Package beryljobs runs an entry node that accepts jobs and, while it is the scheduling node, schedules them.
//
// All nodes are equal. One at a time owns the row in the duty table and schedules; the others forward callers' jobs to
// it, and one of them takes over when it stops. The package does the input and output for the decisions of
// berylscheduler.
package beryljobs
