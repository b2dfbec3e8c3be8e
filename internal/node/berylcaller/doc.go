// Package berylcaller serves the HTTP API by which callers send requests: it passes each request to a worker that the
// reducer chooses, and the worker's answer back to the caller.
package berylcaller
