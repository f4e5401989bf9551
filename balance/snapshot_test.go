package balance

import (
	"math"
	"testing"
	"time"
)

// TestRestore restores a snapshot of various ages. Without delay the estimates are unchanged, later they have decayed as they would
// have in a running process. Estimates of an endpoint's previous process, old snapshots and invalid values are ignored.
func TestRestore(t *testing.T) {
	list := []Endpoint{{ID: "a", Zone: "a", Kind: "m", Size: 1}, {ID: "b", Zone: "a", Kind: "m", Size: 1}, {ID: "c", Zone: "a", Kind: "m", Size: 1, Started: 50 * time.Second}}
	old, _ := start(t, settings(), list)
	now := 100 * time.Second
	for _, e := range old.endpoints {
		e.latencySum, e.loadSum, e.failures = 4, 8, 1
	}
	old.byID["b"].ejectedUntil = now + 4*time.Second
	old.zoneWeight[1], old.arrivals = 0.5, 30
	k := old.Snapshot(now)
	for _, age := range []time.Duration{0, 3 * time.Second, maxSnapshotAge + 1, -1} {
		list[2].Started = 60 * time.Second // another process
		b, _ := start(t, settings(), list)
		b.Restore(now, k, age)
		left := math.Exp(-age.Seconds() / memoryTTL.Seconds())
		if age < 0 || age > maxSnapshotAge {
			left = 0
		}
		if a := b.byID["a"]; math.Abs(a.latencySum-4*left) > 1e-9 || math.Abs(a.loadSum-8*left) > 1e-9 || math.Abs(b.arrivals-30*left) > 1e-9 {
			t.Errorf("%v old: latencySum %v, loadSum %v, arrivals %v, want a share of %v", age, a.latencySum, a.loadSum, b.arrivals, left)
		}
		if until := b.byID["b"].ejectedUntil; left > 0 && until != now+4*time.Second-age || left == 0 && until != 0 {
			t.Errorf("%v old: ejected until %v", age, until)
		}
		if c := b.byID["c"]; c.latencySum != 0 || c.loadSum != 0 || c.failures != 0 {
			t.Errorf("%v old: a new process got the estimates of the previous one: %+v", age, c)
		}
	}
	b, _ := start(t, settings(), list)
	b.Restore(now, Snapshot{ZoneWeight: math.NaN(), IdleSeconds: -1, Arrivals: math.Inf(1), SheddingFor: -1, MeanSeconds: []float64{math.NaN()}, Groups: []LatencySum{{-1, 0}},
		Endpoints: []EndpointSnapshot{{ID: "a", LatencySum: LatencySum{math.NaN(), 1}}, {ID: "z"}, {ID: "b", Failures: 1e300}}}, 0)
	if a := b.byID["a"]; a.latencySum != 0 || a.loadSum != 0 || b.arrivals != 0 || !(b.zoneWeight[1] <= 1) || b.byID["b"].failures != 0 {
		t.Errorf("invalid values were restored: %+v, %+v", a, b)
	}
}
