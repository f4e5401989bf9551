package quota

import (
	"testing"
	"time"
)

// healthy is a fleet of six zones in two regions without faults.
func healthy() simulationOptions {
	return simulationOptions{limiters: 6, allocators: 1, delay: 35 * time.Millisecond, jitter: 20 * time.Millisecond, drift: true}
}

func (tenant *simTenant) reset() {
	tenant.asked, tenant.granted, tenant.denied, tenant.waited, tenant.failed = 0, 0, 0, 0, 0
}

func (tenant *simTenant) setRates(rate float64) {
	for i := range tenant.rates {
		tenant.rates[i] = rate
	}
}

// TestSmallTenantsAreServed: of small tenants that ask in all zones for 0.62 of their limit, less than 1 in 100 requests is refused.
func TestSmallTenantsAreServed(t *testing.T) {
	asked, refused, waited, calls := 0, 0, 0, 0
	for seed := range uint64(10) {
		sim := newSimulation(seed, healthy())
		sim.run(8 * time.Second)
		for range 10 {
			sim.addTenant(string(rune('a'+len(sim.tenants))), Limit{RatePerSecond: 3, Burst: 3}).setRates(0.62 * 3 / 6)
		}
		sim.run(10 * time.Minute)
		calls += sim.calls
		for _, tenant := range sim.tenants {
			asked += tenant.asked
			refused += tenant.denied + tenant.failed
			waited += tenant.waited
		}
	}
	t.Logf("%d asked, %d refused (%.2f%%), %d waited (%.1f%%), %d calls (%.2f/s a limiter)", asked, refused, 100*float64(refused)/float64(asked), waited, 100*float64(waited)/float64(asked), calls, float64(calls)/6/600/10)
	if refused*100 >= asked {
		t.Errorf("%d of %d requests were refused, want less than 1 in 100", refused, asked)
	}
}

// TestLoneHotLimiter: a tenant that asks for five times its limit at one limiter alone gets at least 95% of the limit.
func TestLoneHotLimiter(t *testing.T) {
	for _, limit := range []Limit{{3, 3}, {10, 10}, {100, 100}, {100, 10}, {1000, 300}} {
		sim := newSimulation(1, healthy())
		sim.run(8 * time.Second)
		tenant := sim.addTenant("hot", limit)
		tenant.rates[2] = 5 * limit.RatePerSecond
		sim.run(5 * time.Second)
		tenant.reset()
		calls := sim.calls
		sim.run(60 * time.Second)
		used := float64(tenant.granted) / (limit.RatePerSecond * 60)
		t.Logf("%v: %.3f of the limit used, %.1f calls a second", limit, used, float64(sim.calls-calls)/60)
		if used < 0.95 {
			t.Errorf("%v: %.3f of the limit was used, want at least 0.95", limit, used)
		}
	}
}

// TestDemandThatMoves: a tenant's demand of 0.8 of its limit that moves from one limiter to another within a moment is served again a
// second later.
func TestDemandThatMoves(t *testing.T) {
	for _, limit := range []Limit{{10, 10}, {100, 100}, {100, 10}, {1000, 300}} {
		asked, refused, early := 0, 0, 0
		for seed := range uint64(20) {
			sim := newSimulation(seed, healthy())
			sim.run(8 * time.Second)
			tenant := sim.addTenant("moving", limit)
			tenant.rates[0] = 0.8 * limit.RatePerSecond
			sim.run(10*time.Second + sim.randomUpTo(time.Second))
			tenant.rates[0], tenant.rates[4] = 0, tenant.rates[0]
			tenant.reset()
			sim.run(1200 * time.Millisecond)
			early += tenant.denied + tenant.failed
			tenant.reset()
			sim.run(5 * time.Second)
			asked += tenant.asked
			refused += tenant.denied + tenant.failed
		}
		t.Logf("%v: %d refused in the first 1.2 s of 20 moves, then %d of %d", limit, early, refused, asked)
		if refused*50 > asked {
			t.Errorf("%v: %d of %d requests refused after the first 1.2 s, want at most 1 in 50", limit, refused, asked)
		}
	}
}
