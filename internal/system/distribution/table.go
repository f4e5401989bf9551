package distribution

import (
	"bytes"
	"sort"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// Entry is one entry of the soft state. Of two with the same key the one that is after the other counts.
type Entry struct {
	Key            string
	Fence, Version uint64
	Value          []byte
	Deleted        bool
}

// after is a total order over entries of one key, so that merging commutes even where two writers drew the same version.
func (e Entry) after(o Entry) bool {
	switch {
	case e.Fence != o.Fence:
		return e.Fence > o.Fence
	case e.Version != o.Version:
		return e.Version > o.Version
	case e.Deleted != o.Deleted:
		return e.Deleted
	}
	return bytes.Compare(e.Value, o.Value) > 0
}

// Prefixes and names of keys.
const (
	memberPrefix = "member/"
	serverPrefix = "server/"
	hintPrefix   = "hint/"
	listKey      = "list" // rises with each whole poll of the platform's list, also one that changed nothing
)

// lazy tells whether a change of the key may wait for the next answer that is sent anyway.
func lazy(key string) bool { return key == listKey }

// tombstoneFor is how long deletions are remembered: much longer than any keeper goes without hearing from another
// while both feed proxies.
const tombstoneFor = 60 * time.Second

type item struct {
	Entry
	number uint64
	made   TimeBounds

	// What the value says, once it has been asked for; see views.go.
	read   bool
	valid  bool
	member Member
	server pick.Server
}

type change struct {
	number uint64
	key    string
}

// table is a join semilattice of entries with a local log of changes. It is pure; its owner locks.
type table struct {
	items      map[string]*item
	log        []change           // rising numbers; may name a key more than once
	number     uint64             // of the last change
	lastUrgent uint64             // of the last change that is not lazy
	cut        uint64             // a deletion with this number has been forgotten
	sorted     map[string][]*item // the live items under a prefix, by key, where they have been asked for
}

func newTable() *table { return &table{items: map[string]*item{}, sorted: map[string][]*item{}} }

// age is how long ago the entry was made.
func (it *item) age(now time.Time) Age { return it.made.age(now) }

// merge takes e in if it is after what is held. age is how long ago e was made.
func (t *table) merge(now time.Time, e Entry, age Age) bool {
	return t.put(e, age.ordered().before(now))
}

// put takes e in if it is after what is held. made is when e was made, which may be later than a clock that was read before.
func (t *table) put(e Entry, made TimeBounds) bool {
	held := t.items[e.Key]
	if held != nil && !e.after(held.Entry) {
		return false
	}
	t.number++
	if !lazy(e.Key) {
		t.lastUrgent = t.number
	}
	it := &item{Entry: e, made: made, number: t.number}
	t.items[e.Key] = it
	t.resort(held, it)
	t.log = append(t.log, change{t.number, e.Key})
	if len(t.log) > 2*len(t.items)+1024 {
		t.compact()
	}
	return true
}

// compact drops changes that later ones hide.
func (t *table) compact() {
	kept := t.log[:0]
	for _, c := range t.log {
		if it := t.items[c.key]; it != nil && it.number == c.number {
			kept = append(kept, c)
		}
	}
	t.log = kept
}

// since gives the items changed after the number n, and whether these are the whole table.
func (t *table) since(n uint64) (items []*item, full bool) {
	if n < t.cut || n > t.number {
		n = 0
	}
	first := sort.Search(len(t.log), func(i int) bool { return t.log[i].number > n })
	for _, c := range t.log[first:] {
		if it := t.items[c.key]; it != nil && it.number == c.number {
			items = append(items, it)
		}
	}
	return items, n == 0
}

// hintFor is how long a hint counts.
const hintFor = 30 * time.Second

// expire forgets tombstones and hints whose time is over. A reader that is not past a tombstone forgotten has to take
// the whole table.
func (t *table) expire(now time.Time) {
	for key, it := range t.items {
		switch age := it.age(now).Max; {
		case it.Deleted && age > tombstoneFor:
			t.cut = max(t.cut, it.number)
			t.drop(key)
		case age > hintFor && strings.HasPrefix(key, hintPrefix):
			t.drop(key)
		}
	}
}

// drop forgets an entry as if it had never come.
func (t *table) drop(key string) {
	if it := t.items[key]; it != nil {
		delete(t.items, key)
		t.resort(it, nil)
	}
}

func toWire(now time.Time, items []*item) []*distributionpb.Entry {
	out := make([]*distributionpb.Entry, len(items))
	for i, it := range items {
		age := it.age(now)
		out[i] = &distributionpb.Entry{Key: it.Key, Fence: it.Fence, Version: it.Version, Value: it.Value, Deleted: it.Deleted,
			AgeMs: ceilMillis(age.Max), LeastAgeMs: proto.Uint64(uint64(max(0, age.Min) / time.Millisecond))}
	}
	return out
}

// maxAge bounds ages that others tell, so that none overflows.
const maxAge = 24 * time.Hour

// untoldSpan is by how much the least age lies below the most where a process from before least_age_ms does not tell it: longer
// than calls take that are answered in time. Were it 0, what such a process tells of a cold state of long ago would begin anew.
const untoldSpan = 2 * time.Second

func fromWire(e *distributionpb.Entry) (Entry, Age) {
	age := Age{Max: millis(e.GetAgeMs(), maxAge)}
	if e.LeastAgeMs != nil {
		age.Min = millis(e.GetLeastAgeMs(), maxAge)
	} else {
		age.Min = age.Max - untoldSpan
	}
	return Entry{Key: e.GetKey(), Fence: e.GetFence(), Version: e.GetVersion(), Value: e.GetValue(), Deleted: e.GetDeleted()}, age.ordered()
}

// millis reads a number of milliseconds that another process told, bounded.
func millis(ms uint64, most time.Duration) time.Duration {
	if ms > uint64(most/time.Millisecond) {
		return most
	}
	return time.Duration(ms) * time.Millisecond
}
