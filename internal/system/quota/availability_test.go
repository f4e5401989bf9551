package quota

import (
	"testing"
	"time"
)

// healthyFleet returns the options of a fleet without faults: six zones in two regions.
func healthyFleet() simulationOptions {
	return simulationOptions{limiters: 6, allocators: 1, delay: 35 * time.Millisecond, jitter: 20 * time.Millisecond, drift: true}
}

func (tenant *simTenant) reset() {
	tenant.requested, tenant.granted, tenant.denied, tenant.waited, tenant.failed = 0, 0, 0, 0, 0
}

func (tenant *simTenant) setRates(rate float64) {
	for i := range tenant.rates {
		tenant.rates[i] = rate
	}
}

// TestSmallTenantsAreServed checks that small tenants whose demand in all zones
// together is 0.62 of their limit have less than 1 in 100 requests refused.
func TestSmallTenantsAreServed(t *testing.T) {
	asked, refused, waited, calls := 0, 0, 0, 0
	for seed := range uint64(10) {
		sim := newSimulation(seed, healthyFleet())
		sim.run(8 * time.Second)
		for range 10 {
			sim.addTenant(string(rune('a'+len(sim.tenants))), Limit{RatePerSecond: 3, Burst: 3}).setRates(0.62 * 3 / 6)
		}
		sim.run(10 * time.Minute)
		calls += sim.calls
		for _, tenant := range sim.tenants {
			asked += tenant.requested
			refused += tenant.denied + tenant.failed
			waited += tenant.waited
		}
	}
	t.Logf("%d requests, %d refused, %d waited, %d lease calls in 6,000 s", asked, refused, waited, calls)
	if refused*100 >= asked {
		t.Errorf("%d of %d requests were refused, want less than 1 in 100", refused, asked)
	}
}

// TestLoneHotLimiter checks that a tenant that requests five times its limit at a single limiter gets at least 95% of the limit.
func TestLoneHotLimiter(t *testing.T) {
	for _, limit := range []Limit{{3, 3}, {10, 10}, {100, 100}, {100, 10}, {1000, 300}} {
		sim := newSimulation(1, healthyFleet())
		sim.run(8 * time.Second)
		tenant := sim.addTenant("hot", limit)
		tenant.rates[2] = 5 * limit.RatePerSecond
		sim.run(5 * time.Second)
		tenant.reset()
		calls := sim.calls
		sim.run(60 * time.Second)
		used := float64(tenant.granted) / (limit.RatePerSecond * 60)
		t.Logf("limit %v: %.3f of the limit used, %.1f calls a second", limit, used, float64(sim.calls-calls)/60)
		if used < 0.95 {
			t.Errorf("limit %v: %.3f of the limit was used, want at least 0.95", limit, used)
		}
	}
}

// TestMovingDemand checks a tenant whose demand of 0.8 of its limit moves instantly from one limiter to another. From 1.2 s
// later on, at most 1 in 50 requests more are refused than by a single bucket of the whole limit that is empty at that time.
func TestMovingDemand(t *testing.T) {
	for _, limit := range []Limit{{10, 10}, {100, 100}, {100, 10}, {1000, 300}} {
		asked, refused, reference := 0, 0, 0
		for seed := range uint64(20) {
			tenant := runMovingDemand(seed, limit)
			asked += tenant.requested
			refused += tenant.denied + tenant.failed
			reference += tenant.referenceRefused
		}
		t.Logf("limit %v: %d of %d requests refused from 1.2 s after the move on, %d by a single bucket", limit, refused, asked, reference)
		if refused > reference+asked/50 {
			t.Errorf("limit %v: %d of %d requests refused, a single bucket refuses %d", limit, refused, asked, reference)
		}
	}
}

// runMovingDemand returns the tenant with its counts for a period of 5 s that begins 1.2 s after its demand moved.
func runMovingDemand(seed uint64, limit Limit) *simTenant {
	sim := newSimulation(seed, healthyFleet())
	sim.run(8 * time.Second)
	tenant := sim.addTenant("moving", limit)
	tenant.rates[0] = 0.8 * limit.RatePerSecond
	sim.run(10*time.Second + sim.randomUpTo(time.Second))
	tenant.rates[0], tenant.rates[4] = 0, tenant.rates[0]
	sim.run(1200 * time.Millisecond)
	tenant.reset()
	depth := testBounds.Depth(limit) + float64(testBounds.ExtraTokens())
	tenant.reference = &bucket{filledAt: sim.now, rate: limit.RatePerSecond, depth: depth}
	sim.run(5 * time.Second)
	return tenant
}

// TestTakeoverServesAllTenantSizes checks that from the crash of an allocator until its successor has learned what
// is outstanding, tenants of each size have at least a quarter of the overall fraction of requests served.
func TestTakeoverServesAllTenantSizes(t *testing.T) {
	served, asked := map[float64]int{}, map[float64]int{}
	allServed, allAsked := 0, 0
	for seed := range uint64(12) {
		for _, tenant := range runTakeover(seed) {
			rate := tenant.limits[0].RatePerSecond
			served[rate] += tenant.granted
			asked[rate] += tenant.requested
			allServed += tenant.granted
			allAsked += tenant.requested
		}
	}
	for rate := range served {
		t.Logf("limit %v/s: %d of %d requests served", rate, served[rate], asked[rate])
		if 4*served[rate]*allAsked < allServed*asked[rate] {
			t.Errorf("limit %v/s: %d of %d requests served, overall %d of %d", rate, served[rate], asked[rate], allServed, allAsked)
		}
	}
}

// runTakeover returns tenants whose demand in all zones together is 0.62 of their limits, with their
// counts for the 11.5 s after the crash of the allocator. A view names its successor after 1.5 s.
func runTakeover(seed uint64) []*simTenant {
	options := healthyFleet()
	options.allocators = 2
	sim := newSimulation(seed, options)
	sim.run(8 * time.Second)
	for _, rate := range []float64{3, 3, 3, 10, 10, 10, 100, 100} {
		name := string(rune('a' + len(sim.tenants)))
		sim.addTenant(name, Limit{RatePerSecond: rate, Burst: rate}).setRates(0.62 * rate / 6)
	}
	sim.run(20 * time.Second)
	for _, tenant := range sim.tenants {
		tenant.reset()
	}
	sim.allocators[0].alive = false
	sim.run(1500 * time.Millisecond)
	sim.changeView(1)
	sim.run(10 * time.Second)
	return sim.tenants
}
