package distribution

import (
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// listReading is a complete reading of the platform's list that is being written to the table.
type listReading struct {
	fence, version  uint64
	now             time.Time
	age             softstate.Age
	firstUnderFence bool // no reading under this fence has been written yet
}

// PutList merges a complete reading of the platform's list; servers that it does not contain are deleted. read bounds the time between
// the request to the platform and its response. Only differences from the table are sent. version rises with each reading under one
// fence. The error is ErrStale if a reading under a higher fence, or one that was requested later, has been merged: a reading that was
// delayed in transit may be older than one that was requested after it.
func (s *Server) PutList(fence, version uint64, servers []pick.Server, read softstate.TimeBounds) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	reading := listReading{fence: fence, version: version, now: now, age: read.AgeAt(now), firstUnderFence: s.listFence() < fence}
	if stored := s.table.Get(softstate.ListKey); stored != nil && stored.Fence == fence && reading.age.Max > stored.AgeAt(now).Max {
		return errors.Mark(errors.Newf("distribution: a list reading that was requested %v later is stored, so this reading is discarded",
			reading.age.Max-stored.AgeAt(now).Max), ErrStale)
	}
	// The reading shows at least everything up to ListLag before the platform was asked; see commitLog.
	covers := s.commits.committedBefore(read.Earliest.Add(-s.options.ListLag))
	if !s.writeReading(reading, softstate.Entry{Key: softstate.ListKey, Value: softstate.EncodeListCovers(covers)}) {
		return errors.Mark(errors.Newf("distribution: the list is written under a higher fence than %d: acquire the lease again before polling",
			fence), ErrStale)
	}
	listedKeys := s.writeServers(reading, servers)
	for _, stored := range slices.Clone(s.table.Live(softstate.ServerPrefix)) {
		if !listedKeys[stored.Key] {
			s.writeReading(reading, softstate.Entry{Key: stored.Key, Deleted: true})
		}
	}
	return nil
}

// writeServers writes the servers that differ from the table, and returns the keys of all of them. The caller holds mu.
func (s *Server) writeServers(reading listReading, servers []pick.Server) (listedKeys map[string]bool) {
	listedKeys = make(map[string]bool, len(servers))
	for _, server := range servers {
		if server.ID == "" || len(server.ID) > softstate.MaxIDBytes || len(listedKeys) >= softstate.MaxServers {
			continue
		}
		key := softstate.ServerPrefix + server.ID
		listedKeys[key] = true
		if !s.matchesReading(reading, key, server) {
			s.writeReading(reading, softstate.Entry{Key: key, Value: softstate.EncodeServer(softstate.WithWarmUpMargin(server))})
		}
	}
	return listedKeys
}

// matchesReading reports whether the table has the server as the reading shows it. Under a new fence every server is written once, because
// peers may have entries of the former fence's reader that are missing here. The caller holds mu.
func (s *Server) matchesReading(reading listReading, key string, server pick.Server) bool {
	stored := s.table.Get(key)
	if stored == nil || stored.Deleted || reading.firstUnderFence {
		return false
	}
	storedServer, ok := stored.ServerAt(reading.now)
	return ok && softstate.AgreesWithReading(storedServer, softstate.CountDown(server, reading.age))
}

// writeReading writes an entry under a reading's fence and version. A poller that restarts under its old fence counts versions from the
// beginning, so versions continue from the table's. The caller holds mu.
func (s *Server) writeReading(reading listReading, entry softstate.Entry) bool {
	entry.Fence, entry.Version = reading.fence, reading.version
	if stored := s.table.Get(entry.Key); stored != nil && stored.Fence == entry.Fence {
		entry.Version = max(entry.Version, stored.Version+1)
	}
	return s.mergeEntry(reading.now, entry, reading.age)
}

// listFence returns the fence of the newest complete reading of the platform's list, or 0 before the first one. The caller holds mu.
func (s *Server) listFence() uint64 {
	if stored := s.table.Get(softstate.ListKey); stored != nil {
		return stored.Fence
	}
	return 0
}

// deleteServersOfOldFences deletes the servers that were written under a fence below that of the list, which has just been received
// together with all of its servers: its reader may not know of every server that the former reader wrote. The caller holds mu.
func (s *Server) deleteServersOfOldFences(now time.Time, fence uint64) {
	version := s.table.Get(softstate.ListKey).Version
	for _, stored := range slices.Clone(s.table.Live(softstate.ServerPrefix)) {
		if stored.Fence < fence {
			s.mergeEntry(now, softstate.Entry{Key: stored.Key, Fence: fence, Version: version, Deleted: true}, softstate.Age{})
		}
	}
}

// List returns the servers as last read, with their times as of now, and the maximum age of that reading; false before the first one.
func (s *Server) List() ([]pick.Server, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Servers(time.Now())
}

// ListVersion identifies a complete reading of the platform's list. A reading with a higher (Fence, Version) replaces one with a lower.
type ListVersion struct {
	Fence   uint64 // the fencing token of the lease under which it was read
	Version uint64
	Age     time.Duration // upper bound
}

// ListVersion returns the version of the newest complete reading received; before the first one, zeros and the longest duration.
func (s *Server) ListVersion() ListVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	stored := s.table.Get(softstate.ListKey)
	if stored == nil {
		return ListVersion{Age: math.MaxInt64}
	}
	return ListVersion{Fence: stored.Fence, Version: stored.Version, Age: stored.AgeAt(time.Now()).Max}
}
