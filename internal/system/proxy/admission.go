package proxy

import (
	"context"
	"net/http"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/quota"
)

// QuotaAdmitter enforces the rate limits of tenants across all proxies. It is safe for concurrent use.
type QuotaAdmitter interface {
	// Admit counts one request of a tenant that has a limit and returns whether the request is within the limit. It returns within a
	// bounded time, and soon after ctx is done.
	Admit(ctx context.Context, tenant *config.Tenant) quota.Admission
}

// admitOrReject reports whether the request is within its tenant's limit, and answers the request if it is not. It may be called only
// once per request, because each call counts against the limit.
func (c *clientRequest) admitOrReject(ctx context.Context) bool {
	admitter, tenant := c.proxy.options.Quota, c.identity.tenant
	if admitter == nil || tenant == nil || tenant.RatePerSecond <= 0 {
		return true
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	admission := admitter.Admit(ctx, tenant)
	if admission.Verdict == quota.Admitted {
		return true
	}
	c.rejectUnadmitted(admission)
	return false
}

// rejectUnadmitted answers a request that is not sent to any server because of its tenant's limit.
func (c *clientRequest) rejectUnadmitted(admission quota.Admission) {
	counters := &c.proxy.counters
	switch {
	case c.clientGone():
		counters.ClientGone.Add(1)
		c.abortConn(dropUnsent)
	case admission.Verdict == quota.OverLimit:
		counters.Rejected.Add(1)
		counters.OverLimit.Add(1)
		c.respondError(http.StatusTooManyRequests, admission.RetryAfter)
	default:
		counters.Refused.Add(1)
		counters.QuotaUnavailable.Add(1)
		c.respondError(http.StatusServiceUnavailable, admission.RetryAfter)
	}
}
