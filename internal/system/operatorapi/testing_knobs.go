package operatorapi

// TestingKnobs disable protections, so that tests can show which fault each of them prevents.
type TestingKnobs struct {
	// SubmitWithoutRedirect submits evacuations that carry no fence, with the state of a linearizable read as their fence.
	SubmitWithoutRedirect bool
	// FenceByConfirmedState fences evacuations by the state of a linearizable read when they are submitted, in place of the fence that
	// their callers have received.
	FenceByConfirmedState bool
}
