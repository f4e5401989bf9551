package rules

import (
	"net/http"
	"slices"
)

// Tenant is a customer of the operator. Its clients are known by its keys.
type Tenant struct {
	Name          string   `json:"name"`
	Keys          []string `json:"api_keys"`
	Priority      int      `json:"priority"`     // goes before that of the route; 0 is the most urgent
	RatePerSecond float64  `json:"rate_per_s"`   // requests a second; 0: no limit
	Burst         float64  `json:"burst"`        // requests besides
	Homes         []string `json:"home_regions"` // where requests may be sent; empty: everywhere
}

// TenantOfKey returns the tenant that holds a key, nil if there is none.
func (c *Config) TenantOfKey(key string) *Tenant {
	for i := range c.Tenants {
		if slices.Contains(c.Tenants[i].Keys, key) {
			return &c.Tenants[i]
		}
	}
	return nil
}

// Tenant returns the tenant of a name, nil if there is none.
func (c *Config) Tenant(name string) *Tenant {
	for i := range c.Tenants {
		if c.Tenants[i].Name == name {
			return &c.Tenants[i]
		}
	}
	return nil
}

// authenticates reports whether the configuration lets an attempt pass by its key: a tenant holds it, or none is needed.
func (c *Config) authenticates(attempt *Attempt) bool {
	if len(c.Tenants) == 0 || c.TenantOfKey(attempt.Key) != nil {
		return true
	}
	r := c.routeOf(attempt)
	return r != nil && r.Public
}

// allows reports whether the configuration has a route for an attempt, and lets it pass by its key.
func (c *Config) allows(attempt *Attempt) bool {
	return c.routeOf(attempt) != nil && c.authenticates(attempt)
}

// tenantName returns the name that servers must get with an attempt; empty: none may come.
func (c *Config) tenantName(attempt *Attempt) string {
	if tenant := c.TenantOfKey(attempt.Key); tenant != nil {
		return tenant.Name
	}
	return ""
}

// allowsTenantHeader reports whether a request may come to a server as an arrival by the configuration, as far as the header fields are concerned
// that name a tenant or a key. Without tenants they have no meaning and are passed on.
func (c *Config) allowsTenantHeader(attempt *Attempt, arrival *Arrival) bool {
	if len(c.Tenants) == 0 {
		return true
	}
	return !arrival.HasKey && arrival.Tenant == c.tenantName(attempt)
}

// foundNoKey reports whether the proxy itself answered 401, as it does if no tenant of its configuration holds the key of the request.
func (a *Attempt) foundNoKey() bool {
	return a.Outcome == Answered && a.Status == http.StatusUnauthorized && a.Seal == ""
}

// checkTenantHeader checks that an arrival names the tenant that holds the key of its attempt, and does not have the key itself.
//
// Any configuration excuses the arrival that was sent before the execution and lets the attempt pass: CONFIG checks which one is in force, and
// ROUTE reports what none lets pass.
func (x *index) checkTenantHeader(attempt *Attempt, arrival *Arrival, verdict *Verdict) {
	authenticated := false
	for _, change := range x.Changes {
		if change.Config == nil || change.Sent > arrival.ExecutedAt || !change.Config.authenticates(attempt) {
			continue
		}
		authenticated = true
		if change.Config.allowsTenantHeader(attempt, arrival) {
			return
		}
	}
	switch {
	case !authenticated:
	case arrival.HasKey:
		verdict.violation("%s: its key was passed on to %s", arrival.ID, arrival.Server)
	default:
		verdict.violation("%s: came to %s as one of tenant %q", arrival.ID, arrival.Server, arrival.Tenant)
	}
}
