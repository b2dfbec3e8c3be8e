// Package berylproof tests whole fleets of processes: one path, one kill, one freeze, one outage, one replacement.
package berylproof
