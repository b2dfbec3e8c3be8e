// Package berylprocess starts and stops the processes of a fleet on loopback, and compares the replies to callers with
// the workers' records, for the demo, load measurements and tests with real processes.
package berylprocess
