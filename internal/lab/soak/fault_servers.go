package soak

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/testcluster"
)

const (
	warmUpMargin  = time.Second            // after the warm-up, before a fault is over
	drainMargin   = time.Second            // after the bound on draining, before a server stops
	restartSpread = 250 * time.Millisecond // within which the servers of a zone start
)

// drawZoneRestart draws a fault of all servers of a zone, which restart together.
func (d *drawer) drawZoneRestart(fault *Fault) {
	fault.Down = d.drawDuration(time.Second, 4*time.Second)
	fault.Length = fault.Down + warmUpOf(d.scenario) + warmUpMargin
}

// drawDrain draws a planned restart of a server.
func (d *drawer) drawDrain(fault *Fault) {
	down := d.drawDuration(500*time.Millisecond, time.Second)
	fault.Length = d.scenario.Bounds.Drain + drainMargin + down + warmUpOf(d.scenario) + warmUpMargin
}

// serverProcessClaim is the claim of what stops and starts a server. Partitions and slow links of the server go on beside it.
func serverProcessClaim(address string) claim { return claim("process of server " + address) }

// claimsOfZone returns the claims of what stops and starts all servers of a zone.
func (d *drawer) claimsOfZone(zone string) []claim {
	claims := []claim{claim("servers of " + zone)}
	for _, server := range d.scenario.Servers {
		if server.Zone == zone {
			claims = append(claims, serverProcessClaim(server.Address))
		}
	}
	return claims
}

func claimZoneServers(d *drawer, fault Fault) []claim { return d.claimsOfZone(fault.Target) }

func claimDrain(_ *drawer, fault Fault) []claim {
	return []claim{serverClaim(fault.Target), serverProcessClaim(fault.Target)}
}

// restartZoneServers restarts the servers of the target zone.
func (p *player) restartZoneServers(ctx context.Context, fault Fault) error {
	return p.restartZone(ctx, fault.Target, fault.Down)
}

// restartZone has all servers of a zone be down at the same time, and start under new ids at the same addresses. It returns when they have
// warmed up.
func (p *player) restartZone(ctx context.Context, zone string, down time.Duration) error {
	p.crashZone(zone)
	clock.Sleep(ctx, down)
	return p.startZone(ctx, zone)
}

// crashZone crashes all servers of a zone.
func (p *player) crashZone(zone string) {
	for _, s := range p.servers(zone) {
		s.Crash()
	}
}

// startZone starts all servers of a zone within restartSpread, and returns when they have warmed up.
func (p *player) startZone(ctx context.Context, zone string) error {
	servers := p.servers(zone)
	for i, s := range servers {
		if err := startServer(s); err != nil { //nolint:contextcheck // the server outlives the fault that starts it
			return err
		}
		if i < len(servers)-1 {
			clock.Sleep(ctx, restartSpread/time.Duration(len(servers)))
		}
	}
	clock.Sleep(ctx, warmUpOf(p.Scenario)+warmUpMargin)
	return nil
}

// startServer starts a server, unless it has started by itself after it crashed of overload.
func startServer(s *testcluster.Server) error {
	if err := s.Start(true); err != nil && !errors.Is(err, testcluster.ErrRunning) {
		return err
	}
	return nil
}

// drainServer drains a server, stops it and starts it again. It returns when the server has warmed up.
func (p *player) drainServer(ctx context.Context, fault Fault) error {
	for _, s := range p.Servers {
		if s.Address != fault.Target {
			continue
		}
		drainTime, warmUpTime := p.Scenario.Bounds.Drain+drainMargin, s.WarmUp+warmUpMargin
		s.Drain()
		clock.Sleep(ctx, drainTime)
		s.Stop()
		clock.Sleep(ctx, fault.Length-drainTime-warmUpTime)
		if err := startServer(s); err != nil { //nolint:contextcheck // the server outlives the fault that starts it
			return err
		}
		clock.Sleep(ctx, warmUpTime)
	}
	return nil
}

// servers returns the servers of a zone.
func (p *player) servers(zone string) (servers []*testcluster.Server) {
	for _, s := range p.Servers {
		if s.Zone == zone {
			servers = append(servers, s)
		}
	}
	return servers
}
