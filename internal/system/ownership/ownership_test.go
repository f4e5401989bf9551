package ownership

import (
	"fmt"
	"maps"
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
			t.Fatalf("%d owners of %d live, want %d", len(want), len(live), count)
		}
		other := rapid.Permutation(live).Draw(t, "other order")
		if got := Owners(key, append(other, other[0]), count); !slices.Equal(got, want) {
			t.Fatalf("owners %v, but %v with the nodes in another order", want, got)
		}
		if count > 0 && Owner(key, other) != want[0] {
			t.Fatalf("owner %q, but the first of the owners is %q", Owner(key, other), want[0])
		}
		// The owners are ordered by weight, so a smaller count returns a prefix of a larger one.
		if all := Owners(key, live, len(live)); !slices.Equal(all[:len(want)], want) {
			t.Fatalf("owners %v are not the first of all owners %v", want, all)
		}
	})
}

func TestRemovedNodeMovesOnlyItsKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := drawNodes().Draw(t, "live")
		removedNode := rapid.SampledFrom(live).Draw(t, "gone")
		liveAfter := slices.DeleteFunc(slices.Clone(live), func(n string) bool { return n == removedNode })
		count := rapid.IntRange(1, 5).Draw(t, "k")
		for n := range 50 {
			key := fmt.Sprint("key", n)
			before, after := Owners(key, live, count), Owners(key, liveAfter, count)
			remaining := slices.DeleteFunc(slices.Clone(before), func(n string) bool { return n == removedNode })
			if len(remaining) == len(before) && !slices.Equal(before, after) || !slices.Equal(after[:len(remaining)], remaining) {
				t.Fatalf("key %s: owners %v before and %v after %s was removed", key, before, after, removedNode)
			}
		}
	})
}

func TestKeysSpreadEvenly(t *testing.T) {
	live := make([]string, 12)
	for n := range live {
		live[n] = fmt.Sprintf("10.0.%d.%d", n/4, n%4+1) // similar names
	}
	const keys = 12000
	count := map[string]int{}
	for n := range keys {
		count[Owner(fmt.Sprint("list/", n), live)]++
	}
	for node, n := range count {
		if n < 850 || n > 1150 {
			t.Errorf("%s owns %d of %d keys, want about %d", node, n, keys, keys/len(live))
		}
	}
}

func TestNoOwner(t *testing.T) {
	if got := Owner("key", nil); got != "" {
		t.Errorf("Owner = %q", got)
	}
	if got := Owners("key", nil, 3); len(got) != 0 {
		t.Errorf("Owners = %q", got)
	}
	if token, owns := NewAssignment("").Owns("key"); owns || token != 0 {
		t.Errorf("Owns = %d, %v before any membership", token, owns)
	}
}

func TestFencingTokenNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		assignment := NewAssignment("a")
		var highest uint64
		live := map[uint64][]string{}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			epoch := rapid.Uint64Range(0, 10).Draw(t, "epoch")
			members := drawNodes().Draw(t, "live")
			if updated := assignment.Update(epoch, members); updated != (epoch > highest) {
				t.Fatalf("update to epoch %d after %d: accepted = %v", epoch, highest, updated)
			}
			if epoch > highest {
				highest, live[epoch] = epoch, members
			}
			node, token := assignment.Owner("key")
			if token != highest || node != Owner("key", live[highest]) {
				t.Fatalf("owner %q with token %d, want the owner of epoch %d", node, token, highest)
			}
			if _, owns := assignment.Owns("key"); owns != (node == "a") {
				t.Fatalf("owns = %v, the owner is %q", owns, node)
			}
		}
	})
}

// TestNodesWithDifferingViews: nodes receive views late and at different times, and some receive none for a long time. At most one
// node acts under each epoch that is still current on some node, and it is the owner in the view of that epoch.
func TestNodesWithDifferingViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		names := []string{"k1", "k2", "k3", "k4", "k5", "k6"}
		assignments := map[string]*Assignment{}
		for _, n := range names {
			assignments[n] = NewAssignment(n)
		}
		views := [][]string{nil, names}
		for range 200 {
			if r.IntN(10) == 0 {
				view := slices.Clone(names)
				r.Shuffle(len(view), func(a, b int) { view[a], view[b] = view[b], view[a] })
				views = append(views, view[:1+r.IntN(len(view))])
			}
			updated := names[r.IntN(len(names))]
			epoch := 1 + r.IntN(len(views)-1)
			assignments[updated].Update(uint64(epoch), views[epoch])
			checkOwnersOfViews(t, assignments, views)
		}
	})
}

// checkOwnersOfViews checks that at most one node acts under each token, and that it is the owner in the view of that epoch.
func checkOwnersOfViews(t *rapid.T, assignments map[string]*Assignment, views [][]string) {
	acting, current := map[uint64]string{}, map[uint64]bool{}
	for _, node := range slices.Sorted(maps.Keys(assignments)) {
		token, owns := assignments[node].Owns("list")
		current[token] = true
		if !owns {
			continue
		}
		if other, ok := acting[token]; ok {
			t.Fatalf("%s and %s act under token %d", other, node, token)
		}
		acting[token] = node
		if want := Owner("list", views[token]); node != want {
			t.Fatalf("%s acts under token %d, but the owner in that view is %s", node, token, want)
		}
	}
	if len(acting) > len(current) {
		t.Fatalf("%d nodes act, %d views are current", len(acting), len(current))
	}
}

func TestStandby(t *testing.T) {
	standby := Standby{Interval: 500 * time.Millisecond, After: 2 * time.Second}
	tests := []struct {
		owns   bool
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
		t.Run(fmt.Sprint(test.owns, test.age, test.random), func(t *testing.T) {
			if act, wait := standby.Next(test.owns, test.age, test.random); act != test.act || wait != test.wait {
				t.Errorf("Next(%v, %v, %v) = %v, %v; want %v, %v", test.owns, test.age, test.random, act, wait, test.act, test.wait)
			}
		})
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
		remaining := slices.DeleteFunc(slices.Clone(live), func(n string) bool { return n == except })
		want := slices.Contains(Owners(key, remaining, count), node)
		if got := NewNodes(live).IsOwner(key, node, except, count); got != want {
			t.Fatalf("IsOwner = %v, want %v", got, want)
		}
	})
}
