// Package berylworker sends executions and tasks to workers over HTTP. The error of a failed call says whether the work
// may have run.
//
// No request is sent twice. The HTTP transport repeats a request by itself only if its body is nil or http.NoBody, if it
// has a GetBody function, or if its length is known to be zero. None of this is true of a request with an effect: its
// body has a private type that cannot be rewound, no GetBody function, and a length that is unknown or positive. So
// neither an Idempotency-Key header nor a connection that the worker closed while it was idle makes the transport send
// the request again.
package berylworker
