package testcluster

import (
	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// Names of the tenants of a scenario.
const (
	LargeTenant     = "large-firm"     // sends most requests, with two keys
	SmallTenant     = "small-firm"     // sends few
	HomeTenant      = "northern-firm"  // has a home region
	UnlimitedTenant = "unlimited-firm" // has no limit
	HotTenant       = "hot-firm"       // sends few, until it floods
)

// Keys that runs name.
const (
	RevocableKey = "large-key-2" // the second one of LargeTenant, which may be taken away
	SmallKey     = "small-key"   // of SmallTenant
)

const (
	largeKey     = "large-key-1"
	homeKey      = "northern-key"
	unlimitedKey = "unlimited-key"
	hotKey       = "hot-key"
	unheldKey    = "nobodys-key" // that no configuration ever holds

	tenantHomeRegion = "north"
	publicRouteName  = "public-thumb"
	publicPrefix     = "/public/"
	publicShare      = 0.05 // of all requests that go to the public route
	hotFactor        = 8.0  // times its limit that HotTenant sends while it floods
	headroom         = 4.0  // times its usual requests that a tenant may send
	minTenantLimit   = 5.0  // requests a second besides, and the same as burst
)

// scenarioCallers are the clients that send requests on routes that need a key.
var scenarioCallers = []Caller{
	{Weight: 50, Key: largeKey},
	{Weight: 20, Key: RevocableKey},
	{Weight: 6, Key: largeKey, ForgedTenant: SmallTenant},
	{Weight: 8, Key: SmallKey},
	{Weight: 4, Key: homeKey},
	{Weight: 4, Key: unlimitedKey},
	{Weight: 2, Key: hotKey},
	{Weight: 3, Key: unheldKey},
	{Weight: 1, Key: unheldKey, ForgedTenant: LargeTenant},
	{Weight: 2, ForgedTenant: LargeTenant},
}

// publicCallers are the clients that send requests on the public route.
var publicCallers = []Caller{{Weight: 2}, {Weight: 1, ForgedTenant: LargeTenant}, {Weight: 1, Key: SmallKey}}

// AddTenants gives the scenario tenants, clients that use and misuse their keys, and a public route. Limits follow from the rates of the kinds of
// request, which are to be set before.
func (s *Scenario) AddTenants() {
	rate := 0.0
	for i := range s.Kinds {
		s.Kinds[i].Callers = scenarioCallers
		rate += s.Kinds[i].Rate
	}
	s.Config.Tenants = []rules.Tenant{
		{Name: LargeTenant, Keys: []string{largeKey, RevocableKey}, Priority: 2},
		{Name: SmallTenant, Keys: []string{SmallKey}, Priority: 1},
		{Name: HomeTenant, Keys: []string{homeKey}, Priority: 1, Homes: []string{tenantHomeRegion}},
		{Name: UnlimitedTenant, Keys: []string{unlimitedKey}, Priority: 3},
		{Name: HotTenant, Keys: []string{hotKey}, Priority: 3},
	}
	for i := range s.Config.Tenants {
		tenant := &s.Config.Tenants[i]
		if tenant.Homes == nil {
			tenant.Homes = []string{} // JSON writes nil as null.
		}
		if tenant.Name != UnlimitedTenant {
			tenant.RatePerSecond = headroom*rate*sharesOf(tenant) + minTenantLimit
			tenant.Burst = tenant.RatePerSecond
		}
	}
	s.addPublicRoute(publicShare * rate)
}

// sharesOf returns the part of the requests on routes that need a key which come with one of a tenant's keys.
func sharesOf(tenant *rules.Tenant) float64 {
	sum, own := 0, 0
	config := rules.Config{Tenants: []rules.Tenant{*tenant}}
	for _, caller := range scenarioCallers {
		sum += caller.Weight
		if config.TenantOfKey(caller.Key) != nil {
			own += caller.Weight
		}
	}
	return float64(own) / float64(sum)
}

// addPublicRoute adds a route that needs no key, and clients that send requests there, rate a second.
func (s *Scenario) addPublicRoute(rate float64) {
	kind := s.Kinds[len(s.Kinds)-1] // without a prompt
	route := *kind.Route
	route.Name, route.Prefix, route.Public = publicRouteName, publicPrefix, true
	s.Config.Routes = append(s.Config.Routes, route)
	kind.Rate, kind.Callers = rate, publicCallers
	s.Kinds = append(s.Kinds, kind)
	for i := range s.Kinds {
		s.Kinds[i].Route = &s.Config.Routes[i]
	}
}

// HotKind returns the requests of HotTenant while it floods: many times its limit by a configuration, on the route of a kind.
func HotKind(config *rules.Config, kind RequestKind) RequestKind {
	kind.Rate = hotFactor * config.Tenant(HotTenant).RatePerSecond
	kind.Callers = []Caller{{Weight: 1, Key: hotKey}}
	return kind
}

// probeKey returns the key with which probes are sent: the first one of the first tenant; empty: there is none.
func (s *Scenario) probeKey() string {
	if len(s.Config.Tenants) == 0 {
		return ""
	}
	return s.Config.Tenants[0].Keys[0]
}
