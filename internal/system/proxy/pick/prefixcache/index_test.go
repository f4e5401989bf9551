package prefixcache

import (
	"testing"

	"pgregory.net/rapid"
)

// TestIndexBounded fills a server's list: the least recently used entries are evicted, and the index stays within its bound.
func TestIndexBounded(t *testing.T) {
	index := NewIndex()
	server, other := &Server{}, &Server{}
	for i := range uint64(2 * MaxEntries) {
		c := NewChain([]Part{{i, 300}, {1 << 40, 300}})
		index.Record(server, &c, 1<<40)
		if index.count > MaxEntries {
			t.Fatalf("%d entries, more than MaxEntries", index.count)
		}
	}
	c := NewChain([]Part{{1 << 50, 400}, {1 << 51, 10}})
	index.Record(other, &c, 1<<40)
	index.Record(server, &c, 1000)
	if server.tokens > 1000 || len(index.byKey[c.Keys[0]]) != 2 {
		t.Fatalf("%d tokens of the server, want at most 1000; %d servers have the first key, want 2", server.tokens, len(index.byKey[c.Keys[0]]))
	}
	index.RemoveServer(server)
	index.RemoveServer(other)
	if index.count != 0 || len(index.byKey) != 0 || server.tokens != 0 {
		t.Fatalf("after all servers were removed: %d entries, %d keys, %d tokens remain", index.count, len(index.byKey), server.tokens)
	}
}

// TestIndexInvariants records and removes at random: the invariants that
// Verify checks hold, and the lists have as many entries as the index.
func TestIndexInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index, servers := NewIndex(), []*Server{{}, {}, {}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			s := rapid.SampledFrom(servers).Draw(t, "server")
			if rapid.IntRange(0, 9).Draw(t, "remove") == 0 {
				index.RemoveServer(s)
			}
			var parts []Part
			for range rapid.IntRange(0, MaxParts+2).Draw(t, "parts") {
				parts = append(parts, Part{uint64(rapid.IntRange(0, 3).Draw(t, "id")), rapid.IntRange(-1, 900).Draw(t, "tokens")})
			}
			c := NewChain(parts)
			index.Record(s, &c, int64(rapid.IntRange(5000, 1<<20).Draw(t, "memory")))
			if err := index.Verify(); err != nil {
				t.Fatal(err)
			}
			total := 0
			for _, s := range servers {
				total += s.Len()
			}
			if total != index.Len() {
				t.Fatalf("the servers' lists have %d entries, the index %d", total, index.Len())
			}
		}
	})
}
