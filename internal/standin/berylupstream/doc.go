// Package berylupstream is a stand-in for a worker: it runs executions and tasks for a given time, records what truly
// started, and shows faults that are switched on over HTTP.
package berylupstream
