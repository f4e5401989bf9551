package failuredetector

// TestingKnobs disable protections, so that tests can show which failure each one prevents.
type TestingKnobs struct {
	// AcceptStaleReplies accepts replies regardless of how long after their ping they arrive.
	AcceptStaleReplies bool
}
