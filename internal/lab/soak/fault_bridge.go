package soak

import (
	"context"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/link"
	"gradeusher.example/gradeusher/internal/lab/testcluster"
	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// drawBridgeCut draws two zones that do not see each other, while the others see both.
func (d *drawer) drawBridgeCut(fault *Fault) {
	fault.Length = d.drawDuration(time.Second, 6*time.Second)
	zones := zonesOf(d.scenario)
	order := d.rng.Perm(len(zones))
	fault.Target, fault.Peer = zones[order[0]], zones[order[1]]
}

// zonesOf returns the zones of the machines, in order.
func zonesOf(scenario *testcluster.Scenario) (zones []string) {
	for _, m := range scenario.Machines {
		if !slices.Contains(zones, m.Zone) {
			zones = append(zones, m.Zone)
		}
	}
	return zones
}

// claimBridge claims the links of all machines of both zones, as other faults of links do, and the bridge itself.
func claimBridge(d *drawer, fault Fault) []claim {
	claims := []claim{"bridge"}
	for _, m := range d.scenario.Machines {
		if m.Zone == fault.Target || m.Zone == fault.Peer {
			claims = append(claims, claim("links of "+m.IP))
		}
	}
	return claims
}

// cutBridge partitions two zones from each other: processes, and proxies from servers. It is recorded as a fault of all processes of both zones, as
// each of them has no path to a voter that most voters see.
func (p *player) cutBridge(ctx context.Context, fault Fault) error {
	kind := rules.FaultKind(fault.Kind)
	for _, m := range p.Fleet.Machines {
		if m.Zone == fault.Target || m.Zone == fault.Peer {
			defer p.beginProxyFault(m, kind)()
			defer p.beginControlPlaneFault(m, kind)()
		}
	}
	defer p.Fleet.Links.Inject(bridgePaths(p.Scenario, fault), link.State{Hold: [2]bool{true, true}})()
	clock.Sleep(ctx, fault.Length)
	return nil
}

// bridgePaths returns what matches the paths between the target zone and its peer.
func bridgePaths(scenario *testcluster.Scenario, fault Fault) pathMatcher {
	zones := map[string]string{} // by the name of an end
	for _, m := range scenario.Machines {
		zones[testcluster.ProxyName(m)], zones[testcluster.ControlPlaneName(m)] = m.Zone, m.Zone
	}
	for _, s := range scenario.Servers {
		zones[s.Address] = s.Zone
	}
	return func(path testcluster.Path) bool {
		from, to := zones[path.From], zones[path.To]
		return from == fault.Target && to == fault.Peer || from == fault.Peer && to == fault.Target
	}
}
