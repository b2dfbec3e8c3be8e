// Package berylscheduler decides where and when the tasks of jobs run on workers that hold them under leases.
//
// One node of a deployment schedules at a time. The Scheduler is its reducer: events go in, effects come out as data. It
// does no I/O and reads no clock, so that a session can be replayed. What must outlast the node is in rows that each
// transaction guards by the row of the node's epoch; workers refuse orders of an earlier epoch.
package berylscheduler
