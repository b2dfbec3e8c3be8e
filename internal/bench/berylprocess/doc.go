// Package berylprocess starts and stops the processes of a fleet on loopback, and compares what callers received with what
// workers recorded, for the demo, load measurements and tests with real processes.
package berylprocess
