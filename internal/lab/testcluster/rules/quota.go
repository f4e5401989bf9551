package rules

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// checkQuota checks QUOTA (shared/LATER.md, "Quotas"): in no Bounds.QuotaWindow do servers run more requests of a tenant than its rate times the
// window and its burst, times 1 + Bounds.QuotaExcess, and Bounds.QuotaSlack besides. Requests count that clients sent and servers got within that
// window, from all proxies, in contact or not. One that runs several times counts once.
//
// Of several limits that may be in force, the highest one counts. A lower limit binds the windows that begin after all proxies have been in contact
// Bounds.ConfigApply, and what faults add to it, past its acknowledgement.
func (x *index) checkQuota(verdict *Verdict) {
	if x.Bounds.QuotaWindow <= 0 {
		return
	}
	outOfContact := x.outOfContact()
	for name, requests := range x.runsByTenant() {
		limits := x.limitsOf(name, outOfContact)
		slices.SortStableFunc(requests, func(a, b tenantRun) int { return cmp.Compare(a.at, b.at) })
		for i, request := range requests {
			verdict.Checked++
			// A window with too many requests can be moved until it ends with one or begins with one.
			ending := span{request.at - x.Bounds.QuotaWindow, request.at}
			beginning := span{request.sent, request.sent + x.Bounds.QuotaWindow}
			for _, window := range [...]span{ending, beginning} {
				if bound, ok := limits.bound(window); ok && float64(countWithin(requests, i, window)) > bound {
					verdict.violation("%d requests of %s ran from %v to %v, %.0f at most", countWithin(requests, i, window), name,
						window.from.Round(time.Millisecond), window.to.Round(time.Millisecond), bound)
				}
			}
		}
	}
}

// tenantRun is a request of a tenant that ran.
type tenantRun struct{ sent, at Time } // by its client; when it came to the server that ran it first

// runsByTenant returns by name of the tenant the requests that ran. Requests whose key several tenants have held are left out, and those without one.
func (x *index) runsByTenant() map[string][]tenantRun {
	runs := map[string][]tenantRun{}
	counted, tenantOf := map[string]bool{}, map[string]string{}
	for _, arrival := range x.Arrivals {
		attempt := x.attemptByID[arrival.ID]
		if attempt == nil || !arrival.executed() || counted[arrival.ID] {
			continue
		}
		counted[arrival.ID] = true
		name, known := tenantOf[attempt.Key]
		if !known {
			name = x.onlyTenant(attempt)
			tenantOf[attempt.Key] = name
		}
		if name != "" {
			runs[name] = append(runs[name], tenantRun{attempt.Sent, arrival.At})
		}
	}
	return runs
}

// onlyTenant returns the name of the one tenant that has held the key of an attempt; empty: there is none, or several.
func (x *index) onlyTenant(attempt *Attempt) string {
	only := ""
	for _, change := range x.Changes {
		if change.Config == nil || change.Invalid {
			continue
		}
		name := change.Config.tenantName(attempt)
		if name != "" && only != "" && name != only {
			return ""
		}
		only = cmp.Or(name, only)
	}
	return only
}

// countWithin returns how many requests were both sent and came within a window, of those around request i. They are in order of arrival.
func countWithin(sorted []tenantRun, i int, window span) (n int) {
	within := func(r tenantRun) bool { return r.sent >= window.from && r.at <= window.to }
	for j := i; j >= 0 && sorted[j].at >= window.from; j-- {
		if within(sorted[j]) {
			n++
		}
	}
	for j := i + 1; j < len(sorted) && sorted[j].at <= window.to; j++ {
		if within(sorted[j]) {
			n++
		}
	}
	return n
}

// tenantLimit is the limit of a tenant by one configuration.
type tenantLimit struct {
	revision int64
	sent     Time
	bindsAt  Time    // windows that begin then or later are bound by this revision or a newer one
	bound    float64 // of requests in a window; infinite: there is no limit
}

// tenantLimits are the limits of one tenant.
type tenantLimits []tenantLimit

// limitsOf returns the limits of a tenant by all configurations that have it and were not refused. outOfContact is as in bindsAt.
func (x *index) limitsOf(name string, outOfContact []span) (limits tenantLimits) {
	for _, change := range x.Changes {
		if change.Config == nil || change.wasRefused() {
			continue
		}
		if tenant := change.Config.Tenant(name); tenant != nil {
			limits = append(limits, tenantLimit{change.Config.Revision, change.Sent, x.bindsAt(change, outOfContact), x.quotaBound(tenant)})
		}
	}
	return limits
}

// quotaBound returns how many requests of a tenant may run in a window.
func (x *index) quotaBound(tenant *Tenant) float64 {
	if tenant.RatePerSecond <= 0 {
		return math.Inf(1)
	}
	return (tenant.RatePerSecond*x.Bounds.QuotaWindow.Seconds()+tenant.Burst)*(1+x.Bounds.QuotaExcess) + x.Bounds.QuotaSlack
}

// bound returns the highest limit that may be in force in a window; ok is false if there is none.
func (l tenantLimits) bound(window span) (highest float64, ok bool) {
	settled := int64(math.MinInt64)
	for _, limit := range l {
		if limit.bindsAt <= window.from {
			settled = max(settled, limit.revision)
		}
	}
	for _, limit := range l {
		if limit.revision >= settled && limit.sent <= window.to {
			highest, ok = max(highest, limit.bound), true
		}
	}
	return highest, ok
}

// bindsAt returns from when on a change must be in force at all proxies, and the end of time if it was not acknowledged: the first time at which all
// proxies are in contact, Bounds.ConfigApply and what faults add to it past its acknowledgement. outOfContact is when some proxy is not, in order.
func (x *index) bindsAt(change *Change, outOfContact []span) Time {
	if !change.acknowledged() {
		return math.MaxInt64
	}
	applied := change.AcknowledgedAt + x.Bounds.ConfigApply
	at := applied + x.stretch(change.AcknowledgedAt, applied+x.Bounds.Stretch)
	for _, period := range outOfContact {
		if period.from <= at && at < period.to {
			at = period.to
		}
	}
	return at
}
