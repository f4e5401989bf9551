package softstate

import (
	"iter"
	"maps"
	"sort"
	"strings"
	"time"
)

const (
	// tombstoneTTL is how long deletions are remembered: much longer than any node goes without contact to another while both serve
	// proxies.
	tombstoneTTL = 60 * time.Second
	// compactionSlack is how many changes beyond two for each entry the log may have until it is compacted.
	compactionSlack = 1024
	// hintTTL is how long a hint counts.
	hintTTL = 30 * time.Second
)

// change is an element of a table's log.
type change struct {
	number uint64
	key    string
}

// Table is a join semilattice of entries with a log of the changes that it has merged. It reads no clock and is not safe for
// concurrent use; its owner locks.
type Table struct {
	LastNumber uint64 // of the last change
	LastUrgent uint64 // of the last change that is not lazy

	entries         map[string]*StoredEntry
	log             []change                  // rising numbers; may name a key more than once
	forgottenNumber uint64                    // the highest number of a deletion that has been forgotten
	sorted          map[string][]*StoredEntry // the live entries under a prefix, by key, where they have been asked for
}

// NewTable makes an empty table.
func NewTable() *Table {
	return &Table{entries: map[string]*StoredEntry{}, sorted: map[string][]*StoredEntry{}}
}

// Get returns the entry of a key, deleted or not; nil: there is none.
func (t *Table) Get(key string) *StoredEntry { return t.entries[key] }

// All returns the entries with their keys, those that are deleted included, in no order.
func (t *Table) All() iter.Seq2[string, *StoredEntry] { return maps.All(t.entries) }

// Len is how many entries there are, those that are deleted included.
func (t *Table) Len() int { return len(t.entries) }

// Merge stores e if it supersedes what is stored, and reports whether it did. age is how long before now e was made.
func (t *Table) Merge(now time.Time, e Entry, age Age) bool {
	return t.Put(e, age.normalized().MadeBetween(now))
}

// Put stores e if it supersedes what is stored, and reports whether it did. made is when e was made, which may be later than a clock
// that was read before.
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

// compact drops changes that later ones hide.
func (t *Table) compact() {
	newest := t.log[:0]
	for _, c := range t.log {
		if e := t.entries[c.key]; e != nil && e.number == c.number {
			newest = append(newest, c)
		}
	}
	t.log = newest
}

// ChangesSince returns the entries changed after a number, in the order of their changes, and whether these are the complete table.
func (t *Table) ChangesSince(number uint64) (entries []*StoredEntry, complete bool) {
	if number < t.forgottenNumber || number > t.LastNumber {
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

// Expire forgets tombstones and hints whose time is over. A reader whose number is not past a tombstone that was forgotten has to take
// the complete table.
func (t *Table) Expire(now time.Time) {
	for key, e := range t.entries {
		switch age := e.AgeAt(now).Max; {
		case e.Deleted && age > tombstoneTTL:
			t.forgottenNumber = max(t.forgottenNumber, e.number)
			t.Drop(key)
		case age > hintTTL && strings.HasPrefix(key, HintPrefix):
			t.Drop(key)
		}
	}
}

// Drop forgets an entry as if it had never come.
func (t *Table) Drop(key string) {
	if e := t.entries[key]; e != nil {
		delete(t.entries, key)
		t.updateSorted(key, e, nil)
	}
}
