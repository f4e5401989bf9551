package quota

import "time"

// AllocatorOptions configure an Allocator.
type AllocatorOptions struct {
	Bounds Bounds
	TTL    time.Duration // of leases; 0: 5 s
	Knobs  TestingKnobs
}

// Allocator leases shares of tenants' limits to limiters.
type Allocator struct{}

// NewAllocator returns an allocator that grants nothing before Begin.
func NewAllocator(options AllocatorOptions) *Allocator { return &Allocator{} }

// Begin starts a term of authority: the allocator forgets all and learns what is outstanding.
func (a *Allocator) Begin(now time.Duration) {}

// Receive answers a call. The driver reads now after the call has come and before it checks its authority.
func (a *Allocator) Receive(now time.Duration, request LeaseRequest, limits func(tenant string) (Limit, bool)) LeaseReply {
	return LeaseReply{}
}

// TenantUsage describes what is outstanding of a tenant's limit.
type TenantUsage struct {
	Tenant        string
	Leased        Share   // sum of Holders
	RatePerSecond float64 // demand of all holders
	Holders       []HolderUsage
}

// HolderUsage describes a limiter's part.
type HolderUsage struct {
	Limiter       LimiterID
	Share         Share         // outstanding
	RatePerSecond float64       // its demand
	Age           time.Duration // since its last call that named the tenant
}

// Usage describes one tenant.
func (a *Allocator) Usage(now time.Duration, tenant string) TenantUsage { return TenantUsage{} }

// Describe returns the usage of all tenants that have a lease or demand, by name.
func (a *Allocator) Describe(now time.Duration) []TenantUsage { return nil }

// Learning reports whether the allocator still learns what is outstanding.
func (a *Allocator) Learning(now time.Duration) bool { return true }

// LimiterOptions configure a Limiter.
type LimiterOptions struct {
	ID         LimiterID
	Bounds     Bounds
	MaxTenants int // tracked at once; 0: 20,000
	MaxWaiting int // requests that wait at once; 0: 1,024
	Knobs      TestingKnobs
}

// Limiter admits requests by the leases that it holds.
type Limiter struct{}

// Ticket names requests that wait for the allocator; 0: none.
type Ticket uint64

// Decision is the outcome of Take: Granted + Denied + Unavailable + Waiting = count.
type Decision struct {
	Granted     int // requests that may run
	Denied      int // requests beyond the limit
	Unavailable int // requests that could neither be decided nor wait
	Waiting     int // requests that wait, under Ticket, for a Resolution
	Ticket      Ticket
	RetryAfter  time.Duration // for those denied
	NeedsLease  bool          // a call may be due before the time that NextCall last returned
}

// Resolution is what became of waiting requests: the three counts sum to the Waiting of their Decision.
type Resolution struct {
	Ticket      Ticket
	Granted     int
	Denied      int
	Unavailable int
	RetryAfter  time.Duration
}

// NewLimiter returns a limiter that holds nothing.
func NewLimiter(options LimiterOptions) *Limiter { return &Limiter{} }

// Take asks for count tokens of a tenant whose limit is as given.
func (l *Limiter) Take(now time.Duration, tenant string, limit Limit, count int) Decision {
	return Decision{}
}

// NextCall returns when NextRequest will have a request or Expire a resolution, and false while neither will without another event.
func (l *Limiter) NextCall(now time.Duration) (at time.Duration, scheduled bool) { return 0, false }

// NextRequest returns the request that is due, if one is. It counts as sent at now.
func (l *Limiter) NextRequest(now time.Duration) (request LeaseRequest, due bool) {
	return LeaseRequest{}, false
}

// Receive takes in the reply to a request.
func (l *Limiter) Receive(now time.Duration, reply LeaseReply) []Resolution { return nil }

// Fail says that the call with the sequence got no reply.
func (l *Limiter) Fail(now time.Duration, sequence uint64) []Resolution { return nil }

// Expire resolves the requests that have waited for 400 ms as unavailable.
func (l *Limiter) Expire(now time.Duration) []Resolution { return nil }

// Leave gives up all leases and returns the request that tells the allocator. All waiting requests are resolved as unavailable.
func (l *Limiter) Leave(now time.Duration) (LeaseRequest, []Resolution) {
	return LeaseRequest{}, nil
}
