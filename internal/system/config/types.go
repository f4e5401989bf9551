// Package conf is the operator's configuration: its types, its reading and checking with fastjson, and the merge of an
// amendment. It is pure: no I/O, no clock.
package config

import "time"

// Category says what a repeat of a route's requests does.
type Category uint8

// The categories of PROTOCOL.md.
const (
	Idempotent    Category = iota // may run more than once
	NonIdempotent                 // runs at most once for each try of a client
	Streaming                     // answers with a series of events; NonIdempotent unless the route is Resumable
)

// Share is one group of a route: the ready servers of Service, which get Weight parts of its requests.
type Share struct {
	Service string
	Weight  float64 // 0 or more; those of a route do not add up to 0
}

// Route is one rule of the configuration. The best match is the route of the request's host with the longest Prefix.
type Route struct {
	Name, Host, Prefix string
	Category           Category
	Timeout            time.Duration // the longest that the operator wants a request held
	LatencyTarget      time.Duration // an answer (streams: the first event) within it earns its full worth
	EventGapTarget     time.Duration // streams: the longest pause between events that is in time; 0: not told
	Priority           int           // 0 is the highest
	Shares             []Share       // one at least; in the operator's order
	MaxAttempts        int           // servers that one try may be sent to, 1 at least
	Sticky, Resumable  bool
	HomeRegions        []string // regions; empty: everywhere
}

// Idempotent tells whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Category == Idempotent || r.Category == Streaming && r.Resumable
}

// Engine is what is told of a service's model servers.
type Engine struct {
	Slots          int   // requests that run at once
	CacheTokens    int64 // memory of a server, in tokens
	TokensPerEvent int   // tokens in one event of a stream
	Models         []string
}

// Service is one entry of services.
type Service struct {
	Name, HealthPath        string
	MaxConns                int           // connections that a server accepts from all callers together
	WarmUpTime              time.Duration // how long a server started during traffic stays cold
	WarmUpRequestsPerSecond float64       // requests a second that a cold server bears; 0: no bound
	Engine                  *Engine       // nil: no model servers
}

// Limits bound what a client may send, and how long it may take or remain idle.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int64
	HeaderTimeout, IdleTimeout   time.Duration
}

// Config is a whole configuration, checked. It is never changed once made, so it may be shared between goroutines.
type Config struct {
	Revision int64
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits
	Raw      []byte // the JSON that Config.Read answers: a replacement as it was sent; an amendment merged into it

	serviceNames []string // in the order of Raw
	hosts        map[string]*hostIndex
}
