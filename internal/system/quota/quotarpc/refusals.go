package quotarpc

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/system/quota"
)

// maxRefusedTenants is the maximum number of tenants whose refusals are recorded.
const maxRefusedTenants = 20_000

// Refusal describes the requests of a tenant that a client has refused since it started.
type Refusal struct {
	Tenant      string
	Limiter     string // node of the limiter that is currently asked first
	OverLimit   int64  // requests that exceeded the limit
	Unavailable int64  // requests on which no limiter decided in time
	Last        quota.Verdict
	SinceLast   time.Duration
}

// tenantRefusals are the refusals of one tenant.
type tenantRefusals struct {
	overLimit, unavailable int64
	last                   quota.Verdict
	lastAt                 time.Time
}

// refusalLog records the refusals of each tenant for operators. The zero value is ready to use. It is safe for concurrent use.
type refusalLog struct {
	mu       sync.Mutex
	byTenant map[string]*tenantRefusals
}

// record counts a refused request.
func (l *refusalLog) record(now time.Time, tenant string, verdict quota.Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	refused := l.byTenant[tenant]
	if refused == nil {
		if len(l.byTenant) >= maxRefusedTenants {
			return
		}
		if l.byTenant == nil {
			l.byTenant = map[string]*tenantRefusals{}
		}
		refused = &tenantRefusals{}
		l.byTenant[tenant] = refused
	}
	refused.last, refused.lastAt = verdict, now
	if verdict == quota.OverLimit {
		refused.overLimit++
		return
	}
	refused.unavailable++
}

// list returns the refusals, sorted by tenant name.
func (l *refusalLog) list(now time.Time) []Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	refusals := make([]Refusal, 0, len(l.byTenant))
	for tenant, refused := range l.byTenant {
		refusals = append(refusals, Refusal{Tenant: tenant, OverLimit: refused.overLimit, Unavailable: refused.unavailable,
			Last: refused.last, SinceLast: now.Sub(refused.lastAt)})
	}
	slices.SortFunc(refusals, func(a, b Refusal) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return refusals
}

// Refusals returns the refusals since the client started, sorted by tenant name.
func (c *Client) Refusals() []Refusal {
	now := time.Now()
	refusals := c.refusals.list(now)
	for i := range refusals {
		refusals[i].Limiter = c.candidates.inOrder(now, refusals[i].Tenant)[0].Node
	}
	return refusals
}

// Held returns the share of a tenant's limit that this limiter currently holds.
func (s *LimiterServer) Held(tenant string) quota.Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.Held(s.now(), tenant)
}

// Usage returns what this node has leased, sorted by tenant name, and whether it is still
// learning what is outstanding. While the node is not the allocator, it returns nil and false.
func (s *AllocationServer) Usage() (usages []quota.TenantUsage, learning bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if !s.hasAuthority(now) {
		return nil, false
	}
	return s.allocator.Describe(now), s.allocator.Learning(now)
}
