package quota

import (
	"slices"
	"testing"
	"time"
)

// resumed returns an allocator whose former process may have leased to limiters of some nodes.
func (s script) resumed(begin time.Duration, nodes ...string) *Allocator {
	node := NewAllocator(AllocatorOptions{Bounds: testBounds, Knobs: s.knobs})
	node.Resume(begin, nodes)
	return node
}

// TestRestartedAllocatorWaitsForHolders: an allocator that is started anew leases nothing while a limiter that may hold a lease has not told.
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

// TestRestartedAllocatorKnowsAllOnceAllTold: with all limiters started anew nothing is outstanding, and an allocator that has heard so from each
// leases at once.
func TestRestartedAllocatorKnowsAllOnceAllTold(t *testing.T) {
	played := newScript(t, TestingKnobs{})
	restarted := played.resumed(10*time.Second, "a", "b")
	a, b := played.limiter("a"), played.limiter("b")
	b.Announce(true)
	played.call(a, restarted, 10100*time.Millisecond, 10110*time.Millisecond)
	if !restarted.Learning(10110*time.Millisecond) || !slices.Equal(restarted.HolderNodes(), []string{"a", "b"}) {
		t.Errorf("learning %v, holders %q, with one of two limiters unheard", restarted.Learning(10110*time.Millisecond), restarted.HolderNodes())
	}
	request, due := b.NextRequest(10200 * time.Millisecond)
	if !due || !request.Complete {
		t.Fatalf("a limiter that announces itself: due %v, complete %v", due, request.Complete)
	}
	restarted.Receive(10200*time.Millisecond, request, played.limits)
	played.call(a, restarted, 10500*time.Millisecond, 10510*time.Millisecond)
	if sum := played.held(10510*time.Millisecond, a, b); sum < 0.5 {
		t.Errorf("%.2f of the limit is held after all limiters have told", sum)
	}
}

// TestLimiterTellsAllToLearningAllocator: a call that names some leases only is followed at once by one that names all.
func TestLimiterTellsAllToLearningAllocator(t *testing.T) {
	played := newScript(t, TestingKnobs{})
	limiter := played.limiter("a")
	for _, tenant := range []string{"t1", "t2"} {
		limiter.Take(time.Second, tenant, played.limit, 1)
	}
	first, _ := limiter.NextRequest(time.Second)
	grants := []Grant{{Tenant: "t1", Share: Share{Fraction: 0.2}}, {Tenant: "t2", Share: Share{Fraction: 0.2}}}
	limiter.Receive(time.Second, LeaseReply{Sequence: first.Sequence, Grants: grants, TTL: DefaultTTL})
	limiter.Take(1100*time.Millisecond, "t1", played.limit, 50)
	partial, due := limiter.NextRequest(1100 * time.Millisecond)
	if !due || partial.Complete {
		t.Fatalf("due %v, complete %v with %d of 2 leases", due, partial.Complete, len(partial.Demands))
	}
	limiter.Receive(1110*time.Millisecond, LeaseReply{Sequence: partial.Sequence, Learning: true})
	whole, due := limiter.NextRequest(1150 * time.Millisecond)
	if !due || !whole.Complete || len(whole.Demands) != 2 {
		t.Errorf("due %v, complete %v with %d of 2 leases", due, whole.Complete, len(whole.Demands))
	}
}

// TestRemovedNodeIsAwaitedOnce guards against a roster that names a node for good: what it held has ended when the grace period has.
func TestRemovedNodeIsAwaitedOnce(t *testing.T) {
	played := newScript(t, TestingKnobs{})
	restarted := played.resumed(0, "gone")
	for second := range 10 {
		request := LeaseRequest{Limiter: LimiterID{Node: "here"}, Sequence: uint64(second + 1), Complete: true}
		restarted.Receive(time.Duration(second)*time.Second, request, played.limits)
	}
	if nodes := restarted.HolderNodes(); !slices.Equal(nodes, []string{"here"}) {
		t.Errorf("leases may be outstanding at %q after 9 s", nodes)
	}
}
