package quota

import (
	"testing"
	"time"
)

// TestLateReplyOfNewAllocator guards against renewing a share by a call that was sent before the lease expired. The
// limiter is paused, so that the reply arrives after the former allocator has leased the share to another limiter.
func TestLateReplyOfNewAllocator(t *testing.T) {
	withAndWithout(t, TestingKnobs{AcceptLateReplies: true}, func(scenario script) {
		const base = 10 * time.Second
		former := scenario.allocator(0)
		paused, other := scenario.limiter("paused"), scenario.limiter("other")
		scenario.call(paused, former, base, base)
		for at := base + 500*time.Millisecond; at < base+4500*time.Millisecond; at += 500 * time.Millisecond {
			paused.Take(at, "tenant", scenario.limit, 100)
			if request, due := paused.NextRequest(at); due {
				paused.Fail(at+400*time.Millisecond, request.Sequence)
			}
		}
		sentAt := base + 4990*time.Millisecond
		paused.Take(sentAt, "tenant", scenario.limit, 100)
		late, due := paused.NextRequest(sentAt)
		if !due {
			t.Fatal("no call is due before the lease expires")
		}
		scenario.call(other, former, base+5150*time.Millisecond, base+5150*time.Millisecond)
		successor := scenario.allocator(base + 4600*time.Millisecond)
		answeredAt := base + 6650*time.Millisecond
		paused.Receive(answeredAt, successor.Receive(answeredAt, late, scenario.limits))
		scenario.checkHeld(scenario.held(answeredAt, paused, other))
	})
}
