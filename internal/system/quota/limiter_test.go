package quota

import (
	"fmt"
	"testing"
	"time"
)

func TestTenantWithoutLimitNeedsNoLease(t *testing.T) {
	limiter := NewLimiter(LimiterOptions{Bounds: testBounds})
	if decision := limiter.Take(0, "free", Limit{}, 1000); decision != (Decision{Granted: 1000}) {
		t.Errorf("decision %+v, want all requests granted", decision)
	}
	if _, scheduled := limiter.NextCall(0); scheduled {
		t.Error("a call is due for a tenant without a limit")
	}
}

// TestWaitingIsBounded checks that at most a quarter of MaxWaiting requests wait for one tenant, and at most MaxWaiting in total.
func TestWaitingIsBounded(t *testing.T) {
	limiter := NewLimiter(LimiterOptions{Bounds: testBounds, MaxWaiting: 40})
	waiting := 0
	for i := range 10 {
		decision := limiter.Take(time.Second, fmt.Sprint("tenant-", i), Limit{RatePerSecond: 1}, 12)
		if decision.Waiting > 10 || decision.Waiting+decision.Unavailable != 12 {
			t.Errorf("decision %+v, want at most 10 requests waiting and the others unavailable", decision)
		}
		waiting += decision.Waiting
	}
	if waiting != 40 {
		t.Errorf("%d requests wait, want 40", waiting)
	}
	unavailable := 0
	for _, r := range limiter.Expire(time.Second + maxWait) {
		unavailable += r.Unavailable
	}
	if unavailable != 40 {
		t.Errorf("%d requests were unavailable after %v, want 40", unavailable, maxWait)
	}
}

func TestTenantsAreBoundedAndForgotten(t *testing.T) {
	limiter := NewLimiter(LimiterOptions{Bounds: testBounds, MaxTenants: 2})
	for i, want := range []int{1, 1, 0} {
		decision := limiter.Take(time.Second, fmt.Sprint("tenant-", i), Limit{RatePerSecond: 1}, 1)
		if decision.Waiting != want {
			t.Errorf("tenant %d: %d requests wait, want %d", i, decision.Waiting, want)
		}
	}
	limiter.Expire(2 * time.Second)
	for at := 20 * time.Second; at < 22*time.Second; at += renewInterval {
		if request, due := limiter.NextRequest(at); due {
			limiter.Receive(at, LeaseReply{Sequence: request.Sequence, Grants: []Grant{{Tenant: "tenant-0"}, {Tenant: "tenant-1"}}})
		}
	}
	if decision := limiter.Take(22*time.Second, "tenant-2", Limit{RatePerSecond: 1}, 1); decision.Waiting != 1 {
		t.Errorf("decision %+v: the tenants without demand were not deleted", decision)
	}
}

// TestLeavingLimiterFreesItsShares checks that the shares a leaving limiter returns can immediately be leased to another limiter.
func TestLeavingLimiterFreesItsShares(t *testing.T) {
	scenario := newScript(t, TestingKnobs{})
	node, leaving, other := scenario.allocator(0), scenario.limiter("leaving"), scenario.limiter("other")
	scenario.call(leaving, node, 10*time.Second, 10*time.Second)
	leaving.Take(10*time.Second, "second", scenario.limit, 3)
	request, resolutions := leaving.Leave(10100 * time.Millisecond)
	if len(resolutions) != 1 || resolutions[0].Unavailable != 3 {
		t.Errorf("resolutions %+v, want the 3 waiting requests unavailable", resolutions)
	}
	if decision := leaving.Take(10200*time.Millisecond, "tenant", scenario.limit, 1); decision.Unavailable != 1 {
		t.Errorf("decision %+v after leaving, want 1 request unavailable", decision)
	}
	node.Receive(10100*time.Millisecond, request, scenario.limits)
	scenario.call(other, node, 10200*time.Millisecond, 10200*time.Millisecond)
	if held := scenario.held(10200*time.Millisecond, other); held < leasableFraction-fractionRounding {
		t.Errorf("the other limiter holds %.2f of the limit, want everything that may be leased", held)
	}
}

