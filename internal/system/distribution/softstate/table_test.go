package softstate

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func contents(tb *Table) map[string]string {
	out := map[string]string{}
	for k, it := range tb.All() {
		out[k] = fmt.Sprint(it.Fence, it.Version, it.Deleted, string(it.Value))
	}
	return out
}

// TestMergeIsAJoin: merging is commutative, associative and idempotent, so any order, with repetitions, ends in the same table.
func TestMergeIsAJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entry := rapid.Custom(func(t *rapid.T) Entry {
			return Entry{Key: rapid.SampledFrom([]string{"a", "b", "list"}).Draw(t, "key"), Fence: rapid.Uint64Range(0, 2).Draw(t, "fence"),
				Version: rapid.Uint64Range(0, 2).Draw(t, "version"), Deleted: rapid.Bool().Draw(t, "deleted"),
				Value: []byte(rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "value"))}
		})
		entries := rapid.SliceOfN(entry, 1, 12).Draw(t, "entries")
		again := rapid.Permutation(append(entries, entries[:len(entries)/2]...)).Draw(t, "again")
		now := time.Now()
		one, two := NewTable(), NewTable()
		for _, e := range entries {
			one.Merge(now, e, Age{})
		}
		for _, e := range again {
			two.Merge(now, e, Age{})
		}
		if !maps.Equal(contents(one), contents(two)) {
			t.Fatalf("tables differ by the order of merging: %v and %v", contents(one), contents(two))
		}
	})
}

// TestDeltasAddUpToTheTable: a reader that merges the changes since its number has the same entries as the table, whatever has been
// dropped in between.
func TestDeltasAddUpToTheTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		tb, reader, at := NewTable(), NewTable(), uint64(0)
		n := rapid.IntRange(1, 200).Draw(t, "steps")
		for i := range n {
			e := Entry{Key: fmt.Sprint("k", rapid.IntRange(0, 6).Draw(t, "key")), Version: uint64(i), Deleted: rapid.IntRange(0, 3).Draw(t, "deleted") == 0}
			tb.Merge(now, e, Age{})
			now = now.Add(rapid.SampledFrom([]time.Duration{0, time.Second, 40 * time.Second}).Draw(t, "pause"))
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				tb.Expire(now)
			case 1:
				tb.compact()
			case 2:
				items, full := tb.ChangesSince(at)
				if full {
					reader = NewTable()
				}
				for _, w := range EncodeEntries(now, items) {
					e, age := DecodeEntry(w)
					reader.Merge(now, e, age)
				}
				at = tb.LastNumber
				tb.Expire(now)
				reader.Expire(now)
				if !maps.Equal(contents(tb), contents(reader)) {
					t.Fatalf("the table has %v, the reader %v", contents(tb), contents(reader))
				}
			}
		}
	})
}
