package proxy

// TestingKnobs are for tests only; the zero value is what serves. Each takes out one protection, so that a test can show that
// something breaks without it.
type TestingKnobs struct {
	// SkipAttemptIDCheck accepts responses that do not echo the X-Attempt-Id of their request.
	SkipAttemptIDCheck bool
	// SkipServerSealCheck accepts successes without an X-Server-Seal.
	SkipServerSealCheck bool
	// SkipIdleInspection uses idle connections again without looking for bytes or an end on them.
	SkipIdleInspection bool
	// RetryPartlyWritten treats a request of which only some bytes were written as one that has not run.
	RetryPartlyWritten bool
	// PassInterimResponses takes a response with a status of 1xx for the final one.
	PassInterimResponses bool
	// RetryNonIdempotent sends a non-idempotent request again although it may have run.
	RetryNonIdempotent bool
	// PassUnfoundedNotExecuted passes on not-executed statuses although the server did not confirm them by X-Not-Executed.
	PassUnfoundedNotExecuted bool
	// AcceptUnframed takes a response that ends with its connection for a complete one.
	AcceptUnframed bool
	// ResumeAnyStream resumes event streams of routes that are not resumable.
	ResumeAnyStream bool
	// KeepTruncatedConns leaves the client's connection open behind a truncated response.
	KeepTruncatedConns bool
	// ForwardIdentity passes clients' X-Credential and X-Tenant on to servers.
	ForwardIdentity bool
	// AcceptAnyTenantName sends names of tenants to servers that cannot be the value of a header.
	AcceptAnyTenantName bool
	// DenyWhileStale answers unknown keys with 401 although a newer configuration may hold them.
	DenyWhileStale bool
	// SkipKeyReverification makes attempts without looking whether the key still holds.
	SkipKeyReverification bool
	// TrustOldKeys relies on keys for as long as there is no contact to the control plane.
	TrustOldKeys bool
}
