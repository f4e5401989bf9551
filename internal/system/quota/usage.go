package quota

import "time"

// TenantUsage describes what is outstanding of a tenant's limit.
type TenantUsage struct {
	Tenant        string
	Leased        Share   // sum over Holders
	RatePerSecond float64 // demand, sum over Holders
	Holders       []HolderUsage
}

// HolderUsage describes a limiter's part.
type HolderUsage struct {
	Limiter       LimiterID
	Share         Share         // outstanding
	RatePerSecond float64       // its demand
	Age           time.Duration // since its last call that named the tenant
}

// Usage describes one tenant.
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

// Describe returns the usage of all tenants that have holders, by name.
func (a *Allocator) Describe(now time.Duration) []TenantUsage {
	var usages []TenantUsage
	for _, name := range a.tenantNames() {
		usages = append(usages, a.Usage(now, name))
	}
	return usages
}
