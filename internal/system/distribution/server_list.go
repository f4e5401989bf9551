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
	fence, version uint64
	now            time.Time
	age            softstate.Age
	firstOfFence   bool // no reading of this fence has been written
}

// PutList takes in a complete reading of the platform's list: servers that it does not name are gone. read is between when the
// platform was asked and when it had answered.
// Only what differs from the table is sent. version rises from reading to reading of one fence. The error is ErrStale
// where a reading under a higher fence, or one that was asked for later, has been taken in: a reading that was delayed on its way
// may be older than one that was asked for after it.
func (s *Server) PutList(fence, version uint64, servers []pick.Server, read softstate.TimeBounds) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	reading := listReading{fence: fence, version: version, now: now, age: read.AgeAt(now), firstOfFence: s.listFence() < fence}
	if stored := s.table.Get(softstate.ListKey); stored != nil && stored.Fence == fence && reading.age.Max > stored.AgeAt(now).Max {
		return errors.Mark(errors.Newf("distribution: a list that was asked for %v later is stored: this one counts for nothing",
			reading.age.Max-stored.AgeAt(now).Max), ErrStale)
	}
	// The reading shows at least what was so long before the platform was asked: see commitLog.
	covers := s.commits.committedBefore(read.Earliest.Add(-s.options.ListLag))
	if !s.writeReading(reading, softstate.Entry{Key: softstate.ListKey, Value: softstate.EncodeListCovers(covers)}) {
		return errors.Mark(errors.Newf("distribution: the list is written under a higher fence than %d: acquire the lease again before polling",
			fence), ErrStale)
	}
	named := s.writeServers(reading, servers)
	for _, stored := range slices.Clone(s.table.Live(softstate.ServerPrefix)) {
		if !named[stored.Key] {
			s.writeReading(reading, softstate.Entry{Key: stored.Key, Deleted: true})
		}
	}
	return nil
}

// writeServers writes the servers that differ from the table, and returns the keys of all. The caller holds mu.
func (s *Server) writeServers(reading listReading, servers []pick.Server) (named map[string]bool) {
	named = make(map[string]bool, len(servers))
	for _, server := range servers {
		if server.ID == "" || len(server.ID) > softstate.MaxIDBytes || len(named) >= softstate.MaxServers {
			continue
		}
		key := softstate.ServerPrefix + server.ID
		named[key] = true
		if !s.readingAgrees(reading, key, server) {
			s.writeReading(reading, softstate.Entry{Key: key, Value: softstate.EncodeServer(softstate.WithWarmUpMargin(server))})
		}
	}
	return named
}

// readingAgrees reports whether the table has a server as a reading shows it. Under a new fence everything is written once: peers may
// have more of what the reader of the former fence wrote. The caller holds mu.
func (s *Server) readingAgrees(reading listReading, key string, server pick.Server) bool {
	stored := s.table.Get(key)
	if stored == nil || stored.Deleted || reading.firstOfFence {
		return false
	}
	storedServer, ok := stored.ServerAt(reading.now)
	return ok && softstate.AgreesWithReading(storedServer, softstate.CountDown(server, reading.age))
}

// writeReading writes an entry under a reading's fence and version. A poller that starts anew under its old fence counts versions from
// the start, so versions continue from the table's. The caller holds mu.
func (s *Server) writeReading(reading listReading, entry softstate.Entry) bool {
	entry.Fence, entry.Version = reading.fence, reading.version
	if stored := s.table.Get(entry.Key); stored != nil && stored.Fence == entry.Fence {
		entry.Version = max(entry.Version, stored.Version+1)
	}
	return s.mergeEntry(reading.now, entry, reading.age)
}

// listFence is the fence of the newest complete reading of the platform's list; 0: none has come. The caller holds mu.
func (s *Server) listFence() uint64 {
	if stored := s.table.Get(softstate.ListKey); stored != nil {
		return stored.Fence
	}
	return 0
}

// deleteServersOfOldFences deletes the servers that were written under fences below that of the list, which has just come with all of its
// servers: whoever read it may not know of all that the former reader wrote. The caller holds mu.
func (s *Server) deleteServersOfOldFences(now time.Time, fence uint64) {
	version := s.table.Get(softstate.ListKey).Version
	for _, stored := range slices.Clone(s.table.Live(softstate.ServerPrefix)) {
		if stored.Fence < fence {
			s.mergeEntry(now, softstate.Entry{Key: stored.Key, Fence: fence, Version: version, Deleted: true}, softstate.Age{})
		}
	}
}

// List returns the servers as last read, with their times as of now, and the greatest possible age of that reading; false: none yet.
func (s *Server) List() ([]pick.Server, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Servers(time.Now())
}

// ListVersion is how new a complete reading of the platform's list is. One with a higher (Fence, Version) replaces one with a lower.
type ListVersion struct {
	Fence   uint64 // the fencing token under which it was read
	Version uint64
	Age     time.Duration // at most
}

// ListVersion returns the version of the newest complete reading that has come here; before any has, zeros and the longest duration.
func (s *Server) ListVersion() ListVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	stored := s.table.Get(softstate.ListKey)
	if stored == nil {
		return ListVersion{Age: math.MaxInt64}
	}
	return ListVersion{Fence: stored.Fence, Version: stored.Version, Age: stored.AgeAt(time.Now()).Max}
}
