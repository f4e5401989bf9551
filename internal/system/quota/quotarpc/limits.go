package quotarpc

import (
	"sync"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/quota"
)

// limitOf returns a tenant's limit.
func limitOf(tenant *config.Tenant) quota.Limit {
	return quota.Limit{RatePerSecond: tenant.RatePerSecond, Burst: tenant.Burst}
}

// limitTable holds the limits of a configuration's tenants by name. The zero value is empty. It is safe for concurrent use.
type limitTable struct {
	mu     sync.Mutex
	config *config.Config // from which limits was built
	limits map[string]quota.Limit
}

// update rebuilds the table from a configuration, and reports whether that is a
// different one than before. The configuration must not be modified afterwards.
func (t *limitTable) update(newest *config.Config) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if newest == nil || newest == t.config {
		return false
	}
	limits := make(map[string]quota.Limit, len(newest.Tenants))
	for _, tenant := range newest.Tenants {
		limits[tenant.Name] = limitOf(tenant)
	}
	t.config, t.limits = newest, limits
	return true
}

// hasLimited reports whether some tenant has a limit.
func (t *limitTable) hasLimited() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, limit := range t.limits {
		if !limit.Unlimited() {
			return true
		}
	}
	return false
}

// limit returns the limit of the named tenant, and false if the configuration has no such tenant.
func (t *limitTable) limit(tenant string) (limit quota.Limit, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit, known = t.limits[tenant]
	return limit, known
}
