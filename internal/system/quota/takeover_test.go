package quota

import (
	"testing"
	"time"
)

// script drives limiters and allocators step by step, all with the same clock.
type script struct {
	t     *testing.T
	limit Limit
	knobs TestingKnobs
}

func newScript(t *testing.T, knobs TestingKnobs) script {
	return script{t: t, limit: Limit{RatePerSecond: 100, Burst: 100}, knobs: knobs}
}

func (s script) allocator(begin time.Duration) *Allocator {
	node := NewAllocator(AllocatorOptions{Bounds: testBounds, Knobs: s.knobs})
	node.Begin(begin)
	return node
}

func (s script) limiter(name string) *Limiter {
	return NewLimiter(LimiterOptions{ID: LimiterID{Node: name, Incarnation: 1}, Bounds: testBounds, Knobs: s.knobs})
}

func (s script) limits(string) (Limit, bool) { return s.limit, true }

// call makes a limiter request far more than the limit at time sent and receive the reply at time arrived.
func (s script) call(from *Limiter, to *Allocator, sent, arrived time.Duration) []Resolution {
	s.t.Helper()
	from.Take(sent, "tenant", s.limit, 200)
	request, due := from.NextRequest(sent)
	if !due {
		s.t.Fatalf("no call is due at %v", sent)
	}
	return from.Receive(arrived, to.Receive(sent, request, s.limits))
}

// held returns the sum of the fractions that the limiters hold.
func (s script) held(now time.Duration, limiters ...*Limiter) float64 {
	sum := 0.0
	for _, l := range limiters {
		sum += l.Held(now, "tenant").Fraction
	}
	return sum
}

// checkHeld fails the test if the held fractions exceed what may be leased although
// all protections are enabled, or do not exceed it although one is disabled.
func (s script) checkHeld(sum float64) {
	s.t.Helper()
	broken := sum > leasableFraction+fractionRounding
	if protected := s.knobs == (TestingKnobs{}); protected == broken {
		s.t.Errorf("%.2f of the limit is held, protected: %v", sum, protected)
	}
}

// withAndWithout runs a script once with all protections and once with one of them disabled.
func withAndWithout(t *testing.T, without TestingKnobs, run func(script)) {
	t.Run("protected", func(t *testing.T) { run(newScript(t, TestingKnobs{})) })
	t.Run("unprotected", func(t *testing.T) { run(newScript(t, without)) })
}

// TestNewAllocatorWaitsForHandover checks that a limiter partitioned from the former allocator is not renewed by the
// successor while the former one, which has seen the lease expire, can still lease the share to another limiter.
func TestNewAllocatorWaitsForHandover(t *testing.T) {
	withAndWithout(t, TestingKnobs{NoHandover: true}, func(s script) {
		former := s.allocator(0)
		cutOff, other := s.limiter("cut-off"), s.limiter("other")
		s.call(cutOff, former, 10*time.Second, 10*time.Second)
		successor := s.allocator(14900 * time.Millisecond)
		s.call(cutOff, successor, 14950*time.Millisecond, 14960*time.Millisecond)
		s.call(other, former, 15200*time.Millisecond, 15210*time.Millisecond)
		s.checkHeld(s.held(15210*time.Millisecond, cutOff, other))
	})
}

// TestLeaseCountsFromSending checks that the longer a reply takes to arrive, the shorter its lease lasts.
func TestLeaseCountsFromSending(t *testing.T) {
	withAndWithout(t, TestingKnobs{LateExpiry: true}, func(s script) {
		node := s.allocator(0)
		slow, other := s.limiter("slow"), s.limiter("other")
		s.call(slow, node, 10*time.Second, 10290*time.Millisecond)
		s.call(other, node, 15150*time.Millisecond, 15160*time.Millisecond)
		s.checkHeld(s.held(15160*time.Millisecond, slow, other))
	})
}

// TestLateTokensAreDropped checks that one-shot tokens that arrive later than Bounds.TokenTTL after the call was sent are not used.
func TestLateTokensAreDropped(t *testing.T) {
	withAndWithout(t, TestingKnobs{KeepTokens: true}, func(s script) {
		resolutions := s.call(s.limiter("slow"), s.allocator(0), 10*time.Second, 10301*time.Millisecond)
		granted := 0
		for _, r := range resolutions {
			granted += r.Granted
		}
		if kept := granted > 0; kept != s.knobs.KeepTokens {
			t.Errorf("%d requests admitted by late tokens", granted)
		}
	})
}

// TestLowerLimitEmptiesBuckets checks that tokens that a bucket gained under a higher limit are not spent under a lower one.
func TestLowerLimitEmptiesBuckets(t *testing.T) {
	withAndWithout(t, TestingKnobs{IgnoreLimitChange: true}, func(s script) {
		limiter, node := s.limiter("hot"), s.allocator(0)
		s.call(limiter, node, 10*time.Second, 10*time.Second)
		limiter.Take(12*time.Second, "tenant", s.limit, 1)
		lower := Limit{RatePerSecond: 3, Burst: 3}
		admitted := limiter.Take(12*time.Second, "tenant", lower, 200).Granted
		if broken := float64(admitted) > testBounds.MaxAdmitted(lower); broken != s.knobs.IgnoreLimitChange {
			t.Errorf("%d requests admitted, the bound is %.1f", admitted, testBounds.MaxAdmitted(lower))
		}
	})
}

// TestGraceServesFromReserve checks that a successor that does not know yet
// what is outstanding still gives tokens from the part that is never leased.
func TestGraceServesFromReserve(t *testing.T) {
	s := newScript(t, TestingKnobs{})
	node := s.allocator(0)
	limiter := s.limiter("new")
	resolutions := s.call(limiter, node, HandoverTime+2*time.Second, HandoverTime+2050*time.Millisecond)
	resolutions = append(resolutions, limiter.Expire(HandoverTime+3*time.Second)...)
	// In the 2 s since the handover ended, the reserve has filled to its depth.
	reserve := int(allocatorFraction*testBounds.Depth(s.limit)) + testBounds.ExtraTokens() - testBounds.leasableExtra()
	if len(resolutions) != 1 || resolutions[0].Granted != reserve || resolutions[0].Unavailable != 200-reserve {
		t.Errorf("resolutions %+v, want %d requests granted and the others unavailable", resolutions, reserve)
	}
	if held := limiter.Held(HandoverTime+2050*time.Millisecond, "tenant"); !held.IsZero() {
		t.Errorf("share %+v was leased during the grace period", held)
	}
}

// TestRestartedLimiterKeepsLeasesOfEarlierRun checks that the leases of an earlier run
// of a process stay outstanding until they expire, because that run may still be active.
func TestRestartedLimiterKeepsLeasesOfEarlierRun(t *testing.T) {
	s := newScript(t, TestingKnobs{})
	node := s.allocator(0)
	former := s.limiter("proxy")
	s.call(former, node, 10*time.Second, 10*time.Second)
	restarted := NewLimiter(LimiterOptions{ID: LimiterID{Node: "proxy", Incarnation: 2}, Bounds: testBounds})
	s.call(restarted, node, 12*time.Second, 12*time.Second)
	s.checkHeld(s.held(12*time.Second, former, restarted))
	s.call(restarted, node, 15200*time.Millisecond, 15200*time.Millisecond)
	if held := s.held(15200*time.Millisecond, restarted); held < 0.5 {
		t.Errorf("the restarted limiter holds %.2f of the limit after the lease of its earlier run has expired, want at least 0.5", held)
	}
}
