package quota

import "time"

// lease is a limiter's record of one tenant: the share that it holds, and the demand for it.
//
// Invariant: the bucket is empty whenever the share is zero.
type lease struct {
	tenant    string
	limit     Limit
	share     Share
	expiresAt time.Duration
	bucket    bucket
	demand    demandEstimate

	waiting      int           // requests that are waiting
	asked        int           // requests that were waiting when the newest call that named the tenant was sent
	overLimit    bool          // the allocator had too few tokens when it was last asked
	askAgainAt   time.Duration // no tokens are requested before this time
	reportedAt   time.Duration // when the newest call that named the tenant was sent
	reportedRate float64       // demand reported in that call, requests a second
	unconfirmed  bool          // the share shrank, and this has not been reported to the allocator yet
	inCall       bool          // the call in flight names the tenant
	wanted       bool          // a call that names the tenant is scheduled for wantedAt
	wantedAt     time.Duration
}

// advance brings the bucket up to date: it drops the share if the lease has expired, adapts the bucket to
// the limit, and fills it. The time since the last fill counts at the lower of the old and the new limit.
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

// renew replaces the held share by a granted one. Where no share was held before, the bucket starts empty.
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

// retryAfter returns how long the client of a denied request should wait before it retries.
func (h *lease) retryAfter(now time.Duration) time.Duration {
	return max(h.askAgainAt-now, h.bucket.untilToken())
}

// demandLine returns the entry for the tenant in a call.
func (h *lease) demandLine(l *Limiter) Demand {
	h.advance(l, h.limit)
	demand := Demand{Tenant: h.tenant, Held: h.share, Waiting: h.waiting}
	if !h.demand.gone(l.now) {
		demand.RatePerSecond = h.demand.perSecond(l.now)
	}
	return demand
}
