package distribution

import (
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
)

// Put writes an entry of the soft state. The error is ErrStale if a newer one is stored.
func (s *Server) Put(key string, fence, version uint64, value []byte) error {
	return s.putEntry(softstate.Entry{Key: key, Fence: fence, Version: version, Value: value})
}

// Remove deletes an entry of the soft state. The error is ErrStale if a newer one is stored.
func (s *Server) Remove(key string, fence, version uint64) error {
	return s.putEntry(softstate.Entry{Key: key, Fence: fence, Version: version, Deleted: true})
}

func (s *Server) putEntry(entry softstate.Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.mergeEntry(time.Now(), entry, softstate.Age{}) {
		return errors.Mark(errors.Newf("distribution: %s is stored with a higher fence or version than (%d, %d): read it and write with a higher one",
			entry.Key, entry.Fence, entry.Version), ErrStale)
	}
	return nil
}

// mergeEntry merges an entry and requests that subscribers are woken. It reports whether the entry was stored. The caller holds mu.
func (s *Server) mergeEntry(now time.Time, entry softstate.Entry, age softstate.Age) bool {
	if !s.table.Merge(now, entry, age) {
		return false
	}
	if !softstate.IsLazy(entry.Key) {
		signal(s.wakeRequested)
	}
	return true
}

// Table returns the entries that are not deleted, sorted by key.
func (s *Server) Table() []softstate.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]softstate.Entry, 0, s.table.Len())
	for _, stored := range s.table.All() {
		if !stored.Deleted {
			out = append(out, stored.Entry)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// Members returns all known proxies, sorted by name, including those that are down or draining.
func (s *Server) Members() []softstate.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Members()
}
