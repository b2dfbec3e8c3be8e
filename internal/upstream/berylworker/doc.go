// Package berylworker sends executions and tasks to workers over HTTP, and tells honestly what a failed call has done.
//
// No request is ever sent twice. The transport repeats a request by itself only if its body is nil or http.NoBody, if
// the request has a GetBody function, or if it has a known length of zero. Every request with an effect carries a body
// of a private type with no GetBody, an unknown or positive length and no way to rewind, so none of these holds, not
// even with an Idempotency-Key header or on a connection that the worker has closed while it was idle.
package berylworker
