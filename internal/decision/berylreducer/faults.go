package berylreducer

// faults disables single safety mechanisms. A test sets one to prove that its check fails without the mechanism.
type faults struct {
	// ignoreExpiryWait takes over the units of every peer whose row was not renewed, without waiting until its tenure is
	// certain to have expired.
	ignoreExpiryWait bool
	// trustRead treats a read after a lost answer as the outcome of the write, although the write may still arrive.
	trustRead bool
	// ignoreGrants determines whether a peer's tenure has expired without regard to the grants that this node gave it.
	ignoreGrants bool
	// ignoreHead extends the tenure before the node has adopted the configuration version that the renewal read.
	ignoreHead bool
	// adoptLower adopts configuration documents of a lower version.
	adoptLower bool
	// ignoreLeaving sends work to workers that are leaving.
	ignoreLeaving bool
	// ignoreClaims runs requests with an idempotency key without a claim.
	ignoreClaims bool
	// trustClaimWrite treats the write of a claim as done when its answer was lost.
	trustClaimWrite bool
	// retakeUnknown runs the repeat of a request that may have run, even if it is not idempotent.
	retakeUnknown bool
	// retryUnknown retries a request after an attempt that may have run, even if it is not idempotent.
	retryUnknown bool
	// denyRun reports every refused request as not run, even one that may have run.
	denyRun bool
	// ignoreGrace refuses new requests as soon as a stop is requested.
	ignoreGrace bool
	// leaveBusy ends a stopping node that still has requests.
	leaveBusy bool
	// rebootBusy reboots a draining worker that still has executions.
	rebootBusy bool
	// ignoreSettle treats a worker as idle while other nodes may still send work to it.
	ignoreSettle bool
}
