package quota

import (
	"slices"
	"testing"
	"time"
)

// resumed returns an allocator whose previous process may have granted leases to limiters of the given nodes.
func (s script) resumed(begin time.Duration, nodes ...string) *Allocator {
	node := NewAllocator(AllocatorOptions{Bounds: testBounds, Knobs: s.knobs})
	node.Resume(begin, nodes)
	return node
}

// TestRestartedAllocatorWaitsForHolders checks that a restarted allocator leases
// nothing until every limiter that may hold a lease has reported what it holds.
func TestRestartedAllocatorWaitsForHolders(t *testing.T) {
	withAndWithout(t, TestingKnobs{ForgetAwaited: true}, func(s script) {
		former := s.allocator(0)
		holder, other := s.limiter("holder"), s.limiter("other")
		s.call(holder, former, 10*time.Second, 10*time.Second)
		restarted := s.resumed(10500*time.Millisecond, "holder", "other")
		s.call(other, restarted, 10600*time.Millisecond, 10610*time.Millisecond)
		s.call(other, restarted, 11600*time.Millisecond, 11610*time.Millisecond)
		s.checkHeld(s.held(11610*time.Millisecond, holder, other))
	})
}

// TestRestartedAllocatorLeasesAfterAllReports checks that an allocator leases immediately once each
// limiter has reported what it holds. All limiters have restarted, so nothing is outstanding.
func TestRestartedAllocatorLeasesAfterAllReports(t *testing.T) {
	scenario := newScript(t, TestingKnobs{})
	restarted := scenario.resumed(10*time.Second, "a", "b")
	limiterA, limiterB := scenario.limiter("a"), scenario.limiter("b")
	limiterB.Announce(true)
	scenario.call(limiterA, restarted, 10100*time.Millisecond, 10110*time.Millisecond)
	if !restarted.Learning(10110*time.Millisecond) || !slices.Equal(restarted.HolderNodes(), []string{"a", "b"}) {
		t.Errorf("learning %v, holders %q before the second of two limiters has reported",
			restarted.Learning(10110*time.Millisecond), restarted.HolderNodes())
	}
	request, due := limiterB.NextRequest(10200 * time.Millisecond)
	if !due || !request.Complete {
		t.Fatalf("call of a limiter that announces itself: due %v, complete %v, want both true", due, request.Complete)
	}
	restarted.Receive(10200*time.Millisecond, request, scenario.limits)
	scenario.call(limiterA, restarted, 10500*time.Millisecond, 10510*time.Millisecond)
	if sum := scenario.held(10510*time.Millisecond, limiterA, limiterB); sum < 0.5 {
		t.Errorf("%.2f of the limit is held after all limiters have reported, want at least 0.5", sum)
	}
}

// TestLimiterReportsAllLeasesToLearningAllocator checks that a call that names only some
// leases is immediately followed by one that names all, if the allocator is learning.
func TestLimiterReportsAllLeasesToLearningAllocator(t *testing.T) {
	scenario := newScript(t, TestingKnobs{})
	limiter := scenario.limiter("a")
	for _, tenant := range []string{"t1", "t2"} {
		limiter.Take(time.Second, tenant, scenario.limit, 1)
	}
	first, _ := limiter.NextRequest(time.Second)
	grants := []Grant{{Tenant: "t1", Share: Share{Fraction: 0.2}}, {Tenant: "t2", Share: Share{Fraction: 0.2}}}
	limiter.Receive(time.Second, LeaseReply{Sequence: first.Sequence, Grants: grants, TTL: DefaultTTL})
	limiter.Take(1100*time.Millisecond, "t1", scenario.limit, 50)
	partial, due := limiter.NextRequest(1100 * time.Millisecond)
	if !due || partial.Complete {
		t.Fatalf("first call: due %v, complete %v with %d of 2 leases, want it due and not complete", due, partial.Complete, len(partial.Demands))
	}
	limiter.Receive(1110*time.Millisecond, LeaseReply{Sequence: partial.Sequence, Learning: true})
	complete, due := limiter.NextRequest(1150 * time.Millisecond)
	if !due || !complete.Complete || len(complete.Demands) != 2 {
		t.Errorf("second call: due %v, complete %v with %d of 2 leases, want it due and complete", due, complete.Complete, len(complete.Demands))
	}
}

// TestRemovedNodeIsAwaitedOnce guards against a roster that names a removed node
// forever. The leases of that node have expired by the end of the grace period.
func TestRemovedNodeIsAwaitedOnce(t *testing.T) {
	scenario := newScript(t, TestingKnobs{})
	restarted := scenario.resumed(0, "gone")
	for second := range 10 {
		request := LeaseRequest{Limiter: LimiterID{Node: "here"}, Sequence: uint64(second + 1), Complete: true}
		restarted.Receive(time.Duration(second)*time.Second, request, scenario.limits)
	}
	if nodes := restarted.HolderNodes(); !slices.Equal(nodes, []string{"here"}) {
		t.Errorf("leases may be outstanding at %q after 9 s, want only at the node that called", nodes)
	}
}
