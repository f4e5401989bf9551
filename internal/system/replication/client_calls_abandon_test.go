package replication

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// TestAbandonedCallIsNotResent cancels the caller's context while the head is unreachable. It guards against a node that keeps
// sending the change to the current head, until a deadline that its caller does not wait for.
func TestAbandonedCallIsNotResent(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		group := newFleet(t)
		nodes := map[string]*Node{}
		for _, a := range group.seeds {
			nodes[a] = group.start(a, true)
		}
		time.Sleep(3 * time.Second) // of the bubble's clock
		v := nodes[group.seeds[0]].View()
		head, _ := v.Voter(v.Head())
		at := group.seeds[0]
		if head.Addr == at {
			at = group.seeds[1]
		}
		k := nodes[at]
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		group.net.Set(head.Addr, nil)
		go func() {
			time.Sleep(100 * time.Millisecond)
			cancel()
		}()
		if _, err := k.Submit(ctx, evacuate("a")); !errors.Is(err, ErrUnavailable) || errors.Is(err, ErrNotApplied) {
			t.Errorf("an abandoned change ended with %v", err)
		}
		k.mu.Lock()
		left := len(k.core.calls.submits)
		k.mu.Unlock()
		if left != 0 {
			t.Errorf("%d changes are still pending", left)
		}
		for _, a := range group.seeds {
			nodes[a].Stop()
		}
	})
}
