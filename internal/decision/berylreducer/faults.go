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
}
