package operatorapi

// TestingKnobs take protections out, so that tests can show which fault each of them excludes.
type TestingKnobs struct {
	// FenceByConfirmedState fences evacuations by the state of the linearizable read in place of the one known on arrival.
	FenceByConfirmedState bool
	// SubmitForGoneCallers submits evacuations although their callers have hung up or timed out.
	SubmitForGoneCallers bool
	// AcceptAfterStalls accepts evacuations that may have waited in a socket during a stall of the process.
	AcceptAfterStalls bool
	// SkipConnectionEndWait does not wait for the end of a connection on which an evacuation may have been delayed.
	SkipConnectionEndWait bool
}
