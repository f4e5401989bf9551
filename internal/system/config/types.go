package config

import "time"

// Category determines whether a request of a route may run more than once, and the form of its response.
type Category uint8

// The categories of a route (PROTOCOL.md).
const (
	Idempotent    Category = iota // may run more than once
	NonIdempotent                 // runs at most once for each attempt of a client
	Streaming                     // responds with a stream of events; treated as NonIdempotent unless the route is Resumable
)

// Share is the fraction of a route's requests that goes to the ready servers of a service: Weight divided by the sum of the route's
// weights.
type Share struct {
	Service string
	Weight  float64 // 0 or more and finite; the sum over a route is above 0
}

// Route is one rule of the configuration. The best match is the route of the request's host with the longest Prefix.
type Route struct {
	Name              string
	Host              string // as sent; case and port are ignored
	Prefix            string // of the path; begins and ends with a slash
	Category          Category
	Timeout           time.Duration // of a request as a whole; above 0
	LatencyTarget     time.Duration // a response (streams: the first event) within it has its full value
	EventGapTarget    time.Duration // streams: the maximum gap between events that counts as on time; 0: none is given
	Priority          int           // 0 is the highest
	Shares            []Share       // at least one, in the operator's order
	MaxAttempts       int           // servers that one attempt of a client may be sent to, at least 1
	Sticky, Resumable bool
	Public            bool     // no API key is required
	HomeRegions       []string // by name; empty: all regions
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Category == Idempotent || r.Category == Streaming && r.Resumable
}

// Engine describes a service's model servers.
type Engine struct {
	Slots          int      // requests that run concurrently
	CacheTokens    int64    // size of a server's KV cache, in tokens
	TokensPerEvent int      // tokens in one event of a stream
	Models         []string // names
}

// Service is one entry of services.
type Service struct {
	Name, HealthPath        string
	MaxConns                int           // that a server accepts from all proxies together; 0: no limit is given
	WarmUpTime              time.Duration // how long a server that was started during traffic stays cold
	WarmUpRequestsPerSecond float64       // requests per second that a cold server can handle; 0: no limit
	Engine                  *Engine       // nil: no model servers
}

// Limits bound how much a client may send, and how long it may take or stay idle. Fields that are absent or 0 have defaults: 16 KiB,
// 4 MiB, 3 s and 15 s.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int64
	HeaderTimeout, IdleTimeout   time.Duration
}

// Config is a complete and valid configuration. It is immutable, so it may be shared between goroutines.
type Config struct {
	Revision int64
	Routes   []*Route
	Services map[string]*Service // by name
	Limits   Limits
	Tenants  []*Tenant // in the operator's order
	// HasTenants is true if the configuration includes tenants, even if the list is empty: requests of routes that are not Public
	// then need an API key.
	HasTenants bool
	Raw        []byte // the JSON that Config.Read returns: a replacement as it was sent, with amendments merged into it; contains API keys

	serviceNames []string // in the order of Raw
	hosts        map[string]*hostIndex
	tenantOfKey  map[KeyDigest]*Tenant
}
