package rules

import (
	"slices"
	"strings"
)

// Config is the operator's configuration as it is sent (PROTOCOL.md "The operator's API").
type Config struct {
	Revision int64     `json:"revision"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	Tenants  []Tenant  `json:"tenants,omitempty"` // empty: requests need no key
}

// Route says where requests with a host and a path prefix go, and within which limits.
type Route struct {
	Name      string   `json:"name"`
	Host      string   `json:"hostname"`
	Prefix    string   `json:"path_prefix"`
	Category  string   `json:"category"`             // idempotent, non_idempotent or streaming
	Timeout   int      `json:"timeout_ms"`           // milliseconds, for which a proxy may hold an attempt
	Aim       int      `json:"target_latency_ms"`    // milliseconds: the latency target
	Priority  int      `json:"priority"`             // 0 is the most urgent
	Target    string   `json:"target,omitempty"`     // service; empty: Shares says which
	Shares    []Share  `json:"shares,omitempty"`     // services among which requests are divided
	MaxTries  int      `json:"max_tries"`            // servers to which one attempt of a client may be sent
	Public    bool     `json:"public,omitempty"`     // requests need no key
	Sticky    bool     `json:"sticky"`               // requests name the parts of their prompts, which servers cache
	Resumable bool     `json:"resumable"`            // of a stream: it may continue with another run
	GapAim    int      `json:"gap_aim_ms,omitempty"` // milliseconds: the longest pause between events of a stream that is in time
	Homes     []string `json:"home_regions"`         // where requests may be sent; empty: everywhere
}

// Share is a service's part of a route's requests.
type Share struct {
	Target string  `json:"target"` // service
	Weight float64 `json:"share"`  // relative to the other shares; 0: no requests
}

// Service is the configuration of a service.
type Service struct {
	Name          string  `json:"name"`
	HealthPath    string  `json:"health_path"`
	MaxConns      int     `json:"max_conns"` // that one server accepts, from all callers together
	Protocol      string  `json:"protocol"`
	TLS           bool    `json:"tls"`
	ColdFor       float64 `json:"cold_s"`     // seconds after its start in which a server warms up
	ColdPerSecond float64 `json:"cold_per_s"` // requests a second that a server bears while it warms up
	Engine        *Engine `json:"engine,omitempty"`
}

// Engine is the configuration of a service's model servers.
type Engine struct {
	Slots       int     `json:"slots"`        // requests that run at a time
	CacheTokens int64   `json:"cache_tokens"` // of running requests and cached parts together
	TokenBytes  int     `json:"token_bytes"`  // KV cache of one token
	LinkMbps    float64 `json:"link_mbps"`
	Stride      int     `json:"stride"` // tokens of an event
	Models      []Model `json:"models"`
}

// Model is one model of an engine.
type Model struct {
	Name string `json:"name"`
}

// Limits bound what clients may send, and how long their connections may be idle.
type Limits struct {
	HeaderBytes   int `json:"max_header_bytes"`
	BodyBytes     int `json:"max_body_bytes"`
	HeaderTimeout int `json:"header_timeout_ms"` // milliseconds
	Idle          int `json:"idle_timeout_ms"`   // milliseconds
}

// Idempotent reports whether a request of the route may be executed more than once.
func (r *Route) Idempotent() bool {
	return r.Category == "idempotent" || r.Category == "streaming" && r.Resumable
}

// services returns the services to which a route sends requests.
func (r *Route) services() []string {
	if r.Target != "" {
		return []string{r.Target}
	}
	var all []string
	for _, s := range r.Shares {
		if s.Weight > 0 {
			all = append(all, s.Target)
		}
	}
	return all
}

// sends reports whether the route sends requests to a service.
func (r *Route) sends(service string) bool {
	for _, s := range r.Shares {
		if s.Target == service && s.Weight > 0 {
			return true
		}
	}
	return r.Target == service
}

// routeOf returns the route of an attempt, nil if there is none.
func (c *Config) routeOf(attempt *Attempt) *Route { return c.Match(attempt.Host, attempt.Path) }

// sends reports whether the configuration allows an attempt to run at a service.
func (c *Config) sends(attempt *Attempt, service string) bool {
	r := c.routeOf(attempt)
	return r != nil && r.sends(service) && c.authenticates(attempt)
}

// hasHomesElsewhere reports whether the route or the tenant of an attempt has home regions and a region is none of them.
func (c *Config) hasHomesElsewhere(attempt *Attempt, region string) bool {
	elsewhere := func(homes []string) bool { return len(homes) > 0 && !slices.Contains(homes, region) }
	r, tenant := c.routeOf(attempt), c.TenantOfKey(attempt.Key)
	return r != nil && elsewhere(r.Homes) || tenant != nil && elsewhere(tenant.Homes)
}

// isIdempotent reports whether the request of an attempt may be executed more than once by the configuration.
func (c *Config) isIdempotent(attempt *Attempt) bool {
	r := c.routeOf(attempt)
	return r != nil && r.Idempotent()
}

// Match returns the route of a request, nil if there is none: the one with the longest prefix of the path among those of the host.
func (c *Config) Match(host, path string) *Route {
	var best *Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}
