package quota

import "time"

// LimiterID names one run of a limiter's process.
type LimiterID struct {
	Node        string
	Incarnation uint64 // rises with each start of the process
}

// Demand is what a limiter tells of one tenant.
type Demand struct {
	Tenant        string
	RatePerSecond float64 // requests that arrived lately, refused ones included
	Held          Share   // at the sending of the call; zero: no lease
	Waiting       int     // requests that wait for tokens
}

// LeaseRequest is a call of a limiter to the allocator.
type LeaseRequest struct {
	Limiter  LimiterID
	Sequence uint64 // rises with each call of the incarnation, whichever allocator it goes to; from 1
	Demands  []Demand
	Complete bool // Demands names every tenant of which the limiter holds a share
	Leaving  bool // the limiter has given up all shares and will call no more
}

// Grant is what an allocator allows a limiter for one tenant.
type Grant struct {
	Tenant string
	Share  Share // takes the place of the share held; zero: none
	Tokens int   // one-shot tokens for waiting requests, good for Bounds.TokenTTL from the sending of the call
}

// LeaseReply answers a LeaseRequest. A tenant that it does not name keeps the lease that it has until that ends.
type LeaseReply struct {
	Sequence uint64 // that of the request
	Grants   []Grant
	TTL      time.Duration // of the shares, from the sending of the call
	Learning bool          // the allocator does not know yet what is outstanding: no tokens does not mean over the limit
	Rejected bool          // the request came after a newer one; nothing was granted
}
