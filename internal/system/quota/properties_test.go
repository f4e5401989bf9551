package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawBounds(t *rapid.T) Bounds {
	return Bounds{
		Window: time.Duration(rapid.Int64Range(1, 60_000).Draw(t, "window ms")) * time.Millisecond,
		Excess: rapid.Float64Range(0, 1).Draw(t, "excess"),
		Slack:  rapid.Float64Range(0, 100).Draw(t, "slack"),
	}
}

func drawLimit(t *rapid.T) Limit {
	return Limit{RatePerSecond: rapid.Float64Range(0.01, 10_000).Draw(t, "rate"), Burst: rapid.Float64Range(0, 10_000).Draw(t, "burst")}
}

// TestBudgetStaysWithinBound checks that the tokens filled during a window and the lifetime
// of a one-shot token, plus the total bucket depth, sum to no more than the bound.
func TestBudgetStaysWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds, limit := drawBounds(t), drawLimit(t)
		filled := limit.RatePerSecond * (bounds.Window + bounds.TokenTTL()).Seconds()
		sum := filled + bounds.Depth(limit) + float64(bounds.ExtraTokens())
		if most := bounds.MaxAdmitted(limit); sum > most*(1+1e-9) {
			t.Fatalf("%.3f requests may be admitted, the bound is %.3f", sum, most)
		}
	})
}

// TestBucketGivesAtMostHeldAndFilled checks that no sequence of operations takes
// more tokens from a bucket than it held at the start plus what its rates filled.
func TestBucketGivesAtMostHeldAndFilled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		subject := bucket{level: 10, depth: 10, rate: 1}
		now, allowed, taken := time.Duration(0), 10.0, 0
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			elapsed := time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "elapsed"))
			now += elapsed
			allowed += subject.rate * elapsed.Seconds()
			if rapid.Bool().Draw(t, "resize") {
				subject.resize(now, rapid.Float64Range(0, 20).Draw(t, "rate"), rapid.Float64Range(0, 20).Draw(t, "depth"))
			}
			subject.fill(now)
			taken += subject.take(rapid.IntRange(0, 30).Draw(t, "count"))
			if float64(taken) > allowed+1e-6 {
				t.Fatalf("%d tokens taken, but only %.3f held and filled", taken, allowed)
			}
			if subject.level < 0 || subject.level > subject.depth {
				t.Fatalf("bucket level %.3f is outside 0 to the depth %.3f", subject.level, subject.depth)
			}
		}
	})
}

// TestAllocatorStaysWithinLeasableShare checks that the outstanding shares stay within
// what may be leased, whichever of their grants limiters report as held.
func TestAllocatorStaysWithinLeasableShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := drawLimit(t)
		node := NewAllocator(AllocatorOptions{Bounds: testBounds})
		node.Begin(0)
		now := 10 * time.Second
		held := map[string]Share{}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "elapsed"))
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "limiter")
			reply := node.Receive(now, LeaseRequest{
				Limiter:  LimiterID{Node: name, Incarnation: 1},
				Sequence: uint64(step + 1),
				Demands:  []Demand{{Tenant: "x", RatePerSecond: rapid.Float64Range(0, 20_000).Draw(t, "demand"), Held: held[name]}},
			}, func(string) (Limit, bool) { return limit, true })
			held[name] = Share{}
			if rapid.Bool().Draw(t, "reply arrives") {
				held[name] = reply.Grants[0].Share
			}
			leased := node.Usage(now, "x").Leased
			if leased.Fraction > leasableFraction+fractionRounding || leased.Extra > testBounds.leasableExtra() {
				t.Fatalf("outstanding share %+v exceeds what may be leased", leased)
			}
		}
	})
}
