package main

import (
	"gradeusher.example/gradeusher/internal/system/admin"
	"gradeusher.example/gradeusher/internal/system/invariant"
)

// status returns the response to GET /status, an admin.ProxyStatus.
func (p *proxyProcess) status() any {
	current := p.subscriber.Current()
	out := admin.ProxyStatus{
		Version:    admin.Version,
		Node:       p.settings.Node,
		Ready:      p.isReady(),
		Fresh:      current.Fresh,
		Number:     current.State.Seq,
		Revision:   current.State.Revision(),
		Evacuated:  admin.EvacuatedZones(current.State),
		Servers:    len(current.Servers),
		ListAgeMS:  -1,
		Choice:     p.dataPlane.Describe(),
		Refused:    p.refusals(),
		Violations: invariant.Violations(),
	}
	if current.HasList {
		out.ListAgeMS = current.ListAge.Milliseconds()
	}
	for _, m := range current.Members {
		out.Members = append(out.Members, m.Node)
	}
	return out
}

// refusals returns the counts of requests that were refused because of quotas, by tenant.
func (p *proxyProcess) refusals() []admin.TenantRefusals {
	var out []admin.TenantRefusals
	for _, refused := range p.quotas.Refusals() {
		held := p.limiter.Held(refused.Tenant)
		out = append(out, admin.TenantRefusals{
			Tenant:      refused.Tenant,
			Limiter:     refused.Limiter,
			OverLimit:   refused.OverLimit,
			Unavailable: refused.Unavailable,
			Last:        refused.Last.String(),
			SinceLastMS: refused.SinceLast.Milliseconds(),
			Fraction:    held.Fraction,
			Extra:       held.Extra,
		})
	}
	return out
}
