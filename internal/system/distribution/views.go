package distribution

import (
	"slices"
	"strings"
	"time"

	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// live gives the items under the prefix of members or servers that are not deleted, by key. It is the table's own slice.
func (t *table) live(prefix string) []*item {
	if out, ok := t.sorted[prefix]; ok {
		return out
	}
	var out []*item
	for key, it := range t.items {
		if !it.Deleted && strings.HasPrefix(key, prefix) {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b *item) int { return strings.Compare(a.Key, b.Key) })
	t.sorted[prefix] = out
	return out
}

// resort keeps the sorted items right where now takes the place of was; either may be nil.
func (t *table) resort(was, now *item) {
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
		i, found := slices.BinarySearchFunc(list, key, func(it *item, key string) int { return strings.Compare(it.Key, key) })
		switch {
		case lived && lives && found:
			list[i] = now
		case lived || lives:
			delete(t.sorted, prefix)
		}
	}
}

// decode reads the value once.
func (it *item) decode() {
	if it.read {
		return
	}
	it.read = true
	switch name := it.Key; {
	case strings.HasPrefix(name, memberPrefix):
		it.member, it.valid = decodeMember(it.Value)
		it.valid = it.valid && it.member.Node == name[len(memberPrefix):]
	case strings.HasPrefix(name, serverPrefix):
		it.server, it.valid = decodeServer(name[len(serverPrefix):], it.Value)
	}
}

// memberIn gives the member that an entry is about.
func (it *item) memberIn() (Member, bool) {
	it.decode()
	return it.member, it.valid
}

// serverAt gives the server that an entry is about, with its times as of now.
func (it *item) serverAt(now time.Time) (pick.Server, bool) {
	it.decode()
	return countDown(it.server, it.age(now)), it.valid
}

// members gives the members, by name.
func (t *table) members() []Member {
	items := t.live(memberPrefix)
	out := make([]Member, 0, len(items))
	for _, it := range items {
		if m, ok := it.memberIn(); ok {
			out = append(out, m)
		}
	}
	return out
}

// servers gives the servers as of now, by id, and the age of the newest whole reading of the list; false: none yet.
func (t *table) servers(now time.Time) ([]pick.Server, time.Duration, bool) {
	items := t.live(serverPrefix)
	out := make([]pick.Server, 0, len(items))
	for _, it := range items {
		if s, ok := it.serverAt(now); ok {
			out = append(out, s)
		}
	}
	held := t.items[listKey]
	if held == nil {
		return out, 0, false
	}
	return out, held.age(now).Max, true
}
