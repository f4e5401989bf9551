package pick

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/invariant/invarianttest"
)

// newTenantPicker creates a Picker in region r1 with one server in each of r1, r2 and r3.
func newTenantPicker(knobs TestingKnobs) (*Picker, *config.Route) {
	regions := map[string]string{"z1": "r1", "z2": "r2", "z3": "r3"}
	route := &config.Route{Name: "r", Host: "h", Prefix: "/", Timeout: 8 * time.Second, LatencyTarget: time.Second, Priority: 4, MaxAttempts: 2,
		Shares: []config.Share{{Service: "app", Weight: 1}}}
	picker := New(Settings{Zone: "z1", Region: "r1", Regions: regions, TestingKnobs: knobs})
	state := ClusterState{Self: "p", Peers: []string{"p"}, Config: &config.Config{Routes: []*config.Route{route},
		Services: map[string]*config.Service{"app": {Name: "app"}}}}
	for zone := range regions {
		state.Servers = append(state.Servers, Server{ID: "s-" + zone, Service: "app", Address: zone, Zone: zone, Slots: 4})
	}
	picker.UpdateClusterState(0, state)
	return picker, route
}

// TestHomesOfTenantAndRouteBind checks the zone of the chosen server for home regions of the tenant, of the route and of both.
func TestHomesOfTenantAndRouteBind(t *testing.T) {
	for _, test := range []struct {
		name                    string
		routeHomes, tenantHomes []string
		want                    string // the zone; empty: rejected
	}{
		{"neither", nil, nil, "z1"},
		{"the route", []string{"r2"}, nil, "z2"},
		{"the tenant", nil, []string{"r3"}, "z3"},
		{"both", []string{"r1", "r2"}, []string{"r2", "r3"}, "z2"},
		{"both, the tenant's first", []string{"r2", "r3"}, []string{"r1", "r3"}, "z3"},
		{"nothing in common", []string{"r1"}, []string{"r2"}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			picker, route := newTenantPicker(TestingKnobs{})
			route.HomeRegions = test.routeHomes
			request := &Request{Route: route, TimeLeft: time.Second,
				Tenant: &config.Tenant{Name: "acme", Priority: config.NoPriority, HomeRegions: test.tenantHomes}}
			result := picker.Pick(0, request, nil, false)
			if result.Server.Zone != test.want {
				t.Errorf("sent to zone %q, want %q", result.Server.Zone, test.want)
			}
			if refused := result.Decision == Reject && result.RetryAfter > 0; refused != (test.want == "") {
				t.Errorf("decision %d, retry after %v", result.Decision, result.RetryAfter)
			}
		})
	}
}

// TestHomesOfTenantControl checks that a request that ignores its tenant's home regions violates the invariant.
func TestHomesOfTenantControl(t *testing.T) {
	picker, route := newTenantPicker(TestingKnobs{IgnoreTenantHomes: true})
	request := &Request{Route: route, TimeLeft: time.Second, Tenant: &config.Tenant{Name: "acme", HomeRegions: []string{"r3"}}}
	invarianttest.Expect(t, eligibilityInvariant, func() {
		if result := picker.Pick(0, request, nil, false); result.Server.Zone == "z3" {
			t.Error("the tenant's home regions are still enforced")
		}
	})
}

// TestPriorityOfTenantGoesFirst checks that the tenant's priority, if it has one, overrides the route's, even if it is lower.
func TestPriorityOfTenantGoesFirst(t *testing.T) {
	for _, test := range []struct {
		tenant *config.Tenant
		want   int
	}{
		{nil, 4},
		{&config.Tenant{Priority: config.NoPriority}, 4},
		{&config.Tenant{Priority: 0}, 0},
		{&config.Tenant{Priority: 7}, 7},
		{&config.Tenant{Priority: 12}, maxPriority},
	} {
		picker, route := newTenantPicker(TestingKnobs{})
		result := picker.Pick(0, &Request{Route: route, TimeLeft: time.Second, Tenant: test.tenant}, nil, false)
		if result.Priority != test.want {
			t.Errorf("priority %d with %+v, want %d", result.Priority, test.tenant, test.want)
		}
	}
}
