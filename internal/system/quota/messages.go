package quota

import "time"

// LimiterID identifies one incarnation of a limiter's process.
type LimiterID struct {
	Node        string
	Incarnation uint64 // increases with each start of the process
}

// Demand is what a limiter reports about one tenant.
type Demand struct {
	Tenant        string
	RatePerSecond float64 // recent arrivals, including rejected requests
	Held          Share   // when the call was sent; zero means no lease
	Waiting       int     // number of requests that wait for tokens
}

// LeaseRequest is a call of a limiter to the allocator.
type LeaseRequest struct {
	Limiter  LimiterID
	Sequence uint64 // increases with each call of the incarnation, to whichever allocator; starts at 1
	Demands  []Demand
	Complete bool // Demands names every tenant of which the limiter holds a share
	Leaving  bool // the limiter has given up all shares and makes no further calls
}

// Grant is what an allocator grants a limiter for one tenant.
type Grant struct {
	Tenant string
	Share  Share // replaces the share held; zero means no share
	Tokens int   // one-shot tokens for waiting requests, valid for Bounds.TokenTTL after the call was sent
}

// LeaseReply answers a LeaseRequest. The lease of a tenant that the reply does not name remains in force until it expires.
type LeaseReply struct {
	Sequence uint64 // sequence of the request
	Grants   []Grant
	TTL      time.Duration // of the shares, counted from the sending of the call
	Learning bool          // the allocator does not know yet what is outstanding, so a lack of tokens does not mean over the limit
	Rejected bool          // the request arrived after a newer one, or the allocator has no term; nothing was granted
}
