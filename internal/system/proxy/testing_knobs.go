package proxy

// TestingKnobs are for tests only; production uses the zero value. Each knob disables one protection, so that a test can show what
// fails without it.
type TestingKnobs struct {
	// SkipAttemptIDCheck accepts responses that do not echo the X-Attempt-Id of their request.
	SkipAttemptIDCheck bool
	// SkipServerSealCheck accepts successes without an X-Server-Seal.
	SkipServerSealCheck bool
	// SkipIdleInspection reuses idle connections without checking whether they have received bytes or were closed.
	SkipIdleInspection bool
	// RetryPartlyWritten treats a request of which only some bytes were written as one that has not run.
	RetryPartlyWritten bool
	// PassInterimResponses treats a response with a 1xx status as the final one.
	PassInterimResponses bool
	// RetryNonIdempotent sends a non-idempotent request again although it may have run.
	RetryNonIdempotent bool
	// PassUnconfirmedNotExecuted forwards not-executed statuses although the server did not confirm them by X-Not-Executed.
	PassUnconfirmedNotExecuted bool
	// AcceptUnframed treats a response that ends with its connection as complete.
	AcceptUnframed bool
	// ResumeAnyStream resumes event streams of routes that are not resumable.
	ResumeAnyStream bool
	// KeepTruncatedConns leaves the client's connection open after a truncated response.
	KeepTruncatedConns bool
	// ForwardIdentity forwards clients' X-Credential and X-Tenant to servers.
	ForwardIdentity bool
	// AcceptAnyTenantName sends tenant names to servers even if they are not valid header values.
	AcceptAnyTenantName bool
	// DenyWhileStale answers unknown keys with 401 although a newer configuration may contain them.
	DenyWhileStale bool
	// SkipKeyReverification makes attempts without checking whether the key is still valid.
	SkipKeyReverification bool
	// TrustOldKeys relies on keys without a time limit while there is no contact to the control plane.
	TrustOldKeys bool
}
