package softstate

import (
	"slices"
	"strings"
	"time"

	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// Live gives the items under the prefix of members or servers that are not deleted, by key. It is the table's own slice.
func (t *Table) Live(prefix string) []*StoredEntry {
	if out, ok := t.sorted[prefix]; ok {
		return out
	}
	var out []*StoredEntry
	for key, it := range t.entries {
		if !it.Deleted && strings.HasPrefix(key, prefix) {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b *StoredEntry) int { return strings.Compare(a.Key, b.Key) })
	t.sorted[prefix] = out
	return out
}

// updateSorted keeps the sorted items right where now takes the place of was; either may be nil.
func (t *Table) updateSorted(was, now *StoredEntry) {
	key := ""
	if now != nil {
		key = now.Key
	} else {
		key = was.Key
	}
	for prefix, list := range t.sorted {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		lived, lives := was != nil && !was.Deleted, now != nil && !now.Deleted
		i, found := slices.BinarySearchFunc(list, key, func(it *StoredEntry, key string) int { return strings.Compare(it.Key, key) })
		switch {
		case lived && lives && found:
			list[i] = now
		case lived || lives:
			delete(t.sorted, prefix)
		}
	}
}

// decode reads the value once.
func (it *StoredEntry) decode() {
	if it.decoded {
		return
	}
	it.decoded = true
	switch name := it.Key; {
	case strings.HasPrefix(name, MemberPrefix):
		it.decodedMember, it.valid = DecodeMember(it.Value)
		it.valid = it.valid && it.decodedMember.Node == name[len(MemberPrefix):]
	case strings.HasPrefix(name, ServerPrefix):
		it.decodedServer, it.valid = decodeServer(name[len(ServerPrefix):], it.Value)
	}
}

// Member gives the member that an entry is about.
func (it *StoredEntry) Member() (Member, bool) {
	it.decode()
	return it.decodedMember, it.valid
}

// ServerAt gives the server that an entry is about, with its times as of now.
func (it *StoredEntry) ServerAt(now time.Time) (pick.Server, bool) {
	it.decode()
	return CountDown(it.decodedServer, it.AgeAt(now)), it.valid
}

// Members gives the Members, by name.
func (t *Table) Members() []Member {
	items := t.Live(MemberPrefix)
	out := make([]Member, 0, len(items))
	for _, it := range items {
		if m, ok := it.Member(); ok {
			out = append(out, m)
		}
	}
	return out
}

// Servers gives the Servers as of now, by id, and the age of the newest whole reading of the list; false: none yet.
func (t *Table) Servers(now time.Time) ([]pick.Server, time.Duration, bool) {
	items := t.Live(ServerPrefix)
	out := make([]pick.Server, 0, len(items))
	for _, it := range items {
		if s, ok := it.ServerAt(now); ok {
			out = append(out, s)
		}
	}
	held := t.entries[ListKey]
	if held == nil {
		return out, 0, false
	}
	return out, held.AgeAt(now).Max, true
}
