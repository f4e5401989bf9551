package quota

// TestingKnobs take protections out, so that tests can show what each is for.
type TestingKnobs struct {
	// LateExpiry has a limiter count a lease from the arrival of the reply instead of the sending of the call.
	LateExpiry bool
	// EarlyExpiry has an allocator free a lease half a TTL early.
	EarlyExpiry bool
	// NoGrace has an allocator grant from the start of its term.
	NoGrace bool
	// NoHandover has an allocator renew leases while a former allocator may still have authority.
	NoHandover bool
	// AcceptOldReplies has a limiter take in replies to other calls than its newest.
	AcceptOldReplies bool
	// AcceptOldRequests has an allocator take in requests that come after newer ones.
	AcceptOldRequests bool
	// FillOnGrowth has a share that grows bring the tokens by which its bucket is deeper.
	FillOnGrowth bool
	// IgnoreIncarnation has an allocator take all incarnations of a node for one limiter.
	IgnoreIncarnation bool
	// TrustShrink has an allocator count a share as shrunk before the limiter has confirmed it.
	TrustShrink bool
	// IgnoreOthers has an allocator grant each limiter its target whatever the others hold.
	IgnoreOthers bool
	// KeepTokens has a limiter use one-shot tokens however late they come.
	KeepTokens bool
	// IgnoreLimitChange has a limiter keep the tokens that a bucket got under a higher limit.
	IgnoreLimitChange bool
	// ForgetAwaited has an allocator that resumes its role not wait for the limiters that may hold leases of its former process.
	ForgetAwaited bool
	// TakeLateReplies has a limiter take in the reply to its newest call however late it comes.
	TakeLateReplies bool
}
