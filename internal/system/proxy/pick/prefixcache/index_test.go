package prefixcache

import (
	"testing"

	"pgregory.net/rapid"
)

// TestIndexBounded fills a server's entries: the least recently used ones give way, and the whole stays in its bound.
func TestIndexBounded(t *testing.T) {
	x := NewIndex()
	s, other := &Server{}, &Server{}
	for i := range uint64(2 * MaxEntries) {
		c := NewChain([]Part{{i, 300}, {1 << 40, 300}})
		x.Record(s, &c, 1<<40)
		if x.count > MaxEntries {
			t.Fatalf("%d entries", x.count)
		}
	}
	c := NewChain([]Part{{1 << 50, 400}, {1 << 51, 10}})
	x.Record(other, &c, 1<<40)
	x.Record(s, &c, 1000)
	if s.tokens > 1000 || len(x.byKey[c.Keys[0]]) != 2 {
		t.Fatalf("%d tokens, %d servers", s.tokens, len(x.byKey[c.Keys[0]]))
	}
	x.RemoveServer(s)
	x.RemoveServer(other)
	if x.count != 0 || len(x.byKey) != 0 || s.tokens != 0 {
		t.Fatalf("left: %d entries, %d keys, %d tokens", x.count, len(x.byKey), s.tokens)
	}
}

// TestIndexInvariants records and removes at random: the invariants of Verify hold, and what was recorded last is found.
func TestIndexInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x, servers := NewIndex(), []*Server{{}, {}, {}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			s := rapid.SampledFrom(servers).Draw(t, "server")
			if rapid.IntRange(0, 9).Draw(t, "remove") == 0 {
				x.RemoveServer(s)
			}
			var parts []Part
			for range rapid.IntRange(0, MaxParts+2).Draw(t, "parts") {
				parts = append(parts, Part{uint64(rapid.IntRange(0, 3).Draw(t, "id")), rapid.IntRange(-1, 900).Draw(t, "tokens")})
			}
			c := NewChain(parts)
			x.Record(s, &c, int64(rapid.IntRange(5000, 1<<20).Draw(t, "memory")))
			if err := x.Verify(); err != nil {
				t.Fatal(err)
			}
			total := 0
			for _, s := range servers {
				total += s.Len()
			}
			if total != x.Len() {
				t.Fatalf("the servers' lists have %d entries, the index %d", total, x.Len())
			}
		}
	})
}
