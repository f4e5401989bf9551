package quotarpc

// TestingKnobs each disable one protection, so that a test can show what the protection prevents. All are false outside tests.
type TestingKnobs struct {
	// SkipCurrent makes an allocation server answer even if no majority has recently confirmed its epoch.
	SkipCurrent bool
	// KeepTerm makes an allocation server continue its term after an epoch in which another node may have been the owner.
	KeepTerm bool
	// AnyCandidate makes a client ask the limiters of its zone in the order of their names, regardless of the tenant.
	AnyCandidate bool
	// AdmitEntireBatch makes a client admit all requests of a call if any one of them was admitted.
	AdmitEntireBatch bool
	// AcceptAnyReply makes callers accept whatever reply arrives on the connection without checking its call id.
	AcceptAnyReply bool
	// TakeAtLastStep makes a limiter decide as of the last time Run checked its leases instead of now.
	TakeAtLastStep bool
	// UseLateAdmissions makes a client use admissions no matter how late they arrive.
	UseLateAdmissions bool
}
