package balance

import (
	"testing"
	"time"
)

// sendsWhileWarmingUp simulates a burst on two warm endpoints, which take 20 ms per request, and a freshly started one. It
// returns the maximum number of sends that the latter gets within any OverloadTime, and how many it may get from this sidecar.
func sendsWhileWarmingUp(t *testing.T, peers int, retries bool) (maxSends int, budget float64) {
	t.Helper()
	set := settings()
	set.PeerCount = peers
	list := []Endpoint{{ID: "a", Zone: "x", Kind: "big", Size: 1}, {ID: "b", Zone: "x", Kind: "big", Size: 1}}
	b, recorder := start(t, set, list)
	id := RequestID(0)
	step := func(n int) {
		recorder.now += 20 * time.Millisecond
		for range n {
			id++
			b.Request(recorder.now, Request{ID: id, Tenant: -1, TimeLeft: 3 * time.Second})
		}
	}
	for range 200 {
		step(2)
		sent := recorder.sent
		recorder.sent = nil
		for _, s := range sent {
			b.Result(recorder.now+20*time.Millisecond, Result{ID: s.id, Endpoint: s.to, Latency: 20 * time.Millisecond, Finished: true})
		}
	}
	b.Endpoints(recorder.now, ListChanges, []Endpoint{{ID: "c", Zone: "x", Kind: "big", Size: 1, Started: recorder.now}})
	var cold []Time
	for range 50 {
		step(20)
		for n := 0; n < len(recorder.sent); n++ {
			if recorder.sent[n].to == "c" {
				cold = append(cold, recorder.now)
				if retries {
					b.Result(recorder.now, Result{ID: recorder.sent[n].id, Endpoint: "c", Outcome: Saturated})
				}
			}
		}
		recorder.sent = recorder.sent[:0]
	}
	maxSends = maxWithin(cold, set.OverloadTime)
	// At the end of the second its share of capacity is a little higher than at the start.
	share := set.StartCapacity + (1-set.StartCapacity)*1.0/set.WarmUpTime.Seconds()
	return maxSends, set.OverloadMultiple * share * 50 * set.OverloadTime.Seconds() / float64(peers)
}

// maxWithin returns the maximum number of the times, which must be ascending, that lie within any period of the given length.
func maxWithin(times []Time, length time.Duration) (most int) {
	for i, from := range times {
		count := 0
		for _, at := range times[i:] {
			if at-from < length {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

func TestWarmUpBudget(t *testing.T) {
	for _, peers := range []int{1, 2, 5} {
		for _, retries := range []bool{false, true} {
			maxSends, budget := sendsWhileWarmingUp(t, peers, retries)
			if float64(maxSends) > max(budget, 1) || maxSends == 0 {
				t.Errorf("%d peers, retries %v: %d sends to the cold endpoint within OverloadTime, want 1 to %.1f", peers, retries, maxSends, budget)
			}
		}
	}
}
