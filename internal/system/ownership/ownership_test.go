package ownership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawNodes() *rapid.Generator[[]string] {
	return rapid.Custom(func(t *rapid.T) []string {
		return rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z0-9.-]{1,12}`), 1, 30, rapid.ID).Draw(t, "nodes")
	})
}

func TestOwnersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := drawNodes().Draw(t, "live")
		key := rapid.String().Draw(t, "key")
		count := rapid.IntRange(0, 8).Draw(t, "k")
		want := Owners(key, live, count)
		if len(want) != min(count, len(live)) {
			t.Fatalf("%d holders of %d live, want %d", len(want), len(live), count)
		}
		other := rapid.Permutation(live).Draw(t, "other order")
		if got := Owners(key, append(other, other[0]), count); !slices.Equal(got, want) {
			t.Fatalf("holders %v and, in another order, %v", want, got)
		}
		if count > 0 && Owner(key, other) != want[0] {
			t.Fatalf("holder %q, the first of the holders %q", Owner(key, other), want[0])
		}
		// The order is that of all weights: fewer holders are the first of more.
		if all := Owners(key, live, len(live)); !slices.Equal(all[:len(want)], want) {
			t.Fatalf("holders %v of %v", want, all)
		}
	})
}

func TestRemovedNodeMovesOnlyItsKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := drawNodes().Draw(t, "live")
		removed := rapid.SampledFrom(live).Draw(t, "gone")
		left := slices.DeleteFunc(slices.Clone(live), func(n string) bool { return n == removed })
		count := rapid.IntRange(1, 5).Draw(t, "k")
		for n := range 50 {
			key := fmt.Sprint("key", n)
			before, after := Owners(key, live, count), Owners(key, left, count)
			remaining := slices.DeleteFunc(slices.Clone(before), func(n string) bool { return n == removed })
			if len(remaining) == len(before) && !slices.Equal(before, after) || !slices.Equal(after[:len(remaining)], remaining) {
				t.Fatalf("key %s: %v before, %v after %s went", key, before, after, removed)
			}
		}
	})
}

func TestKeysSpreadEvenly(t *testing.T) {
	live := make([]string, 12)
	for n := range live {
		live[n] = fmt.Sprintf("10.0.%d.%d", n/4, n%4+1) // names that differ little
	}
	const keys = 12000
	count := map[string]int{}
	for n := range keys {
		count[Owner(fmt.Sprint("list/", n), live)]++
	}
	for node, n := range count {
		if n < 850 || n > 1150 {
			t.Errorf("%s holds %d of %d keys, want about %d", node, n, keys, keys/len(live))
		}
	}
}

func TestNoOwner(t *testing.T) {
	if got := Owner("key", nil); got != "" {
		t.Errorf("Holder = %q", got)
	}
	if got := Owners("key", nil, 3); len(got) != 0 {
		t.Errorf("Holders = %q", got)
	}
	if fence, holds := NewAssignment("").Owns("key"); holds || fence != 0 {
		t.Errorf("Holds = %d, %v before any membership", fence, holds)
	}
}

func TestFencingTokenNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		assignment := NewAssignment("a")
		var highest uint64
		live := map[uint64][]string{}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			epoch := rapid.Uint64Range(0, 10).Draw(t, "epoch")
			told := drawNodes().Draw(t, "live")
			if took := assignment.Update(epoch, told); took != (epoch > highest) {
				t.Fatalf("epoch %d after %d: taken %v", epoch, highest, took)
			}
			if epoch > highest {
				highest, live[epoch] = epoch, told
			}
			node, fence := assignment.Owner("key")
			if fence != highest || node != Owner("key", live[highest]) {
				t.Fatalf("holder %q under %d, want that of epoch %d", node, fence, highest)
			}
			if _, holds := assignment.Owns("key"); holds != (node == "a") {
				t.Fatalf("holds = %v, the holder is %q", holds, node)
			}
		}
	})
}

// Nodes learn of views late and out of step, and some are told nothing for long. At most one node acts under each epoch that is
// still believed in, and it is the holder that the view of that epoch names.
func TestNodesWithDifferingViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		names := []string{"k1", "k2", "k3", "k4", "k5", "k6"}
		fences := map[string]*Assignment{}
		for _, n := range names {
			fences[n] = NewAssignment(n)
		}
		views := [][]string{nil, names}
		for range 200 {
			if r.IntN(10) == 0 {
				view := slices.Clone(names)
				r.Shuffle(len(view), func(a, b int) { view[a], view[b] = view[b], view[a] })
				views = append(views, view[:1+r.IntN(len(view))])
			}
			heard := names[r.IntN(len(names))]
			epoch := 1 + r.IntN(len(views)-1)
			fences[heard].Update(uint64(epoch), views[epoch])

			acting, believed := map[uint64]string{}, map[uint64]bool{}
			for _, n := range names {
				fence, holds := fences[n].Owns("list")
				believed[fence] = true
				if !holds {
					continue
				}
				if other, ok := acting[fence]; ok {
					t.Fatalf("%s and %s act under fence %d", other, n, fence)
				}
				acting[fence] = n
				if want := Owner("list", views[fence]); n != want {
					t.Fatalf("%s acts under fence %d, whose view names %s", n, fence, want)
				}
			}
			if len(acting) > len(believed) {
				t.Fatalf("%d nodes act, %d views are believed in", len(acting), len(believed))
			}
		}
	})
}

func TestStandby(t *testing.T) {
	standby := Standby{Interval: 500 * time.Millisecond, After: 2 * time.Second}
	tests := []struct {
		holds  bool
		age    time.Duration
		random float64
		act    bool
		wait   time.Duration
	}{
		{true, 0, 0.9, true, 500 * time.Millisecond},
		{true, time.Hour, 0.9, true, 500 * time.Millisecond},
		{false, 0, 0, false, 250 * time.Millisecond},
		{false, 1999 * time.Millisecond, 0.5, false, 500 * time.Millisecond},
		{false, 2 * time.Second, 0, true, time.Second},
		{false, time.Hour, 0.5, true, 1250 * time.Millisecond},
	}
	for _, test := range tests {
		if act, wait := standby.Next(test.holds, test.age, test.random); act != test.act || wait != test.wait {
			t.Errorf("Next(%v, %v, %v) = %v, %v; want %v, %v", test.holds, test.age, test.random, act, wait, test.act, test.wait)
		}
	}
}

func BenchmarkOwners(b *testing.B) {
	live := make([]string, 410)
	for n := range live {
		live[n] = fmt.Sprintf("10.0.%d.%d", n/250, n%250+1)
	}
	b.ReportAllocs()
	for b.Loop() {
		Owners("10.0.0.1", live, 3)
	}
}

func TestIsOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := drawNodes().Draw(t, "live")
		key := rapid.String().Draw(t, "key")
		except := rapid.SampledFrom(append([]string{""}, live...)).Draw(t, "except")
		node := rapid.SampledFrom(live).Draw(t, "node")
		count := rapid.IntRange(0, 5).Draw(t, "k")
		left := slices.DeleteFunc(slices.Clone(live), func(n string) bool { return n == except })
		want := slices.Contains(Owners(key, left, count), node)
		if got := NewNodes(live).IsOwner(key, node, except, count); got != want {
			t.Fatalf("Among = %v, want %v", got, want)
		}
	})
}
