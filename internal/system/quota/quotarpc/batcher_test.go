package quotarpc

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/quota"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// countingLimiter makes random decisions and counts them.
type countingLimiter struct {
	random *rand.Rand // needs no lock, because the batcher makes one call per tenant at a time
	calls  int
	asked  int
	said   Taken
}

func (l *countingLimiter) take(_ string, count int) Taken {
	time.Sleep(time.Duration(l.random.IntN(20)) * time.Millisecond)
	taken := Taken{Admitted: l.random.IntN(count + 1)}
	taken.OverLimit = l.random.IntN(count - taken.Admitted + 1)
	taken.Unavailable = count - taken.Admitted - taken.OverLimit
	l.calls++
	l.asked += count
	l.said = l.said.plus(taken)
	return taken
}

// playBatches sends requests of one tenant at random times, and returns the limiter's decisions and the verdicts on the requests.
func playBatches(t *testing.T, seed uint64, knobs TestingKnobs) (*countingLimiter, *verdicts) {
	t.Helper()
	const requests = 300
	limiter := &countingLimiter{random: rand.New(rand.NewPCG(seed, 1))}
	batches := newBatcher(limiter.take, knobs)
	random := rand.New(rand.NewPCG(seed, 2))
	var outcome verdicts
	var wg sync.WaitGroup
	for range requests {
		wg.Go(func() { outcome.add(batches.admit(t.Context(), "t").Verdict) })
		time.Sleep(time.Duration(random.IntN(5)) * time.Millisecond)
	}
	wg.Wait()
	batches.close()
	if limiter.asked != requests {
		t.Errorf("seed %d: the limiter was asked about %d of %d requests", seed, limiter.asked, requests)
	}
	return limiter, &outcome
}

// TestBatchesCountEachRequestOnce checks that the verdicts on requests add up
// to exactly what the limiter decided, in fewer calls than there are requests.
func TestBatchesCountEachRequestOnce(t *testing.T) {
	for seed := range uint64(20) {
		bubble.Test(t, func(t *testing.T) {
			limiter, outcome := playBatches(t, seed, TestingKnobs{})
			got := Taken{Admitted: outcome.count(quota.Admitted), OverLimit: outcome.count(quota.OverLimit), Unavailable: outcome.count(quota.Unavailable)}
			if got != limiter.said {
				t.Errorf("seed %d: the limiter decided %+v, but the requests got %+v", seed, limiter.said, got)
			}
			if limiter.calls >= limiter.asked {
				t.Errorf("seed %d: %d calls for %d requests", seed, limiter.calls, limiter.asked)
			}
		})
	}
}

// TestBatchesControl checks that if entire batches are admitted, more requests are admitted than the limiter has counted.
func TestBatchesControl(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		limiter, outcome := playBatches(t, 1, TestingKnobs{AdmitEntireBatch: true})
		if outcome.count(quota.Admitted) <= limiter.said.Admitted {
			t.Errorf("requests got %v, the limiter decided %+v, want more requests admitted", outcome, limiter.said)
		}
	})
}

// TestCancelledRequestsAreNotAskedFor checks that a request that is cancelled while it waits for the next call costs no token.
func TestCancelledRequestsAreNotAskedFor(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		asked := 0
		batches := newBatcher(func(_ string, count int) Taken {
			asked += count
			time.Sleep(100 * time.Millisecond)
			return Taken{Admitted: count}
		}, TestingKnobs{})
		var wg sync.WaitGroup
		wg.Go(func() { batches.admit(t.Context(), "t") })
		time.Sleep(10 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		if admission := batches.admit(ctx, "t"); admission.Verdict != quota.Unavailable {
			t.Errorf("verdict on the cancelled request: %v, want unavailable", admission.Verdict)
		}
		wg.Wait()
		batches.close()
		if asked != 1 {
			t.Errorf("the limiter was asked about %d requests, want 1", asked)
		}
	})
}

// TestWaitingRequestsAreBounded checks that requests beyond maxWaitingPerTenant are rejected immediately.
func TestWaitingRequestsAreBounded(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		batches := newBatcher(func(_ string, count int) Taken {
			time.Sleep(time.Second)
			return Taken{Admitted: count}
		}, TestingKnobs{})
		var outcome verdicts
		var wg sync.WaitGroup
		wg.Go(func() { outcome.add(batches.admit(t.Context(), "t").Verdict) })
		time.Sleep(time.Millisecond)
		for range maxWaitingPerTenant + 5 {
			wg.Go(func() { outcome.add(batches.admit(t.Context(), "t").Verdict) })
		}
		wg.Wait()
		batches.close()
		if outcome.count(quota.Unavailable) != 5 || outcome.count(quota.Admitted) != maxWaitingPerTenant+1 {
			t.Errorf("outcome %v, want 5 requests unavailable and the others admitted", &outcome)
		}
	})
}