// TestFailedCallIsRepeated checks that tokens for waiting requests are requested again after a failed call.
func TestFailedCallIsRepeated(t *testing.T) {
	scenario := newScript(t, TestingKnobs{})
	node, limiter := scenario.allocator(0), scenario.limiter("proxy")
	limiter.Take(10*time.Second, "tenant", scenario.limit, 5)
	first, _ := limiter.NextRequest(10 * time.Second)
	limiter.Fail(10050*time.Millisecond, first.Sequence)
	at, scheduled := limiter.NextCall(10050 * time.Millisecond)
	if !scheduled || at != 10050*time.Millisecond+tokenRetryDelay {
		t.Fatalf("next call at %v, scheduled %v, want it after askPause", at, scheduled)
	}
	second, due := limiter.NextRequest(at)
	if !due || second.Sequence != first.Sequence+1 || second.Demands[0].Waiting != 5 {
		t.Fatalf("second request %+v, due %v, want the next sequence and 5 waiting requests", second, due)
	}
	limiter.Receive(at, node.Receive(10*time.Second, first, scenario.limits))
	resolutions := limiter.Receive(at, node.Receive(at, second, scenario.limits))
	if len(resolutions) != 1 || resolutions[0].Granted != 5 {
		t.Errorf("resolutions %+v, want 5 granted", resolutions)
	}
}

func TestUsageDescribesHolders(t *testing.T) {
	scenario := newScript(t, TestingKnobs{})
	node, limiter := scenario.allocator(0), scenario.limiter("proxy")
	scenario.call(limiter, node, 10*time.Second, 10*time.Second)
	usages := node.Describe(12 * time.Second)
	if len(usages) != 1 || usages[0].Tenant != "tenant" || len(usages[0].Holders) != 1 {
		t.Fatalf("usages %+v, want one tenant with one holder", usages)
	}
	holder := usages[0].Holders[0]
	if holder.Limiter.Node != "proxy" || holder.Age != 2*time.Second || holder.Share != limiter.Held(12*time.Second, "tenant") {
		t.Errorf("holder %+v, want the limiter with its share and an age of 2 s", holder)
	}
	if usages[0].Leased != holder.Share {
		t.Errorf("leased share %+v, want the share of the only holder", usages[0].Leased)
	}
	if usage := node.Usage(16*time.Second, "tenant"); len(usage.Holders) != 0 {
		t.Errorf("usage %+v after the lease has expired, want no holders", usage)
	}
}

// TestAllocatorRejectsCallsBeforeItsTerm checks that an allocator that never began a term grants nothing.
func TestAllocatorRejectsCallsBeforeItsTerm(t *testing.T) {
	scenario := newScript(t, TestingKnobs{})
	node := NewAllocator(AllocatorOptions{Bounds: testBounds})
	request := LeaseRequest{Limiter: LimiterID{Node: "proxy"}, Sequence: 1, Demands: []Demand{{Tenant: "tenant", RatePerSecond: 5, Waiting: 1}}}
	if reply := node.Receive(time.Second, request, scenario.limits); !reply.Rejected || len(reply.Grants) != 0 {
		t.Errorf("reply %+v, want a rejection without grants", reply)
	}
}

// TestInvalidSharesAreIgnored checks that a call that reports an invalid held share gets no grant.
func TestInvalidSharesAreIgnored(t *testing.T) {
	scenario := newScript(t, TestingKnobs{})
	node := scenario.allocator(0)
	request := LeaseRequest{Limiter: LimiterID{Node: "proxy"}, Sequence: 1, Demands: []Demand{{Tenant: "tenant", Held: Share{Fraction: 1.5}}}}
	if reply := node.Receive(10*time.Second, request, scenario.limits); len(reply.Grants) != 0 {
		t.Errorf("reply %+v, want no grants", reply)
	}
}

// TestFirstWaiterIsAnnounced checks that requests that begin to wait while nothing is
// scheduled set NeedsLease, even though the call that they need was already wanted before.
func TestFirstWaiterIsAnnounced(t *testing.T) {
	limiter := NewLimiter(LimiterOptions{Bounds: testBounds})
	limit := Limit{RatePerSecond: 10, Burst: 10}
	limiter.Take(10*time.Second, "first", limit, 1)
	failed, _ := limiter.NextRequest(10 * time.Second)
	limiter.Fail(10050*time.Millisecond, failed.Sequence)
	limiter.Take(10060*time.Millisecond, "second", limit, 1)
	if request, due := limiter.NextRequest(10070 * time.Millisecond); !due || len(request.Demands) != 1 {
		t.Fatalf("request %+v, due %v, want one that names only the second tenant", request, due)
	}
	limiter.Expire(10500 * time.Millisecond)
	if at, scheduled := limiter.NextCall(10500 * time.Millisecond); scheduled {
		t.Fatalf("scheduled at %v, want nothing while the call is in flight", at)
	}
	if decision := limiter.Take(10510*time.Millisecond, "first", limit, 1); !decision.NeedsLease {
		t.Errorf("decision %+v: want NeedsLease for the request that waits", decision)
	}
}
