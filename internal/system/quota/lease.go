package quota

import "time"

// tenantState is a limiter's record of one tenant: the share that it holds, and the demand for it.
//
// Invariant: the bucket is empty whenever the share is zero.
type tenantState struct {
	tenant    string
	limit     Limit
	share     Share
	expiresAt time.Duration
	bucket    bucket
	demand    demandEstimate

	waiting            int           // requests that are waiting
	waitingAtCall      int           // requests that were waiting when the newest call that named the tenant was sent
	overLimit          bool          // the allocator had too few tokens when it was last asked
	nextTokenRequestAt time.Duration // no tokens are requested before this time
	reportedAt         time.Duration // when the newest call that named the tenant was sent
	reportedRate       float64       // demand reported in that call, requests a second
	unconfirmed        bool          // the share shrank, and this has not been reported to the allocator yet
	inCall             bool          // the call in flight names the tenant
	wanted             bool          // a call that names the tenant is scheduled for wantedAt
	wantedAt           time.Duration
}

// advance brings the bucket up to date: it drops the share if the lease has expired, adapts the bucket to
// the limit, and fills it. The time since the last fill counts at the lower of the old and the new limit.
func (t *tenantState) advance(limiter *Limiter, limit Limit) {
	if limiter.now >= t.expiresAt {
		t.share, t.bucket = Share{}, bucket{}
	}
	if limit == t.limit {
		t.bucket.fill(limiter.now)
		return
	}
	if limit.RatePerSecond < t.limit.RatePerSecond {
		t.bucket.rate *= limit.RatePerSecond / t.limit.RatePerSecond
	}
	t.bucket.fill(limiter.now)
	level := t.bucket.level
	t.limit = limit
	t.resizeBucket(limiter)
	if limiter.options.Knobs.IgnoreLimitChange {
		t.bucket.level = max(t.bucket.level, level)
	}
}

// renew replaces the held share by a granted one. Where no share was held before, the bucket starts empty.
func (t *tenantState) renew(limiter *Limiter, granted Share, expiresAt time.Duration) {
	t.advance(limiter, t.limit)
	if limiter.now >= expiresAt {
		granted = Share{}
	}
	if t.share.IsZero() {
		t.bucket = bucket{filledAt: limiter.now}
	}
	if t.share.exceeds(granted) {
		t.unconfirmed = true
	}
	t.share, t.expiresAt = granted, expiresAt
	formerDepth := t.bucket.depth
	t.resizeBucket(limiter)
	if limiter.options.Knobs.FillOnGrowth {
		t.bucket.level += max(0, t.bucket.depth-formerDepth)
	}
}

func (t *tenantState) resizeBucket(l *Limiter) {
	depth := t.share.Fraction*l.options.Bounds.Depth(t.limit) + float64(t.share.Extra)
	t.bucket.resize(l.now, t.share.Fraction*t.limit.RatePerSecond, depth)
}

// retryAfter returns how long the client of a denied request should wait before it retries.
func (t *tenantState) retryAfter(now time.Duration) time.Duration {
	return max(t.nextTokenRequestAt-now, t.bucket.untilToken())
}

// demandReport returns the entry for the tenant in a call.
func (t *tenantState) demandReport(l *Limiter) Demand {
	t.advance(l, t.limit)
	demand := Demand{Tenant: t.tenant, Held: t.share, Waiting: t.waiting}
	if !t.demand.hasStopped(l.now) {
		demand.RatePerSecond = t.demand.perSecond(l.now)
	}
	return demand
}
