package failuredetector

// TestingKnobs take protections out, so that tests can show what each is for.
type TestingKnobs struct {
	// AcceptStaleReplies accepts replies however long after their ping they arrive.
	AcceptStaleReplies bool
}
