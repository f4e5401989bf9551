package quota

// TestingKnobs disable individual protections, so that tests can show what each one prevents.
type TestingKnobs struct {
	// LateExpiry makes a limiter count a lease from the arrival of the reply instead of the sending of the call.
	LateExpiry bool
	// EarlyExpiry makes an allocator free a lease half a TTL early.
	EarlyExpiry bool
	// NoGrace makes an allocator grant shares from the start of its term.
	NoGrace bool
	// NoHandover makes an allocator renew leases while a former allocator may still have authority.
	NoHandover bool
	// AcceptOldReplies makes a limiter accept replies to calls other than its newest.
	AcceptOldReplies bool
	// AcceptOldRequests makes an allocator accept requests that arrive after newer ones.
	AcceptOldRequests bool
	// FillOnGrowth makes a share that grows add as many tokens as the depth of its bucket increases by.
	FillOnGrowth bool
	// IgnoreIncarnation makes an allocator treat all incarnations of a node as one limiter.
	IgnoreIncarnation bool
	// TrustShrink makes an allocator count a share as shrunk before the limiter has confirmed it.
	TrustShrink bool
	// IgnoreOthers makes an allocator grant each limiter its target regardless of what the others hold.
	IgnoreOthers bool
	// KeepTokens makes a limiter use one-shot tokens no matter how late they arrive.
	KeepTokens bool
	// IgnoreLimitChange makes a limiter keep the tokens that a bucket gained under a higher limit.
	IgnoreLimitChange bool
	// ForgetAwaited makes an allocator that resumes its role not wait for the limiters that may hold leases of its previous process.
	ForgetAwaited bool
	// AcceptLateReplies makes a limiter accept the reply to its newest call no matter how late it arrives.
	AcceptLateReplies bool
}
