// Package quota keeps each tenant's requests within its limit across the whole fleet. It is pure: no I/O, no clock, no goroutines.
//
// # Problem
//
// A tenant may send rate requests a second plus burst further ones, counted over all proxies of all regions. Proxies do not see each
// other's requests. Asking one central process about every request would cost a cross-region round trip each time, and would end service
// whenever that process is unreachable. The limit must not be exceeded while processes freeze, crash and restart, messages are lost,
// delayed, duplicated and reordered, and some processes are partitioned from each other. Requests within the limit should not be rejected.
//
// # Terms
//
// The over-admission bound is the guarantee: in any window of W seconds, at most (rate·W + burst)·(1 + Excess) + Slack requests of a
// tenant are admitted (see Bounds). A limiter is a process that admits requests. The allocator is the one process that leases shares of
// limits to limiters. A Share is a fraction of the limit plus some extra tokens. Its holder has a token bucket that fills at that fraction
// of the rate and whose depth is that fraction of Depth plus the extra tokens. A lease is a share with an expiry time. The allocator has a
// token bucket of its own for everything that is not leased, and gives one-shot tokens from it to requests that wait at a limiter.
//
// # Leases
//
// A limiter has one call in flight at a time and numbers its calls. It counts the TTL of a lease from the time it
// sent the call whose reply granted the lease. The allocator counts it from the time it received that call, and
// adds expiryMargin. So a lease expires at its holder first, unless clock speeds differ by more than 1 in 100.
//
// A limiter accepts only the reply to its newest call. Hence, once the allocator has received a call that reports
// "held: s", no older reply can raise that limiter's share above s. From then on the allocator counts as outstanding
// at that limiter the larger of s and what it now grants: a share that shrinks counts as shrunk only when the next
// call reports it. Requests that arrive after newer ones of the same limiter are rejected. Each incarnation of a
// process is a separate limiter: what an earlier incarnation held stays outstanding until it expires.
//
// # Failover of the allocator
//
// An allocator that begins a term knows of no leases. Its predecessor keeps its authority for less than HandoverTime. Until
// HandoverTime has passed, the new allocator renews nothing: the predecessor may have seen a lease expire that the new
// allocator would renew, and may have leased that share again. Afterwards, until graceEnd, the new allocator renews or lowers
// what limiters report, and leases nothing new. At graceEnd, each lease of a former allocator has either been reported or has
// expired. A call that still names a lease which the predecessor saw expire was sent before the predecessor's authority ended.
// If that call is answered after HandoverTime, it is older than maxReplyAge, and the limiter does not accept the reply.
//
// An allocator that resumes (see Resume) was itself the predecessor. It knows everything that is outstanding once
// each node at which leases may be outstanding has made a complete call, and lets no share grow before that.
//
// No allocator ever leases more than leasableFraction and leasableExtra. The remainder belongs to whichever
// allocator has authority, so that one-shot tokens can be given from it during the grace period too.
//
// An allocator reads the clock after a call has arrived and before it checks its authority. A freeze after that check is then
// harmless: the leases of the reply expire TTL after the call was sent, which was before the time that the allocator read.
//
// # Proof of the bound
//
// Invariant: at each moment, the fractions of all shares in force at limiters plus that of the bucket of the
// allocator that has authority sum to at most 1, and their extra tokens sum to at most ExtraTokens. This follows from
// the rules above, because for each limiter the allocator counts as outstanding at least what that limiter holds.
//
// Buckets gain tokens only through the passage of time: a bucket is empty when a lease begins, does not gain when its
// share grows, is cut when the share shrinks, and is emptied when the lease expires. One-shot tokens are used at most
// TokenTTL after the call was sent, and therefore at most TokenTTL after the allocator took them from its bucket.
//
// So each token used in a window that begins at t either was in some bucket at t - TokenTTL or was added to
// one since then. By the invariant, the buckets held at most Depth + ExtraTokens at that time, and at most
// rate·(W + TokenTTL) was added since. The bucket of a former allocator and that of its successor, which
// begins empty after the former allocator's authority has ended, are counted in the same way. The sum
//
//	rate·W + rate·TokenTTL + Depth + ExtraTokens
//
// is within the bound by the choice of Depth, which is at most budgetShare of what the other terms leave, and by the choice of TokenTTL,
// for which the excess always suffices. The unused part of the budget covers clocks that run fast by d as long as d·rate·(W + TokenTTL)
// is at most (1 - budgetShare) of (0.4·Excess·rate·W + burst + Slack). For W = 5 s, Excess = 0.1 and d = 0.001, this is true at any rate.
//
// A lowered limit takes effect at each process when it receives the configuration: a bucket is cut to the lower depth at its next use, and
// the time since its last use counts at the lower rate. The lower bound holds from one window after all processes have the configuration.
//
// # Shares
//
// The allocator divides a limit according to the demand that limiters report; see decideShare. A limiter without
// demand returns its share, so that a tenant whose load is on one limiter alone gets nearly the whole limit there.
package quota
