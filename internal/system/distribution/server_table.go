package distribution

import (
	"slices"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// Put writes an entry of the soft state. The error is ErrStale where a newer one is held.
func (h *Server) Put(key string, fence, version uint64, value []byte) error {
	return h.putEntry(softstate.Entry{Key: key, Fence: fence, Version: version, Value: value})
}

// Remove deletes an entry of the soft state. The error is ErrStale where a newer one is held.
func (h *Server) Remove(key string, fence, version uint64) error {
	return h.putEntry(softstate.Entry{Key: key, Fence: fence, Version: version, Deleted: true})
}

func (h *Server) putEntry(e softstate.Entry) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.mergeEntry(time.Now(), e, softstate.Age{}) {
		return errors.Mark(errors.Newf("distribution: %s is held with a higher fence or version than %d, %d: read it and write above",
			e.Key, e.Fence, e.Version), ErrStale)
	}
	return nil
}

// mergeEntry takes an entry in and has followers woken. The caller holds mu.
func (h *Server) mergeEntry(now time.Time, e softstate.Entry, age softstate.Age) bool {
	if !h.table.Merge(now, e, age) {
		return false
	}
	if !softstate.IsLazy(e.Key) {
		signal(h.wakeRequested)
	}
	return true
}

// PutList takes in a whole reading of the platform's list: servers that it does not name are gone. read is between when the
// platform was asked and when it had answered.
// Only what differs from the table goes out. version rises from reading to reading of one fence. The error is ErrStale
// where a reading under a higher fence, or one that was asked for later, has been taken in: a reading that was held up on its way
// may be older than one that was asked for after it.
func (h *Server) PutList(fence, version uint64, servers []pick.Server, read softstate.TimeBounds) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	age := read.AgeAt(now)
	if held := h.table.Get(softstate.ListKey); held != nil && held.Fence == fence && age.Max > held.AgeAt(now).Max {
		return errors.Mark(errors.Newf("distribution: a list that was asked for %v later is held: this one counts for nothing",
			age.Max-held.AgeAt(now).Max), ErrStale)
	}
	// A poller that starts anew under its old fence counts from the start, so versions go on from the table's.
	write := func(e softstate.Entry) bool {
		if held := h.table.Get(e.Key); held != nil && held.Fence == e.Fence {
			e.Version = max(e.Version, held.Version+1)
		}
		return h.mergeEntry(now, e, age)
	}
	first := h.listFence() < fence
	covers := h.commits.committedBefore(read.Earliest.Add(-h.options.ListLag))
	if !write(softstate.Entry{Key: softstate.ListKey, Fence: fence, Version: version, Value: softstate.EncodeListCovers(covers)}) {
		return errors.Mark(errors.Newf("distribution: the list is fed under a higher fence than %d: ask for the duty again before polling",
			fence), ErrStale)
	}
	named := make(map[string]bool, len(servers))
	for _, s := range servers {
		if len(s.ID) == 0 || len(s.ID) > softstate.MaxIDBytes || len(named) >= softstate.MaxServers {
			continue
		}
		named[softstate.ServerPrefix+s.ID] = true
		// Under a new fence all is written once: of what the reader of the former one told, other keepers may hold more.
		if held := h.table.Get(softstate.ServerPrefix + s.ID); held != nil && !held.Deleted && !first {
			if was, ok := held.ServerAt(now); ok && softstate.AgreesWithReading(was, softstate.CountDown(s, age)) {
				continue
			}
		}
		write(softstate.Entry{Key: softstate.ServerPrefix + s.ID, Fence: fence, Version: version, Value: softstate.EncodeServer(softstate.WithWarmUpMargin(s))})
	}
	for _, it := range slices.Clone(h.table.Live(softstate.ServerPrefix)) {
		if !named[it.Key] {
			write(softstate.Entry{Key: it.Key, Fence: fence, Version: version, Deleted: true})
		}
	}
	return nil
}

// Table gives the entries that are not deleted, by key.
func (h *Server) Table() []softstate.Entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]softstate.Entry, 0, h.table.Len())
	for _, it := range h.table.All() {
		if !it.Deleted {
			out = append(out, it.Entry)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// Members gives the proxies known, by name, those that are down or leaving included.
func (h *Server) Members() []softstate.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Members()
}

// List gives the servers as last read, with their times as of now, and the age of that reading; false: none yet.
func (h *Server) List() ([]pick.Server, time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Servers(time.Now())
}
