package berylreducer

// faults switches off single safety mechanisms, so that a test can show that its check needs them.
type faults struct {
	// ignoreLapseWait takes units over from every peer whose row stands still.
	ignoreLapseWait bool
	// trustRead takes a read after a lost answer for the outcome of the write.
	trustRead bool
	// ignoreGrants judges a peer's tenure without regard to the grants that this node gave it.
	ignoreGrants bool
	// ignoreHead extends the tenure without the configuration version that the renewal read.
	ignoreHead bool
	// adoptLower adopts documents of a lower version.
	adoptLower bool
	// ignoreLeaving sends work to workers that leave.
	ignoreLeaving bool
	// ignoreClaims runs keyed requests without a claim.
	ignoreClaims bool
	// trustClaimWrite takes the write of a claim whose answer was lost for done.
	trustClaimWrite bool
	// retakeUnknown runs a repeat of a request that may have run.
	retakeUnknown bool
	// retryUnknown sends a request again after an attempt that may have run.
	retryUnknown bool
	// denyRun refuses every request as not run.
	denyRun bool
	// ignoreGrace refuses new requests as soon as a stop is requested.
	ignoreGrace bool
	// leaveBusy ends a stopping node without regard to its requests.
	leaveBusy bool
	// rebootBusy reboots a draining worker without regard to what it runs.
	rebootBusy bool
	// ignoreSettle takes a worker for idle that others may still send work to.
	ignoreSettle bool
}
