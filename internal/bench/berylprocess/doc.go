// Package berylprocess starts and ends the processes of a fleet on loopback, for the demo and for process-level tests.
package berylprocess
