package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// DefaultTTL is how long a lease lasts, counted from the sending of the call that obtained it.
	DefaultTTL = 5 * time.Second
	// expiryMargin is by how much longer an allocator counts a lease than its holder does, so that clock speeds may differ by 1 in 100.
	expiryMargin = 100 * time.Millisecond
	// HandoverTime is for how long an allocator that begins a term grants nothing at all. It is longer than the 600 ms for which a former
	// allocator's authority lasts after the view that ends it, so that a short interruption of a term need not end the term: see
	// maxInterruption in package quotarpc.
	HandoverTime  = 2 * time.Second
	sweepInterval = time.Second
	// maxHolders is the maximum number of limiters that are tracked per tenant.
	maxHolders = 128
)

// AllocatorOptions configure an Allocator.
type AllocatorOptions struct {
	Bounds Bounds
	TTL    time.Duration // of leases; 0 means DefaultTTL
	Knobs  TestingKnobs
}

// Allocator leases shares of tenants' limits to limiters. At most one allocator may have authority at
// a time; a new one learns from the limiters what is outstanding. It is not safe for concurrent use.
type Allocator struct {
	bounds Bounds
	ttl    time.Duration
	knobs  TestingKnobs

	begun     bool
	now       time.Duration // never decreases
	beganAt   time.Duration
	sweptAt   time.Duration
	callers   map[LimiterID]*caller
	allocated map[string]*allocation

	resumed   bool            // this allocator was also the previous one, so no other one has authority
	awaited   map[string]bool // set by Resume: nodes whose limiters may hold leases and have not made a complete call yet
	learnedAt time.Duration   // set by Resume: when the last awaited node made its complete call
}

// caller is a limiter that has called recently.
//
// Invariant: a caller is deleted only when none of its leases is outstanding, so a request that arrives out of order cannot hide one.
type caller struct {
	id       LimiterID
	sequence uint64 // of its newest call
	calledAt time.Duration
}

// NewAllocator returns an allocator that rejects all calls before Begin.
func NewAllocator(options AllocatorOptions) *Allocator {
	return &Allocator{bounds: options.Bounds, ttl: cmp.Or(options.TTL, DefaultTTL), knobs: options.Knobs}
}

// Begin starts a term of authority: the allocator discards its state and learns again what is outstanding.
// It must be called whenever another allocator may have had authority since the last call of Receive.
func (a *Allocator) Begin(now time.Duration) {
	a.advance(now)
	a.begun, a.beganAt, a.sweptAt = true, a.now, a.now
	a.callers = map[LimiterID]*caller{}
	a.allocated = map[string]*allocation{}
	a.resumed, a.awaited, a.learnedAt = false, nil, 0
}

// Resume starts a term as Begin does, for the case that the previous process of this allocator was the
// last to have authority and that leases granted by that process can be outstanding only at the limiters
// of the given nodes. The allocator knows everything that is outstanding once each of those nodes has made
// a complete call: the limiter of a restarted process holds none of the leases of the process before it.
func (a *Allocator) Resume(now time.Duration, nodes []string) {
	a.Begin(now)
	a.resumed, a.learnedAt = true, a.now
	a.awaited = make(map[string]bool, len(nodes))
	for _, node := range nodes {
		a.awaited[node] = true
	}
}

// observeComplete records that a node has reported everything that it holds.
func (a *Allocator) observeComplete(node string) {
	if !a.awaited[node] {
		return
	}
	delete(a.awaited, node)
	a.learnedAt = a.now
}

// HolderNodes returns the sorted names of the nodes at whose limiters leases
// may be outstanding. Some may be missing while the allocator is learning.
func (a *Allocator) HolderNodes() []string {
	nodes := map[string]bool{}
	for id := range a.callers {
		nodes[id.Node] = true
	}
	maps.Copy(nodes, a.awaited)
	return slices.Sorted(maps.Keys(nodes))
}

// Learning reports whether the allocator may not know everything that is outstanding yet.
func (a *Allocator) Learning(now time.Duration) bool {
	return !a.begun || max(now, a.now) < a.graceEnd()
}

// Receive answers a call. The driver must read now after the call has arrived and before it
// checks that it has authority, so that a delay after that check is harmless. limits returns a
// tenant's limit, and false for an unknown tenant. Unknown and unlimited tenants get no grant.
func (a *Allocator) Receive(now time.Duration, request LeaseRequest, limits func(tenant string) (Limit, bool)) LeaseReply {
	a.advance(now)
	reply := LeaseReply{Sequence: request.Sequence, TTL: a.ttl, Learning: a.Learning(a.now)}
	if !a.begun {
		reply.Rejected = true
		return reply
	}
	a.sweep()
	from := a.caller(request.Limiter)
	if request.Sequence <= from.sequence && !a.knobs.AcceptOldRequests {
		reply.Rejected = true
		return reply
	}
	from.sequence = max(from.sequence, request.Sequence)
	from.calledAt = a.now
	if request.Leaving {
		a.release(from)
		a.observeComplete(from.id.Node)
		return reply
	}
	for _, demand := range request.Demands {
		if limit, known := limits(demand.Tenant); known && !limit.Unlimited() && demand.Held.valid() {
			if grant, granted := a.allocate(from, demand, limit); granted {
				reply.Grants = append(reply.Grants, grant)
			}
		}
	}
	if request.Complete {
		a.observeComplete(from.id.Node)
	}
	return reply
}

