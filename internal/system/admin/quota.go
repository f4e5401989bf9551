package admin

import (
	"fmt"

	"gradeusher.example/gradeusher/internal/system/quota"
)

// QuotaStatus is what a node knows about the tenants' quotas.
type QuotaStatus struct {
	Owner    string        `json:"owner"`    // IP of the allocator, the node that leases shares of the limits
	Learning bool          `json:"learning"` // this node is the allocator and does not know yet which leases exist
	Tenants  []TenantQuota `json:"tenants"`  // those with leases or demand, by name; none at a node that is not the allocator
}

// TenantQuota is the part of one tenant's limit that is leased.
type TenantQuota struct {
	Tenant        string        `json:"tenant"`
	Fraction      float64       `json:"fraction"`   // of the limit, 0 to 1
	Extra         int           `json:"extra"`      // tokens of depth in addition to that
	RatePerSecond float64       `json:"rate_per_s"` // requests that arrive, including those refused
	Holders       []QuotaHolder `json:"holders"`
}

// QuotaHolder is the share of a limit that one limiter holds.
type QuotaHolder struct {
	Node          string  `json:"node"` // of the proxy
	Fraction      float64 `json:"fraction"`
	Extra         int     `json:"extra"`
	RatePerSecond float64 `json:"rate_per_s"`
	AgeMS         int64   `json:"age_ms"` // since the limiter's last call that named the tenant
}

// TenantRefusals are the requests of one tenant that a proxy refused for its quota since its start.
type TenantRefusals struct {
	Tenant      string  `json:"tenant"`
	Limiter     string  `json:"limiter"`     // node of the proxy whose limiter decides
	OverLimit   int64   `json:"over_limit"`  // requests beyond the limit: 429
	Unavailable int64   `json:"unavailable"` // requests on which no limiter decided in time: 503
	Last        string  `json:"last"`        // why the last one was refused
	SinceLastMS int64   `json:"since_last_ms"`
	Fraction    float64 `json:"fraction"` // of the limit that the proxy that answers holds itself
	Extra       int     `json:"extra"`
}

// TenantQuotas converts the usage of tenants for the status.
func TenantQuotas(usages []quota.TenantUsage) []TenantQuota {
	quotas := make([]TenantQuota, 0, len(usages))
	for _, usage := range usages {
		converted := TenantQuota{
			Tenant:        usage.Tenant,
			Fraction:      usage.Leased.Fraction,
			Extra:         usage.Leased.Extra,
			RatePerSecond: usage.RatePerSecond,
			Holders:       make([]QuotaHolder, 0, len(usage.Holders)),
		}
		for _, holder := range usage.Holders {
			converted.Holders = append(converted.Holders, QuotaHolder{
				Node:          holder.Limiter.Node,
				Fraction:      holder.Share.Fraction,
				Extra:         holder.Share.Extra,
				RatePerSecond: holder.RatePerSecond,
				AgeMS:         holder.Age.Milliseconds(),
			})
		}
		quotas = append(quotas, converted)
	}
	return quotas
}

// setQuota adds the owner of the role "quota", and sets the quotas that the allocator reports if it answered.
func (f *Fleet) setQuota(statuses []*NodeStatus, newest *NodeStatus) {
	if newest.Quota == nil {
		return // the node runs a version without quotas
	}
	f.Roles = append(f.Roles, SingletonRole{Name: "quota", Owner: newest.Quota.Owner})
	for _, status := range statuses {
		isAllocator := status.Quota != nil && (status.Quota.Learning || len(status.Quota.Tenants) > 0)
		if isAllocator && status.Current && status.Epoch == newest.Epoch {
			f.Quota = status.Quota
		}
	}
}

// RefusalLines describes the refusals of all tenants, or of the named one, one line for each tenant.
func (p *ProxyStatus) RefusalLines(tenant string) []string {
	var lines []string
	for _, refused := range p.Refused {
		if tenant != "" && refused.Tenant != tenant {
			continue
		}
		lines = append(lines, fmt.Sprintf(
			"tenant %s: %d over the limit, %d without a verdict; last %s, %d ms ago; limiter %s; this proxy holds %.3f of the limit and %d tokens",
			refused.Tenant, refused.OverLimit, refused.Unavailable, refused.Last, refused.SinceLastMS, refused.Limiter, refused.Fraction, refused.Extra))
	}
	return lines
}
