package quota

import "time"

// TenantUsage describes the outstanding leases of a tenant's limit.
type TenantUsage struct {
	Tenant        string
	Leased        Share   // sum over Holders
	RatePerSecond float64 // demand, sum over Holders
	Holders       []HolderUsage
}

// HolderUsage describes the share and demand of one limiter.
type HolderUsage struct {
	Limiter       LimiterID
	Share         Share         // outstanding
	RatePerSecond float64       // demand of this limiter
	Age           time.Duration // since its last call that named the tenant
}

// Usage returns the usage of one tenant.
func (a *Allocator) Usage(now time.Duration, tenant string) TenantUsage {
	usage := TenantUsage{Tenant: tenant}
	record := a.allocated[tenant]
	if record == nil {
		return usage
	}
	for i := range record.holders {
		h := &record.holders[i]
		if now >= h.expiresAt {
			continue
		}
		usage.Leased = usage.Leased.plus(h.share)
		usage.RatePerSecond += h.ratePerSecond
		usage.Holders = append(usage.Holders, HolderUsage{
			Limiter: h.from.id, Share: h.share, RatePerSecond: h.ratePerSecond, Age: max(0, now-h.seenAt),
		})
	}
	return usage
}

// Describe returns the usage of all tenants that have holders, sorted by name.
func (a *Allocator) Describe(now time.Duration) []TenantUsage {
	var usages []TenantUsage
	for _, name := range a.tenantNames() {
		usages = append(usages, a.Usage(now, name))
	}
	return usages
}
