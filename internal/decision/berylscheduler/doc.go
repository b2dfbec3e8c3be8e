// Package berylscheduler decides when and on which workers the tasks of jobs run. A worker keeps a run going while it holds a
// lease for it, which the scheduler extends.
//
// At any time one node of a deployment, the scheduling node, runs a Scheduler. The Scheduler is a reducer: it takes events and
// returns effects as data. It does no I/O and reads no clock, so that a session can be replayed. State that must survive the
// node is stored in rows. Every transaction has a condition on the row that names the scheduling node, and workers and the
// platform reject orders of earlier epochs, so a node that has been replaced can change nothing.
package berylscheduler
