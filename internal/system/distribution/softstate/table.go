package softstate

import (
	"iter"
	"maps"
	"sort"
	"strings"
	"time"
)

const (
	// tombstoneTTL is how long tombstones are kept: much longer than any node stays without contact to another while both serve proxies.
	tombstoneTTL = 60 * time.Second
	// compactionSlack is how many changes beyond two per entry the log may have before it is compacted.
	compactionSlack = 1024
	// hintTTL is how long a hint is valid.
	hintTTL = 30 * time.Second
)

// change is one element of a table's log.
type change struct {
	number uint64
	key    string
}

// Table is a join semilattice of entries with a log of the changes that it has merged. It reads no clock and is not safe for concurrent
// use; the owner must lock it.
type Table struct {
	LastNumber uint64 // of the last change
	LastUrgent uint64 // of the last change that is not lazy

	entries                map[string]*StoredEntry
	log                    []change                  // in the order of numbers; may contain a key more than once
	droppedTombstoneNumber uint64                    // the highest number of a tombstone that has been removed
	sorted                 map[string][]*StoredEntry // cache of the live entries under a prefix, sorted by key
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[string]*StoredEntry{}, sorted: map[string][]*StoredEntry{}}
}

// Get returns the entry of a key, even a deleted one, or nil if there is none.
func (t *Table) Get(key string) *StoredEntry { return t.entries[key] }

// All returns the entries with their keys, including deleted ones, in no particular order.
func (t *Table) All() iter.Seq2[string, *StoredEntry] { return maps.All(t.entries) }

// Len returns the number of entries, including deleted ones.
func (t *Table) Len() int { return len(t.entries) }

// Merge stores e if it supersedes the stored entry, and reports whether it did. age bounds how long before now e was made.
func (t *Table) Merge(now time.Time, e Entry, age Age) bool {
	return t.Put(e, age.normalized().MadeBetween(now))
}

// Put stores e if it supersedes the stored entry, and reports whether it did. made bounds when e was made, which may be later than an
// earlier clock reading.
func (t *Table) Put(e Entry, made TimeBounds) bool {
	former := t.entries[e.Key]
	if former != nil && !e.supersedes(former.Entry) {
		return false
	}
	t.LastNumber++
	if !IsLazy(e.Key) {
		t.LastUrgent = t.LastNumber
	}
	stored := &StoredEntry{Entry: e, MadeBetween: made, number: t.LastNumber}
	t.entries[e.Key] = stored
	t.updateSorted(e.Key, former, stored)
	t.log = append(t.log, change{t.LastNumber, e.Key})
	if len(t.log) > 2*len(t.entries)+compactionSlack {
		t.compact()
	}
	return true
}

// compact removes changes that later changes of the same key supersede.
func (t *Table) compact() {
	newest := t.log[:0]
	for _, c := range t.log {
		if e := t.entries[c.key]; e != nil && e.number == c.number {
			newest = append(newest, c)
		}
	}
	t.log = newest
}

// ChangesSince returns the entries changed after a number, in the order of their changes, and whether they are the complete table.
func (t *Table) ChangesSince(number uint64) (entries []*StoredEntry, complete bool) {
	if number < t.droppedTombstoneNumber || number > t.LastNumber {
		number = 0
	}
	first := sort.Search(len(t.log), func(i int) bool { return t.log[i].number > number })
	for _, c := range t.log[first:] {
		if e := t.entries[c.key]; e != nil && e.number == c.number {
			entries = append(entries, e)
		}
	}
	return entries, number == 0
}

// Expire removes expired tombstones and hints. A reader whose number is below that of a removed tombstone has to get the complete table.
func (t *Table) Expire(now time.Time) {
	for key, e := range t.entries {
		switch age := e.AgeAt(now).Max; {
		case e.Deleted && age > tombstoneTTL:
			t.droppedTombstoneNumber = max(t.droppedTombstoneNumber, e.number)
			t.Drop(key)
		case age > hintTTL && strings.HasPrefix(key, HintPrefix):
			t.Drop(key)
		}
	}
}

// Drop removes an entry without a tombstone.
func (t *Table) Drop(key string) {
	if e := t.entries[key]; e != nil {
		delete(t.entries, key)
		t.updateSorted(key, e, nil)
	}
}
