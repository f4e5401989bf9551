package proxy

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// stalledPicker returns the picker of one of twelve proxies. It knows two servers, which accept 31 requests per second while they are
// warming up.
func stalledPicker() (*lockedPicker, *pick.Request, pick.ClusterState) {
	route := &config.Route{Host: "h", Prefix: "/", MaxAttempts: 2, Category: config.Idempotent, Shares: []config.Share{{Service: "a", Weight: 1}}}
	state := pick.ClusterState{Self: "p00", Config: &config.Config{Routes: []*config.Route{route},
		Services: map[string]*config.Service{"a": {Name: "a", WarmUpRequestsPerSecond: 31, WarmUpTime: 3 * time.Second}}}}
	for i := range 12 {
		state.Peers = append(state.Peers, "p"+string(rune('0'+i/10))+string(rune('0'+i%10)))
	}
	for _, id := range []string{"s0", "s1"} {
		state.Servers = append(state.Servers, pick.Server{ID: id, Service: "a", Zone: "z", Slots: 1000})
	}
	locked := newLockedPicker(pick.New(pick.Settings{Zone: "z", Region: "r", WarmUpExcess: 1.5, WarmUpSlack: 5}), nil)
	locked.stalls.enabled = true
	return locked, &pick.Request{Route: route, TimeLeft: 5 * time.Second}, state
}

// stallTime is how long the process stalls in these tests.
const stallTime = 5 * time.Second

// stall lets stallTime pass without a call, as if the process were stopped.
func stall(p *lockedPicker) { p.start = p.start.Add(-stallTime) }

// chooseMany asks for a server for the given number of simultaneous requests, and returns how many each server gets.
func chooseMany(p *lockedPicker, r *pick.Request, requests int) map[string]int {
	got := map[string]int{}
	for range requests {
		one := *r
		if c := p.Pick(&one, nil, false); c.Decision == pick.Send {
			got[c.Server.ID]++
		}
	}
	return got
}

// TestWarmUpRateHoldsAfterStall covers a process that stalls for 5 s and has 100 requests in its sockets afterwards. Danger: its
// servers may be new and warming up, which it cannot know before an update from the control plane.
func TestWarmUpRateHoldsAfterStall(t *testing.T) {
	locked, r, w := stalledPicker()
	locked.UpdateClusterState(time.Now(), w)
	if got := chooseMany(locked, r, 10); got["s0"]+got["s1"] != 10 {
		t.Fatalf("before the stall %v of 10 requests were sent", got)
	}
	stall(locked)
	for id, n := range chooseMany(locked, r, 100) {
		if n > 4 {
			t.Errorf("server %s got %d simultaneous requests without an update that says whether it is warming up", id, n)
		}
	}
}

// TestRequestsAwaitContactAfterStall checks that after a stall requests wait for an update that the control plane sent after the
// stall; an earlier update does not count.
func TestRequestsAwaitContactAfterStall(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		locked, r, w := stalledPicker()
		asked := 0
		locked.onStall = func() { asked++ }
		locked.UpdateClusterState(time.Now(), w)
		stall(locked)
		woke := time.Now()
		var waiting sync.WaitGroup
		got := 0
		waiting.Go(func() {
			locked.awaitContact(t.Context())
			for id, n := range chooseMany(locked, r, 100) {
				got += n
				if n < 40 {
					t.Errorf("server %s got %d of 100 requests after the update", id, n)
				}
			}
		})
		synctest.Wait()
		time.Sleep(20 * time.Millisecond)
		w.ContactAge = time.Second
		locked.UpdateClusterState(time.Now(), w)
		synctest.Wait()
		if got != 0 {
			t.Errorf("%d requests were sent after an update from before the stall", got)
		}
		time.Sleep(20 * time.Millisecond)
		w.ContactAge = 10 * time.Millisecond
		locked.UpdateClusterState(time.Now(), w)
		waiting.Wait()
		if took := time.Since(woke); took != 40*time.Millisecond || got != 100 || asked != 1 {
			t.Errorf("%d requests were sent after %v; OnStall was called %d times", got, took, asked)
		}
	})
}

// TestContactWaitIsBounded checks that without an update requests stop waiting after a bounded time, and are then sent at the rate for
// servers that are warming up. A request whose client disconnects also stops waiting.
func TestContactWaitIsBounded(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		locked, _, w := stalledPicker()
		locked.UpdateClusterState(time.Now(), w)
		stall(locked)
		woke := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		locked.awaitContact(ctx)
		if took := time.Since(woke); took != 100*time.Millisecond {
			t.Errorf("the request of a disconnected client waited for %v", took)
		}
		locked.awaitContact(t.Context())
		if took := time.Since(woke); took != stallContactTimeout {
			t.Errorf("the request waited until %v after the stall", took)
		}
		locked.awaitContact(t.Context())
		if took := time.Since(woke); took != stallContactTimeout {
			t.Errorf("a later request waited until %v after the stall", took)
		}
	})
}

// TestIdleProcessIsNotStalled checks that infrequent calls are not taken for a stall while the process is running.
func TestIdleProcessIsNotStalled(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		locked, r, w := stalledPicker()
		ctx, cancel := context.WithCancel(t.Context())
		var watch sync.WaitGroup
		watch.Go(func() { locked.watchStalls(ctx) })
		synctest.Wait()
		locked.UpdateClusterState(time.Now(), w)
		time.Sleep(time.Minute)
		if got := chooseMany(locked, r, 100); got["s0"]+got["s1"] != 100 {
			t.Errorf("after a minute without calls %v of 100 requests were sent", got)
		}
		cancel()
		watch.Wait()
	})
}

// TestOutdatedStateEndsNoWait checks that the durations in a cluster state are interpreted relative to its asOf time: a state from
// before the stall that is applied after it does not end the wait.
func TestOutdatedStateEndsNoWait(t *testing.T) {
	locked, _, w := stalledPicker()
	locked.UpdateClusterState(time.Now(), w)
	before := time.Now()
	stall(locked)
	w.ContactAge = 0
	locked.UpdateClusterState(before.Add(-stallTime), w) // made before the stall, used after it
	if locked.stalls.contact == nil {
		t.Error("a state from before the stall ended the wait")
	}
	locked.UpdateClusterState(time.Now(), w)
	if locked.stalls.contact != nil {
		t.Error("a state from after the stall did not end the wait")
	}
}
