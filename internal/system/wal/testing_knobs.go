package wal

// TestingKnobs disables protections, for the tests that show that each is needed.
type TestingKnobs struct {
	SkipRecordChecksums         bool // records are accepted without verifying their checksums
	ReuseSegmentAfterFailedSync bool // after a failed sync the same file is written to again
	TrustNewestSegment          bool // Load syncs the newest segment instead of rewriting its last record
	SkipOwnershipCheck          bool // another process that has opened the log is not detected
	SkipQuarantineMarkerSync    bool // files are renamed before the quarantine's marker is durable
}
