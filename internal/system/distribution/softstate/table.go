package softstate

import (
	"bytes"
	"iter"
	"maps"
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

// supersedes is a total order over entries of one key, so that merging commutes even where two writers drew the same version.
func (e Entry) supersedes(o Entry) bool {
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
	MemberPrefix = "member/"
	ServerPrefix = "server/"
	HintPrefix   = "hint/"
	ListKey      = "list" // rises with each whole poll of the platform's list, also one that changed nothing
)

// IsLazy tells whether a change of the key may wait for the next answer that is sent anyway.
func IsLazy(key string) bool { return key == ListKey }

// BelongsToList tells whether an entry comes with the platform's list.
func BelongsToList(key string) bool { return key == ListKey || strings.HasPrefix(key, ServerPrefix) }

// tombstoneTTL is how long deletions are remembered: much longer than any keeper goes without hearing from another
// while both feed proxies.
const tombstoneTTL = 60 * time.Second

type StoredEntry struct {
	Entry
	number      uint64
	MadeBetween TimeBounds

	// What the value says, once it has been asked for; see views.go.
	decoded       bool
	valid         bool
	decodedMember Member
	decodedServer pick.Server
}

type change struct {
	number uint64
	key    string
}

// Table is a join semilattice of entries with a local log of changes. It is pure; its owner locks.
type Table struct {
	entries         map[string]*StoredEntry
	log             []change                  // rising numbers; may name a key more than once
	LastNumber      uint64                    // of the last change
	LastUrgent      uint64                    // of the last change that is not lazy
	forgottenNumber uint64                    // a deletion with this number has been forgotten
	sorted          map[string][]*StoredEntry // the live items under a prefix, by key, where they have been asked for
}

func NewTable() *Table {
	return &Table{entries: map[string]*StoredEntry{}, sorted: map[string][]*StoredEntry{}}
}

// Get gives the entry of a key, deleted or not; nil: there is none.
func (t *Table) Get(key string) *StoredEntry { return t.entries[key] }

// All gives the entries with their keys, those that are deleted included, in no order.
func (t *Table) All() iter.Seq2[string, *StoredEntry] { return maps.All(t.entries) }

// Len is how many entries there are, those that are deleted included.
func (t *Table) Len() int { return len(t.entries) }

// AgeAt is how long ago the entry was made.
func (it *StoredEntry) AgeAt(now time.Time) Age { return it.MadeBetween.AgeAt(now) }

// Merge takes e in if it is after what is held. age is how long ago e was made.
func (t *Table) Merge(now time.Time, e Entry, age Age) bool {
	return t.Put(e, age.normalized().MadeBetween(now))
}

// Put takes e in if it is after what is held. made is when e was made, which may be later than a clock that was read before.
func (t *Table) Put(e Entry, made TimeBounds) bool {
	held := t.entries[e.Key]
	if held != nil && !e.supersedes(held.Entry) {
		return false
	}
	t.LastNumber++
	if !IsLazy(e.Key) {
		t.LastUrgent = t.LastNumber
	}
	it := &StoredEntry{Entry: e, MadeBetween: made, number: t.LastNumber}
	t.entries[e.Key] = it
	t.updateSorted(held, it)
	t.log = append(t.log, change{t.LastNumber, e.Key})
	if len(t.log) > 2*len(t.entries)+1024 {
		t.compact()
	}
	return true
}

// compact drops changes that later ones hide.
func (t *Table) compact() {
	kept := t.log[:0]
	for _, c := range t.log {
		if it := t.entries[c.key]; it != nil && it.number == c.number {
			kept = append(kept, c)
		}
	}
	t.log = kept
}

// ChangesSince gives the items changed after the number n, and whether these are the whole table.
func (t *Table) ChangesSince(n uint64) (items []*StoredEntry, full bool) {
	if n < t.forgottenNumber || n > t.LastNumber {
		n = 0
	}
	first := sort.Search(len(t.log), func(i int) bool { return t.log[i].number > n })
	for _, c := range t.log[first:] {
		if it := t.entries[c.key]; it != nil && it.number == c.number {
			items = append(items, it)
		}
	}
	return items, n == 0
}

// hintTTL is how long a hint counts.
const hintTTL = 30 * time.Second

// Expire forgets tombstones and hints whose time is over. A reader that is not past a tombstone forgotten has to take
// the whole table.
func (t *Table) Expire(now time.Time) {
	for key, it := range t.entries {
		switch age := it.AgeAt(now).Max; {
		case it.Deleted && age > tombstoneTTL:
			t.forgottenNumber = max(t.forgottenNumber, it.number)
			t.Drop(key)
		case age > hintTTL && strings.HasPrefix(key, HintPrefix):
			t.Drop(key)
		}
	}
}

// Drop forgets an entry as if it had never come.
func (t *Table) Drop(key string) {
	if it := t.entries[key]; it != nil {
		delete(t.entries, key)
		t.updateSorted(it, nil)
	}
}

func EncodeEntries(now time.Time, items []*StoredEntry) []*distributionpb.Entry {
	out := make([]*distributionpb.Entry, len(items))
	for i, it := range items {
		age := it.AgeAt(now)
		out[i] = &distributionpb.Entry{Key: it.Key, Fence: it.Fence, Version: it.Version, Value: it.Value, Deleted: it.Deleted,
			AgeMs: millisecondsCeil(age.Max), LeastAgeMs: proto.Uint64(uint64(max(0, age.Min) / time.Millisecond))}
	}
	return out
}

// MaxAge bounds ages that others tell, so that none overflows.
const MaxAge = 24 * time.Hour

// defaultAgeSpan is by how much the least age lies below the most where a process from before least_age_ms does not tell it: longer
// than calls take that are answered in time. Were it 0, what such a process tells of a cold state of long ago would begin anew.
const defaultAgeSpan = 2 * time.Second

func DecodeEntry(e *distributionpb.Entry) (Entry, Age) {
	age := Age{Max: BoundedMilliseconds(e.GetAgeMs(), MaxAge)}
	if e.LeastAgeMs != nil {
		age.Min = BoundedMilliseconds(e.GetLeastAgeMs(), MaxAge)
	} else {
		age.Min = age.Max - defaultAgeSpan
	}
	return Entry{Key: e.GetKey(), Fence: e.GetFence(), Version: e.GetVersion(), Value: e.GetValue(), Deleted: e.GetDeleted()}, age.normalized()
}

// BoundedMilliseconds reads a number of milliseconds that another process told, bounded.
func BoundedMilliseconds(ms uint64, most time.Duration) time.Duration {
	if ms > uint64(most/time.Millisecond) {
		return most
	}
	return time.Duration(ms) * time.Millisecond
}
