package soak

import (
	"context"
	"time"

	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/testcluster"
)

const loweredPart = 0.05 // of its usual limit to which a tenant's limit is lowered, which is far below what it sends

// drawFlood draws a flood.
func (d *drawer) drawFlood(fault *Fault) {
	fault.Length = d.drawDuration(3*time.Second, 7*time.Second)
}

// drawTenantChange draws a change of a tenant that is taken back. It lasts until it binds, and some seconds more.
func (d *drawer) drawTenantChange(fault *Fault) {
	bounds := d.scenario.Bounds
	fault.Length = bounds.ConfigApply + bounds.QuotaWindow + d.drawDuration(0, 3*time.Second)
}

func (d *drawer) drawHotTenant() string { return testcluster.HotTenant }

func (d *drawer) drawRevocableKey() string { return testcluster.RevocableKey }

func (d *drawer) drawLargeTenant() string { return testcluster.LargeTenant }

func claimTenant(_ *drawer, fault Fault) []claim { return []claim{claim("tenant " + fault.Target)} }

// floodByTenant has a tenant send many times its limit. It records no fault, as no rule excuses what is run beyond the limit.
func (p *player) floodByTenant(ctx context.Context, fault Fault) error {
	ctx, cancel := context.WithTimeout(ctx, fault.Length)
	defer cancel()
	p.Flood(ctx, testcluster.HotKind(p.usualConfig, p.Scenario.Kinds[thumbRoute]))
	return nil
}

// revokeKey takes a key away, with which clients go on, and gives it back. A change that the control plane does not take in time is left out.
func (p *player) revokeKey(ctx context.Context, fault Fault) error {
	p.changeConfig(ctx, func(ctx context.Context, revision int64) error { return p.RemoveKey(ctx, revision, fault.Target) })
	clock.Sleep(ctx, fault.Length)
	p.changeConfig(ctx, func(ctx context.Context, revision int64) error {
		return p.AddKey(ctx, revision, testcluster.LargeTenant, fault.Target)
	})
	return nil
}

// lowerLimit lowers the limit of a tenant, which goes on sending as before, and sets it back. A change that the control plane does not take in time is left
// out.
func (p *player) lowerLimit(ctx context.Context, fault Fault) error {
	usual := *p.usualConfig.Tenant(fault.Target)
	setLimit := func(part float64) {
		p.changeConfig(ctx, func(ctx context.Context, revision int64) error {
			return p.SetLimit(ctx, revision, fault.Target, part*usual.RatePerSecond, part*usual.Burst)
		})
	}
	setLimit(loweredPart)
	clock.Sleep(ctx, fault.Length)
	setLimit(1)
	return nil
}
