// Package berylworker sends executions and tasks to workers over HTTP. The error of a failed call says whether the work
// may have run.
//
// No request with an effect is sent twice. The HTTP transport repeats a request by itself only if its body is nil or http.NoBody, if it
// has a GetBody function, or if the length of its body is known to be zero. None of this is true of a request with an
// effect: it has no GetBody function, and its body has a private type that cannot be rewound and a length that is unknown
// or positive. So the transport doesn't send it again, even if it has an Idempotency-Key header or if the worker has closed
// the idle connection on which it was sent.
package berylworker
