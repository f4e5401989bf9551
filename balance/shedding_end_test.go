package balance

import (
	"fmt"
	"testing"
	"time"
)

// TestSheddingEndsWithOverload has endpoints that answer at once after a jam in which the lesser class came to seem heavy: it is
// refused for no longer than lesser classes give way for, though its answers have not told better yet; and so is one that is
// worth so little that its bar lies under what an idle server takes.
func TestSheddingEndsWithOverload(t *testing.T) {
	for _, worth := range []float64{1, 1e-4} {
		known := worth == 1 // what the lesser class takes
		set := settings()
		set.Classes = append(set.Classes, set.Classes[0])
		set.Classes[0].Value, set.Classes[1].Value = worth, 3
		var list []Endpoint
		for i := range 8 {
			list = append(list, Endpoint{ID: fmt.Sprint("e", i), Zone: "x", Kind: "big", Size: 1})
		}
		b, h := start(t, set, list)
		ids := RequestID(0)
		play := func(class int, took time.Duration) (refused bool) {
			ids++
			b.Request(h.now, Request{ID: ids, Class: class, Tenant: -1, TimeLeft: 3 * time.Second})
			h.now += 10 * time.Millisecond
			if len(h.sent) == 0 {
				return true
			}
			b.Result(h.now, Result{ID: ids, Endpoint: h.sent[0].to, Latency: took, Finished: true})
			h.sent = nil
			return false
		}
		for i := range 400 { // the jam: the lesser class is slow
			play(i%2, []time.Duration{2 * time.Second, 30 * time.Millisecond}[i%2])
		}
		if known && b.meanSeconds[0] < 20*b.meanSeconds[1] {
			t.Fatalf("the jam taught %.3f", b.meanSeconds)
		}
		if known {
			for range 400 {
				play(1, 30*time.Millisecond)
			}
			if b.meanSeconds[0] > 3*b.meanSeconds[1] {
				t.Errorf("after 400 answers of the other class the lesser one still seems to take %.3f s, the other %.3f s", b.meanSeconds[0], b.meanSeconds[1])
			}
		}
		began, late, refused := h.now, 0, 0
		for b.sheddingUntil = h.now + memoryTTL; h.now < began+3*memoryTTL; {
			if h.now%tickInterval == 0 {
				b.Timer(h.now, tickToken)
			}
			play(1, 30*time.Millisecond)
			if play(0, 30*time.Millisecond) {
				refused++
				if h.now > began+memoryTTL+tickInterval {
					late++
				}
			}
		}
		if late > 0 {
			t.Errorf("worth %v: %d refused after lesser classes gave way for %v", worth, late, memoryTTL)
		}
		if known && refused > 0 {
			t.Errorf("%d refused while tight, though it takes no longer than the other", refused)
		}
	}
}
