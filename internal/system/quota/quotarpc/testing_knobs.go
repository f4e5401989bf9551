package quotarpc

// TestingKnobs take protections out, one each, so that a test can show what the protection is for. All are false outside tests.
type TestingKnobs struct {
	// SkipCurrent has an allocation server answer whether or not a majority has confirmed its epoch lately.
	SkipCurrent bool
	// KeepTerm has an allocation server go on with what it knows after an epoch in which another node may have been the owner.
	KeepTerm bool
	// AnyCandidate has a client ask the limiters of its zone in the order of their names, whichever the tenant is.
	AnyCandidate bool
	// AdmitEntireBatch has a client admit all requests of a call that admitted one of them.
	AdmitEntireBatch bool
	// AcceptAnyReply has callers take a reply for the call whose place it has on the connection.
	AcceptAnyReply bool
	// TakeAtLastStep has a limiter decide as of the last look at its leases, in place of now.
	TakeAtLastStep bool
	// UseLateAdmissions has a client use admissions however late they come.
	UseLateAdmissions bool
}
