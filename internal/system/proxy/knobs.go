package proxy

// TestingKnobs are the protections that a test has taken out, to show that something breaks without each. It is zero in service.
type TestingKnobs struct {
	SkipAttemptIDCheck    bool // an answer bears the id of its request
	SkipSealCheck         bool // a success bears the server's seal
	SkipIdleInspection    bool // a connection is looked at before it is used again
	RetryPartlyWritten    bool // a request of which some bytes were written may have run
	PassInterimResponses  bool // an answer with a status of 1xx is not the last one
	RetryNonIdempotent    bool // a request that may run once is not sent on once it may have run
	PassUnfoundedPromises bool // only a server's word that it did not run a request becomes a promise to the client
	AcceptUnframed        bool // an answer without a length is not whole
	ResumeAnyStream       bool // only a resumable stream goes on at another server
	KeepTruncatedConns    bool // an answer that broke off ends with its connection
}
