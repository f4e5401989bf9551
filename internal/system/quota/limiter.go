package quota

import (
	"cmp"
	"time"
)

const (
	defaultMaxTenants = 20_000
	defaultMaxWaiting = 1_024
)

// LimiterOptions configure a Limiter.
type LimiterOptions struct {
	ID         LimiterID
	Bounds     Bounds
	MaxTenants int // maximum tracked at a time; 0 means 20,000
	MaxWaiting int // maximum of requests that wait at a time, a quarter of it for one tenant; 0 means 1,024
	Knobs      TestingKnobs
}

// Limiter admits requests within the leases that it holds, and requests those leases from an allocator. It does no I/O: the
// driver sends what NextRequest returns and reports the outcome with Receive or Fail. It is not safe for concurrent use.
type Limiter struct {
	options LimiterOptions
	now     time.Duration // never decreases
	hasLeft bool
	tenants map[string]*tenantState
	waiters waitQueue
	calls   callSchedule
}

// Decision is the outcome of Take: Granted, Denied, Unavailable and Waiting sum to the requested count.
type Decision struct {
	Granted     int           // requests that are admitted
	Denied      int           // requests beyond the limit
	Unavailable int           // requests that can be neither decided on nor queued
	Waiting     int           // requests that wait for the Resolution of Ticket
	Ticket      Ticket        // 0 if none wait
	RetryAfter  time.Duration // for the denied requests
	NeedsLease  bool          // NextCall may now return an earlier time than before
}

// NewLimiter returns a limiter that holds no leases.
func NewLimiter(options LimiterOptions) *Limiter {
	options.MaxTenants = cmp.Or(options.MaxTenants, defaultMaxTenants)
	options.MaxWaiting = cmp.Or(options.MaxWaiting, defaultMaxWaiting)
	return &Limiter{options: options, tenants: map[string]*tenantState{}}
}

// Take requests count tokens for a tenant with the given limit. An unlimited tenant always gets them.
func (l *Limiter) Take(now time.Duration, tenant string, limit Limit, count int) Decision {
	l.advance(now)
	count = max(0, count)
	if limit.Unlimited() {
		return Decision{Granted: count}
	}
	state := l.tenantState(tenant)
	if state == nil {
		return Decision{Unavailable: count}
	}
	state.demand.observe(l.now, count)
	state.advance(l, limit)
	decision := Decision{Granted: state.bucket.take(count)}
	l.decideRemaining(state, count-decision.Granted, &decision)
	return decision
}

// decideRemaining decides on the requests for which the bucket has no token.
func (l *Limiter) decideRemaining(state *tenantState, missing int, decision *Decision) {
	switch {
	case missing == 0:
	case state.overLimit && l.now < state.nextTokenRequestAt:
		decision.Denied = missing
		decision.RetryAfter = state.retryAfter(l.now)
	default:
		decision.Waiting = min(missing, l.waitCapacity(state))
		decision.Ticket = l.enqueue(state, decision.Waiting)
		wanted := l.calls.scheduleCall(state, max(l.now, state.nextTokenRequestAt))
		decision.NeedsLease = wanted || len(l.waiters.waiters) == 1
		l.rejectOverflow(state, missing-decision.Waiting, decision)
	}
}

// rejectOverflow decides on the requests that do not fit into the wait queue.
func (l *Limiter) rejectOverflow(state *tenantState, overflow int, decision *Decision) {
	if state.share.IsZero() {
		decision.Unavailable = overflow
		return
	}
	decision.Denied = overflow
	if overflow > 0 {
		decision.RetryAfter = state.retryAfter(l.now)
	}
}

// tenantState returns the record of a tenant, creating it if needed. It returns nil after Leave, and if no further tenant can be tracked.
func (l *Limiter) tenantState(tenant string) *tenantState {
	if l.hasLeft {
		return nil
	}
	state := l.tenants[tenant]
	if state == nil {
		if len(l.tenants) >= l.options.MaxTenants {
			return nil
		}
		state = &tenantState{tenant: tenant}
		l.tenants[tenant] = state
	}
	return state
}

// Leave gives up all leases and returns the request that reports this to the allocator. All
// waiting requests are resolved as unavailable, and so are those of later calls of Take.
func (l *Limiter) Leave(now time.Duration) (LeaseRequest, []Resolution) {
	l.advance(now)
	l.hasLeft = true
	l.tenants = map[string]*tenantState{}
	resolutions := l.waiters.resolveUnavailable(l.waiters.all())
	l.calls = callSchedule{sequence: l.calls.sequence + 1}
	return LeaseRequest{Limiter: l.options.ID, Sequence: l.calls.sequence, Leaving: true}, resolutions
}

// Held returns the share of a tenant that the limiter holds.
func (l *Limiter) Held(now time.Duration, tenant string) Share {
	state := l.tenants[tenant]
	if state == nil || max(now, l.now) >= state.expiresAt {
		return Share{}
	}
	return state.share
}

func (l *Limiter) advance(now time.Duration) { l.now = max(l.now, now) }
