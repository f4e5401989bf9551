package quotarpc

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/quota"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// TestTenantWithinItsLimit checks that a tenant that stays within its limit
// has at least 98% of its requests admitted once its limiter has a share.
func TestTenantWithinItsLimit(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		tenant := limitedTenant("t", 100, 50)
		fleet := newTestFleet(t, []*config.Tenant{tenant}, "a", "b", "c")
		fleet.sendRequests(t, "a", tenant, 50, 2*time.Second)
		outcome := fleet.sendRequests(t, "a", tenant, 50, 10*time.Second)
		if outcome.count(quota.Admitted) < 500*98/100 {
			t.Errorf("outcome of 500 requests at half the limit: %v", outcome)
		}
	})
}

// TestHotTenantGetsItsLimit checks that a tenant that requests several times its limit gets about its limit, and no more than the bound.
func TestHotTenantGetsItsLimit(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		tenant := limitedTenant("t", 100, 50)
		fleet := newTestFleet(t, []*config.Tenant{tenant}, "a", "b", "c")
		fleet.sendRequests(t, "a", tenant, 500, 2*time.Second)
		outcome := fleet.sendRequests(t, "b", tenant, 500, 10*time.Second)
		allowed := 2 * testBounds.MaxAdmitted(quota.Limit{RatePerSecond: 100, Burst: 50})
		admitted := outcome.count(quota.Admitted)
		if admitted < 880 || float64(admitted) > allowed {
			t.Errorf("outcome in 10 s: %v, want 880 to %v admitted", outcome, allowed)
		}
		if outcome.count(quota.Unavailable) > 0 {
			t.Errorf("outcome %v, want none unavailable while the limiter holds a lease", outcome)
		}
	})
}

// TestOneLimiterServesATenant checks that one limiter of the zone holds the lease, whichever proxies receive the requests.
func TestOneLimiterServesATenant(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		tenant := limitedTenant("t", 100, 50)
		fleet := newTestFleet(t, []*config.Tenant{tenant}, "a", "b", "c")
		for _, name := range []string{"a", "b", "c"} {
			fleet.sendRequests(t, name, tenant, 30, time.Second)
		}
		holders, deciders := 0, 0
		for _, proxy := range fleet.proxies {
			limiter := proxy.limiter
			if limiter.counters.granted.Load()+limiter.counters.denied.Load() > 0 {
				deciders++
			}
			if !limiter.limiter.Held(limiter.now(), tenant.Name).IsZero() {
				holders++
			}
		}
		if holders != 1 || deciders != 1 {
			t.Errorf("%d limiters hold a lease and %d have decided on requests, want 1 and 1", holders, deciders)
		}
	})
}

// TestUnlimitedTenantMakesNoCalls checks that requests of an unlimited tenant cause no calls to a limiter or to the allocator.
func TestUnlimitedTenantMakesNoCalls(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		tenant := limitedTenant("t", 0, 50)
		fleet := newTestFleet(t, []*config.Tenant{tenant}, "a", "b")
		outcome := fleet.sendRequests(t, "a", tenant, 100, time.Second)
		calls := fleet.proxies["a"].client.counters.calls.Load() + fleet.proxies["a"].limiter.counters.leaseCalls.Load()
		if outcome.count(quota.Admitted) != 100 || calls != 0 {
			t.Errorf("outcome %v with %d calls, want 100 requests admitted without calls", outcome, calls)
		}
	})
}

// TestLimiterCrashFallsBack checks that when a limiter crashes, requests go to the next one, which gets a lease of its own.
func TestLimiterCrashFallsBack(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		tenant := limitedTenant("t", 100, 50)
		fleet := newTestFleet(t, []*config.Tenant{tenant}, "a", "b", "c")
		lost, other := firstAndLast(fleet, "t")
		fleet.sendRequests(t, other, tenant, 50, 3*time.Second)
		fleet.network.Set(lost, nil)
		fleet.proxies[lost].stop()
		fleet.sendRequests(t, other, tenant, 50, 7*time.Second)
		if outcome := fleet.sendRequests(t, other, tenant, 50, 4*time.Second); outcome.count(quota.Admitted) < 190 {
			t.Errorf("outcome of 200 requests at half the limit: %v", outcome)
		}
	})
}

// TestLeaveGivesLeasesBack checks that after a limiter has left, the next one does not have
// to wait until the lease expires. The control is a limiter that stops without leaving.
func TestLeaveGivesLeasesBack(t *testing.T) {
	for _, leaves := range []bool{true, false} {
		bubble.Test(t, func(t *testing.T) {
			tenant := limitedTenant("t", 100, 50)
			fleet := newTestFleet(t, []*config.Tenant{tenant}, "a", "b", "c")
			ending, other := firstAndLast(fleet, "t")
			fleet.sendRequests(t, other, tenant, 70, 3*time.Second)
			if leaves {
				if err := fleet.proxies[ending].limiter.Leave(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			fleet.proxies[ending].stop()
			fleet.network.Set(ending, nil)
			fleet.sendRequests(t, other, tenant, 70, time.Second)
			outcome := fleet.sendRequests(t, other, tenant, 70, 2*time.Second)
			if isServed := outcome.count(quota.Admitted) >= 130; isServed != leaves {
				t.Errorf("leaves %t: outcome of 140 requests within the limit: %v", leaves, outcome)
			}
		})
	}
}

// TestPausedLimiterUsesNoExpiredLease checks that a limiter that was paused for longer than its lease
// lasts admits nothing with that lease when it resumes, even though Run has not made another step yet.
func TestPausedLimiterUsesNoExpiredLease(t *testing.T) {
	for _, knobs := range []TestingKnobs{{}, {TakeAtLastStep: true}} {
		bubble.Test(t, func(t *testing.T) {
			tenant := limitedTenant("t", 100, 50)
			fleet := newTestFleetWith(t, knobs, []*config.Tenant{tenant}, "a")
			fleet.sendRequests(t, "a", tenant, 50, 2*time.Second)
			fleet.proxies["a"].stop()
			fleet.network.Set(allocatorHost, nil)
			time.Sleep(quota.DefaultTTL)
			taken := fleet.proxies["a"].limiter.Decide(t.Context(), "t", 1, time.Second)
			if used := taken.Admitted > 0; used != knobs.TakeAtLastStep {
				t.Errorf("knobs %+v: outcome %+v", knobs, taken)
			}
		})
	}
}

// firstAndLast returns the proxy that is the first limiter of a tenant, and
// one that is not a limiter of the tenant except as its own last candidate.
func firstAndLast(fleet *testFleet, tenant string) (first, last string) {
	candidates := fleet.proxies["a"].client.candidates.inOrder(time.Now(), tenant)
	first = candidates[0].Node
	for name := range fleet.proxies {
		if name != first && name != candidates[1].Node {
			last = name
		}
	}
	return first, last
}