// allocate records what the caller holds of a tenant's limit and decides what to grant.
// It returns false if the caller's lease is not renewed and runs until it expires.
func (a *Allocator) allocate(from *caller, demand Demand, limit Limit) (Grant, bool) {
	tenant := a.allocation(demand.Tenant, limit)
	tenant.expire(a.now)
	entry := tenant.holder(from)
	if entry == nil {
		return Grant{}, false
	}
	entry.ratePerSecond = max(0, demand.RatePerSecond)
	entry.expiresAt = a.now + a.outstandingTTL()
	entry.seenAt = a.now
	if a.inHandover() {
		entry.share = demand.Held
		return Grant{}, false
	}
	grant := Grant{Tenant: demand.Tenant, Tokens: tenant.takeTokens(a, limit, demand.Waiting)}
	grant.Share = a.decideShare(tenant, entry, demand.Held, limit)
	a.recordOutstanding(entry, demand.Held, grant.Share)
	tenant.resizeBucket(a, limit)
	return grant, true
}

// recordOutstanding sets what counts as outstanding at a limiter: at least what the limiter reported, until it confirms that it holds less.
func (a *Allocator) recordOutstanding(to *holder, held, granted Share) {
	to.share = held.atLeast(granted)
	if a.knobs.TrustShrink {
		to.share = granted
	}
}

// outstandingTTL returns for how long after a call the leases of its limiter count as outstanding.
func (a *Allocator) outstandingTTL() time.Duration {
	if a.knobs.EarlyExpiry {
		return a.ttl / 2
	}
	return a.ttl + expiryMargin
}

// handoverEnd returns the time from which no former allocator has authority.
func (a *Allocator) handoverEnd() time.Duration {
	if a.resumed || a.knobs.NoHandover || a.knobs.NoGrace {
		return a.beganAt
	}
	return a.beganAt + HandoverTime
}

// graceEnd returns the time by which each lease of a former allocator has expired or has been reported.
func (a *Allocator) graceEnd() time.Duration {
	if a.knobs.NoGrace {
		return a.beganAt
	}
	latest := a.beganAt + a.ttl + HandoverTime
	if a.resumed && (len(a.awaited) == 0 || a.knobs.ForgetAwaited) {
		return min(latest, a.learnedAt)
	}
	return latest
}

func (a *Allocator) inHandover() bool { return a.now < a.handoverEnd() }

func (a *Allocator) advance(now time.Duration) { a.now = max(a.now, now) }

// caller returns the record of a limiter, creating it if needed. Each incarnation of a node is a separate limiter:
// what an earlier one held is outstanding until it expires, because the earlier process may still be running.
func (a *Allocator) caller(id LimiterID) *caller {
	key := id
	if a.knobs.IgnoreIncarnation {
		key.Incarnation = 0
	}
	from := a.callers[key]
	if from == nil {
		from = &caller{id: id}
		a.callers[key] = from
	}
	if from.id != id {
		from.id, from.sequence = id, 0
	}
	return from
}

// release frees all shares that a limiter held.
func (a *Allocator) release(from *caller) {
	for _, tenant := range a.allocated {
		tenant.remove(from)
	}
}

// sweep deletes, once a second, the records of limiters and tenants that are no longer needed.
func (a *Allocator) sweep() {
	if a.now < a.sweptAt+sweepInterval {
		return
	}
	a.sweptAt = a.now
	if latest := a.beganAt + a.ttl + HandoverTime; a.resumed && len(a.awaited) > 0 && a.now >= latest {
		a.awaited, a.learnedAt = nil, latest // the leases of the nodes still awaited have expired
	}
	maps.DeleteFunc(a.callers, func(_ LimiterID, c *caller) bool { return a.now >= c.calledAt+a.outstandingTTL() })
	maps.DeleteFunc(a.allocated, func(_ string, tenant *allocation) bool {
		tenant.expire(a.now)
		return len(tenant.holders) == 0 && tenant.isDiscardable(a)
	})
}

// tenantNames returns the names of all tenants that have holders, sorted.
func (a *Allocator) tenantNames() []string {
	var names []string
	for name, tenant := range a.allocated {
		if len(tenant.holders) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
