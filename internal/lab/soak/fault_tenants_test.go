package soak

import (
	"slices"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/lab/testcluster"
)

// TestBridgePaths checks that a bridge cut is injected into the paths between its two zones, both ways, and into no others.
func TestBridgePaths(t *testing.T) {
	scenario := NewScenario(1)
	nodes := map[string]testcluster.Machine{} // a machine of each zone
	for _, m := range scenario.Machines {
		nodes[m.Zone] = m
	}
	servers := map[string]string{} // the address of a server of each zone
	for _, s := range scenario.Servers {
		servers[s.Zone] = s.Address
	}
	cut := bridgePaths(scenario, Fault{Kind: CutBridge, Target: "north-a", Peer: "south-a"})
	for _, test := range []struct {
		from, to string // zones
		want     bool
	}{
		{"north-a", "south-a", true}, {"south-a", "north-a", true}, {"north-a", "north-a", false}, {"north-a", "north-b", false},
		{"north-b", "south-a", false}, {"south-a", "north-b", false},
	} {
		from, to := nodes[test.from], nodes[test.to]
		for _, path := range []testcluster.Path{
			{From: testcluster.ProxyName(from), To: testcluster.ProxyName(to)},
			{From: testcluster.ProxyName(from), To: testcluster.ControlPlaneName(to)},
			{From: testcluster.ControlPlaneName(from), To: testcluster.ControlPlaneName(to)},
			{From: testcluster.ProxyName(from), To: servers[test.to]},
		} {
			if got := cut(path); got != test.want {
				t.Errorf("%v: %v, want %v", path, got, test.want)
			}
		}
	}
	if cut(testcluster.Path{From: testcluster.ControlPlaneName(nodes["north-a"]), To: testcluster.ListEnd}) || cut(testcluster.Path{To: servers["south-a"]}) {
		t.Error("the list and callers that are not known are in no zone")
	}
}

// TestTenantFaultsBind checks that a change of a tenant is drawn to last until it binds all proxies in contact, and a bridge cut between two zones.
func TestTenantFaultsBind(t *testing.T) {
	scenario := NewScenario(1)
	binding := scenario.Bounds.ConfigApply + scenario.Bounds.QuotaWindow
	seen := map[Kind]int{}
	for seed := range uint64(60) {
		plan := Draw(seed, 30*time.Second, NewScenario(seed))
		for i := range plan.Faults {
			fault := &plan.Faults[i]
			seen[fault.Kind]++
			switch fault.Kind {
			case RevokeKey, LowerLimit:
				if fault.Length < binding {
					t.Errorf("seed %d: %v does not bind", seed, *fault)
				}
			case CutBridge:
				if zones := zonesOf(scenario); fault.Target == fault.Peer || !slices.Contains(zones, fault.Target) || !slices.Contains(zones, fault.Peer) {
					t.Errorf("seed %d: %v", seed, *fault)
				}
			}
		}
	}
	for _, kind := range []Kind{FloodByTenant, RevokeKey, LowerLimit, CutBridge} {
		if seen[kind] == 0 {
			t.Errorf("%q never happens", kind)
		}
	}
}

func TestBridgeCutString(t *testing.T) {
	one := Fault{Kind: CutBridge, Target: "a", Peer: "b", Length: time.Second}
	if got, want := one.String(), " 0.000 s to  1.000 s  bridge_cut a from b"; got != want {
		t.Errorf("%q, want %q", got, want)
	}
}
