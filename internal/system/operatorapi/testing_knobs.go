package operatorapi

// TestingKnobs disable protections, so that tests can show which fault each of them prevents.
type TestingKnobs struct {
	// FenceByConfirmedState fences evacuations by the state of the linearizable read instead of the one known on arrival.
	FenceByConfirmedState bool
	// SubmitForGoneCallers submits evacuations even if their callers have disconnected or timed out.
	SubmitForGoneCallers bool
	// AcceptAfterStalls accepts evacuations that may have waited in a socket during a stall of the process.
	AcceptAfterStalls bool
	// SkipConnectionEndWait skips the wait for the end of a connection on which an evacuation may have been delayed.
	SkipConnectionEndWait bool
}
