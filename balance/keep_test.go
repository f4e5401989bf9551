package balance

import (
	"math"
	"testing"
	"time"
)

// TestKeptBeliefs hands beliefs on: at once they are what they were, later they have faded as in life, and what is of a former process, too
// old, or nonsense counts for nothing.
func TestKeptBeliefs(t *testing.T) {
	list := []Endpoint{{ID: "a", Zone: "a", Kind: "m", Size: 1}, {ID: "b", Zone: "a", Kind: "m", Size: 1}, {ID: "c", Zone: "a", Kind: "m", Size: 1, Started: 50 * time.Second}}
	old, _ := start(t, settings(), list)
	now := 100 * time.Second
	for _, e := range old.endpoints {
		e.took, e.held, e.faults = 4, 8, 1
	}
	old.known["b"].until = now + 4*time.Second
	old.near[1], old.arrived = 0.5, 30
	k := old.Keep(now)
	for _, age := range []time.Duration{0, 3 * time.Second, mostKeptAge + 1, -1} {
		list[2].Started = 60 * time.Second // another process
		b, _ := start(t, settings(), list)
		b.Remember(now, k, age)
		left := math.Exp(-age.Seconds() / memory.Seconds())
		if age < 0 || age > mostKeptAge {
			left = 0
		}
		if a := b.known["a"]; math.Abs(a.took-4*left) > 1e-9 || math.Abs(a.held-8*left) > 1e-9 || math.Abs(b.arrived-30*left) > 1e-9 {
			t.Errorf("%v old: took %v, held %v, arrived %v, want %v of it", age, a.took, a.held, b.arrived, left)
		}
		if until := b.known["b"].until; left > 0 && until != now+4*time.Second-age || left == 0 && until != 0 {
			t.Errorf("%v old: ejected until %v", age, until)
		}
		if c := b.known["c"]; c.took != 0 || c.held != 0 || c.faults != 0 {
			t.Errorf("%v old: another process got what was believed of the one before: %+v", age, c)
		}
	}
	b, _ := start(t, settings(), list)
	b.Remember(now, Kept{Near: math.NaN(), Idle: -1, Arrived: math.Inf(1), Tight: -1, Work: []float64{math.NaN()}, Groups: []KeptSum{{-1, 0}},
		Endpoints: []KeptServer{{ID: "a", KeptSum: KeptSum{math.NaN(), 1}}, {ID: "z"}, {ID: "b", Faults: 1e300}}}, 0)
	if a := b.known["a"]; a.took != 0 || a.held != 0 || b.arrived != 0 || !(b.near[1] <= 1) || b.known["b"].faults != 0 {
		t.Errorf("nonsense is believed: %+v, %+v", a, b)
	}
}
