// Package berylupstream is a stand-in for a worker: it runs executions and tasks for a given time, records every start of
// work, and has faults that tests switch on over HTTP.
package berylupstream
