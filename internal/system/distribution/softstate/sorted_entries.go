package softstate

import (
	"slices"
	"strings"
	"time"

	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// Live returns the entries under the prefix of members or servers that are not deleted, sorted by key. The slice belongs to the table:
// clone it before writing to the table.
func (t *Table) Live(prefix string) []*StoredEntry {
	if out, ok := t.sorted[prefix]; ok {
		return out
	}
	var out []*StoredEntry
	for key, e := range t.entries {
		if !e.Deleted && strings.HasPrefix(key, prefix) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *StoredEntry) int { return strings.Compare(a.Key, b.Key) })
	t.sorted[prefix] = out
	return out
}

// updateSorted updates the sorted entries when next replaces former; either may be nil.
func (t *Table) updateSorted(key string, former, next *StoredEntry) {
	wasLive, isLive := former != nil && !former.Deleted, next != nil && !next.Deleted
	for prefix, list := range t.sorted {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		i, found := slices.BinarySearchFunc(list, key, func(e *StoredEntry, key string) int { return strings.Compare(e.Key, key) })
		switch {
		case wasLive && isLive && found:
			list[i] = next
		case wasLive || isLive:
			delete(t.sorted, prefix)
		}
	}
}

// Members returns the members, sorted by name.
func (t *Table) Members() []Member {
	entries := t.Live(MemberPrefix)
	out := make([]Member, 0, len(entries))
	for _, e := range entries {
		if m, ok := e.Member(); ok {
			out = append(out, m)
		}
	}
	return out
}

// Servers returns the servers, sorted by id, with their times as of now, and the maximum age of the newest complete reading of the list;
// false if there is none yet.
func (t *Table) Servers(now time.Time) ([]pick.Server, time.Duration, bool) {
	entries := t.Live(ServerPrefix)
	out := make([]pick.Server, 0, len(entries))
	for _, e := range entries {
		if s, ok := e.ServerAt(now); ok {
			out = append(out, s)
		}
	}
	list := t.entries[ListKey]
	if list == nil {
		return out, 0, false
	}
	return out, list.AgeAt(now).Max, true
}
