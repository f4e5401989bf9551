// Package quota holds the requests of each tenant, over the whole fleet, within its limit. It is pure: no I/O, no clock, no goroutine.
//
// # Problem
//
// A tenant may send rate requests a second and burst beside them, counted over all proxies of all regions together. Proxies do not see each
// other's requests; to ask one place for each request would cost a way between regions, and would end service while that place is not
// reached. Nothing may be exceeded while processes freeze, die and restart, messages are lost, late, repeated and reordered, and some
// processes do not see each other; what lies within the limit should not be refused.
//
// # Terms
//
// The over-admission bound is the promise: in any window of W seconds at most (rate·W + burst)·(1 + Excess) + Slack requests of a tenant are
// admitted (Bounds). A limiter is a process that admits requests, an allocator the one process that leases shares of limits to limiters. A
// Share is a fraction of the limit and some extra tokens; its holder has a token bucket that fills at that fraction of the rate and is as deep
// as that fraction of Depth and the extra tokens. A lease is a share until a time. The allocator has a bucket of its own with all that is not
// leased, and gives one-shot tokens from it to requests that wait at a limiter.
//
// # Leases
//
// A limiter has one call under way at a time and numbers its calls. It counts a lease from the sending of the call whose reply brought it;
// the allocator counts it from its receipt of that call, and by expiryMargin longer. So a lease ends at its holder first, unless clocks
// differ in speed by more than 1 in 100.
//
// A limiter takes in only the reply to its newest call. Hence, when the allocator receives a call that says "held: s", no older reply can
// raise that limiter's share above s any more. What counts as outstanding there is from then on the larger of s and what the allocator now
// grants: a share that shrinks counts as shrunk only when the next call says so. Requests that come after newer ones of the same limiter are
// rejected. An incarnation of a process is a limiter of its own: what a former one held stays outstanding until it ends.
//
// # Change of the allocator
//
// An allocator that begins a term knows nothing. The one before it keeps its authority for less than HandoverTime. Until then the new one
// renews nothing: the former one may have seen a lease end that is renewed here, and lease it anew. Afterwards, until graceEnd, it renews
// what limiters report or lowers it, and leases nothing new. At graceEnd each lease of a former allocator has either been reported or ended.
// A call that still names a lease which the former one saw end was sent before its authority ended, so that an answer after HandoverTime is
// older than maxReplyAge, and is not taken in.
//
// An allocator that resumes was the former one itself. It knows all once each node at which leases may be outstanding has made a complete
// call, and lets nothing grow before.
//
// No allocator ever leases more than leasableFraction and leasableExtra; what remains belongs to whoever has authority, so that one-shot tokens
// from it are given during the grace period too.
//
// An allocator reads the time after a call came and before it checks its authority. Then a freeze after that check does no harm: the leases
// of the reply end TTL after the call was sent, which was before that time.
//
// # Proof of the bound
//
// Invariant: at each moment the fractions of all shares in force at limiters and that of the bucket of the allocator that has authority sum
// to at most 1, and their extra tokens to at most ExtraTokens. It follows from the rules above, as what the allocator counts as outstanding
// is at each limiter at least what that limiter holds.
//
// Buckets gain tokens by time alone: a bucket is empty when a lease begins, does not gain when its share grows, is cut when the share
// shrinks, and is emptied when the lease ends. One-shot tokens are used at most TokenTTL after the sending of the call, so after the
// allocator took them from its bucket.
//
// So what is admitted in a window that begins at t was, at t - TokenTTL, in some bucket, or filled one since. By the invariant the buckets
// then held at most Depth + ExtraTokens, and what filled since is at most rate·(W + TokenTTL). A bucket of a former allocator, and that of its
// successor, which begins empty after the former's authority has ended, count in the same way. The sum
//
//	rate·W + rate·TokenTTL + Depth + ExtraTokens
//
// is within the bound by the choice of Depth, which is at most budgetShare of what the rest leaves, and of TokenTTL, for which the
// excess always suffices. The part of the budget that is left covers clocks that run fast by d as long as
// d·rate·(W + TokenTTL) is at most (1 - budgetShare) of (0.4·Excess·rate·W + burst + Slack): for W = 5 s, Excess = 0.1 and d = 0.001 at any rate.
//
// A limit that is lowered takes effect at each process with its configuration: a bucket is cut to the lower depth at its next use, and the time
// since its last use counts at the lower rate. The lower bound holds from one window after all processes have the configuration.
//
// # Shares
//
// The allocator divides by demand, as limiters report it: see decideShare. A limiter without demand gives its share back, so that a tenant
// that is hot at one limiter alone gets nearly the whole there.
package quota
