package quota

import (
	"testing"
	"time"
)

// TestLateReplyOfNewAllocator guards against renewing a share by a call that was sent before the lease expired. The
// limiter is paused, so that the reply arrives after the former allocator has leased the share to another limiter.
func TestLateReplyOfNewAllocator(t *testing.T) {
	withAndWithout(t, TestingKnobs{TakeLateReplies: true}, func(played script) {
		const base = 10 * time.Second
		former := played.allocator(0)
		paused, other := played.limiter("paused"), played.limiter("other")
		played.call(paused, former, base, base)
		for at := base + 500*time.Millisecond; at < base+4500*time.Millisecond; at += 500 * time.Millisecond {
			paused.Take(at, "tenant", played.limit, 100)
			if request, due := paused.NextRequest(at); due {
				paused.Fail(at+400*time.Millisecond, request.Sequence)
			}
		}
		sentAt := base + 4990*time.Millisecond
		paused.Take(sentAt, "tenant", played.limit, 100)
		late, due := paused.NextRequest(sentAt)
		if !due {
			t.Fatal("no call is due before the lease expires")
		}
		played.call(other, former, base+5150*time.Millisecond, base+5150*time.Millisecond)
		successor := played.allocator(base + 4600*time.Millisecond)
		answeredAt := base + 6650*time.Millisecond
		paused.Receive(answeredAt, successor.Receive(answeredAt, late, played.limits))
		played.checkHeld(played.held(answeredAt, paused, other))
	})
}
