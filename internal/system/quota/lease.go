package quota

import "time"

// lease is what a limiter knows of one tenant: the share that it holds, and what is asked of it.
//
// Invariant: the bucket is empty whenever the share is zero.
type lease struct {
	tenant    string
	limit     Limit
	share     Share
	expiresAt time.Duration
	bucket    bucket
	demand    demandEstimate

	waiting      int           // requests that wait
	asked        int           // requests that waited at the newest call that named the tenant
	overLimit    bool          // the allocator had no token when it was last asked
	askAgainAt   time.Duration // no tokens are asked for before
	reportedAt   time.Duration // newest call that named the tenant
	reportedRate float64       // in that call, requests a second
	unconfirmed  bool          // the share shrank, and the allocator has not been told yet that it did
	inCall       bool          // the call under way names the tenant
	wanted       bool          // a call is wanted at wantedAt
	wantedAt     time.Duration
}

// advance brings the bucket up to date: it ends a lease whose time has come, adapts to the limit, and fills. Time that has passed
// counts at the lower of the two limits.
func (h *lease) advance(limiter *Limiter, limit Limit) {
	if limiter.now >= h.expiresAt {
		h.share, h.bucket = Share{}, bucket{}
	}
	if limit == h.limit {
		h.bucket.fill(limiter.now)
		return
	}
	if limit.RatePerSecond < h.limit.RatePerSecond {
		h.bucket.rate *= limit.RatePerSecond / h.limit.RatePerSecond
	}
	h.bucket.fill(limiter.now)
	level := h.bucket.level
	h.limit = limit
	h.resizeBucket(limiter)
	if limiter.options.Knobs.IgnoreLimitChange {
		h.bucket.level = max(h.bucket.level, level)
	}
}

// renew puts a granted share in place of what is held. What was not held before starts with an empty bucket.
func (h *lease) renew(limiter *Limiter, granted Share, expiresAt time.Duration) {
	h.advance(limiter, h.limit)
	if limiter.now >= expiresAt {
		granted = Share{}
	}
	if h.share.IsZero() {
		h.bucket = bucket{filledAt: limiter.now}
	}
	if h.share.exceeds(granted) {
		h.unconfirmed = true
	}
	h.share, h.expiresAt = granted, expiresAt
	former := h.bucket.depth
	h.resizeBucket(limiter)
	if limiter.options.Knobs.FillOnGrowth {
		h.bucket.level += max(0, h.bucket.depth-former)
	}
}

func (h *lease) resizeBucket(l *Limiter) {
	depth := h.share.Fraction*l.options.Bounds.Depth(h.limit) + float64(h.share.Extra)
	h.bucket.resize(l.now, h.share.Fraction*h.limit.RatePerSecond, depth)
}

// retryAfter returns when a denied request may be worth another attempt.
func (h *lease) retryAfter(now time.Duration) time.Duration {
	return max(h.askAgainAt-now, h.bucket.untilToken())
}

// demandLine is what a call tells of the tenant.
func (h *lease) demandLine(l *Limiter) Demand {
	h.advance(l, h.limit)
	demand := Demand{Tenant: h.tenant, Held: h.share, Waiting: h.waiting}
	if !h.demand.gone(l.now) {
		demand.RatePerSecond = h.demand.perSecond(l.now)
	}
	return demand
}
