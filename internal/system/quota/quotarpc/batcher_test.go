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
	random  *rand.Rand // needs no lock, because the batcher makes one call per tenant at a time
	calls   int
	asked   int
	decided TakeResult
}

func (l *countingLimiter) take(_ string, count int) TakeResult {
	time.Sleep(time.Duration(l.random.IntN(20)) * time.Millisecond)
	taken := TakeResult{Admitted: l.random.IntN(count + 1)}
	taken.OverLimit = l.random.IntN(count - taken.Admitted + 1)
	taken.Unavailable = count - taken.Admitted - taken.OverLimit
	l.calls++
	l.asked += count
	l.decided = l.decided.plus(taken)
	return taken
}

// runBatches sends requests of one tenant at random times, and returns the limiter's decisions and the verdicts on the requests.
func runBatches(t *testing.T, seed uint64, knobs TestingKnobs) (*countingLimiter, *verdicts) {
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
			limiter, outcome := runBatches(t, seed, TestingKnobs{})
			got := TakeResult{Admitted: outcome.count(quota.Admitted), OverLimit: outcome.count(quota.OverLimit), Unavailable: outcome.count(quota.Unavailable)}
			if got != limiter.decided {
				t.Errorf("seed %d: the limiter decided %+v, but the requests got %+v", seed, limiter.decided, got)
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
		limiter, outcome := runBatches(t, 1, TestingKnobs{AdmitEntireBatch: true})
		if outcome.count(quota.Admitted) <= limiter.decided.Admitted {
			t.Errorf("requests got %v, the limiter decided %+v, want more requests admitted", outcome, limiter.decided)
		}
	})
}

// TestCancelledRequestsAreNotAskedFor checks that a request that is cancelled while it waits for the next call costs no token.
func TestCancelledRequestsAreNotAskedFor(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		asked := 0
		batches := newBatcher(func(_ string, count int) TakeResult {
			asked += count
			time.Sleep(100 * time.Millisecond)
			return TakeResult{Admitted: count}
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
		batches := newBatcher(func(_ string, count int) TakeResult {
			time.Sleep(time.Second)
			return TakeResult{Admitted: count}
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
