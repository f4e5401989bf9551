package registry

import (
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strconv"
	"sync"

	"gradeusher.example/gradeusher/balance/routes"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// routeFilter says which rules a client asks for: those that can ever decide for a client with these tags that calls this service.
type routeFilter struct {
	tags    map[string]string // nil: any client
	service string            // "": any
	key     string            // the same for equal filters only
}

func newRouteFilter(tags map[string]string, service string) routeFilter {
	key := strconv.Quote(service)
	for _, tag := range slices.Sorted(maps.Keys(tags)) {
		key += strconv.Quote(tag) + strconv.Quote(tags[tag])
	}
	if len(tags) == 0 {
		tags = nil
	}
	return routeFilter{tags, service, key}
}

// noFilter passes every rule.
var noFilter = newRouteFilter(nil, "")

func (f routeFilter) passesAll() bool { return f.tags == nil && f.service == "" }

// affects tells whether an operation can change a view: it is on a rule of the view, or a rule that the filter passes is added or changed.
func (f routeFilter) affects(current *routeView, op routes.Op) bool {
	switch op.Kind {
	case routes.Add:
		if f.passes(op.Rule) {
			return true
		}
	case routes.Rematch:
		if f.passes(routes.Rule{Source: op.Source, Service: op.Service}) {
			return true
		}
	}
	return slices.ContainsFunc(current.table, func(rule routes.Rule) bool { return rule.Name == op.Name })
}

func (f routeFilter) passes(rule routes.Rule) bool {
	return len(routes.Table{rule}.Relevant(f.tags, f.service)) > 0
}

// routeView is a generation of the route table as a filter passes it.
type routeView struct {
	generation int64
	table      routes.Table
	hash       string
}

const (
	// maxAffectingOps bounds the operations that are compared with a view, before the table is filtered anew.
	maxAffectingOps = 256
	// maxViewCacheSize bounds a viewCache, in units of a rule of a view or of 100 bytes of text and keys. A complete table has up to 20,000
	// rules of up to 2 kB.
	maxViewCacheSize = 60_000
)

// viewCache makes views, and the encoded differences between them, once for all clients that ask. The oldest entries are evicted first. An
// entry is never stale, because no two tables have the same generation.
type viewCache struct {
	store     *store
	onEncoded func(kind string) // called for each table or difference that is encoded

	mu      sync.Mutex
	entries map[viewKey]*viewEntry
	order   []viewKey
	size    int
}

// viewKey names what an entry holds.
type viewKey struct {
	from, to int64 // from below 0: the view of to itself, else what leads from one to the other
	filter   string
	text     bool // as JSON
}

type viewEntry struct {
	once sync.Once
	view *routeView
	diff []routes.Op // between complete tables
	text []byte
	err  error
	size int
}

func newViewCache(s *store, onEncoded func(kind string)) *viewCache {
	return &viewCache{store: s, onEncoded: onEncoded, entries: map[viewKey]*viewEntry{}}
}

// entry returns the entry of a key. Of callers that ask at the same time one builds it, and the others wait.
func (c *viewCache) entry(key viewKey, build func(*viewEntry)) *viewEntry {
	c.mu.Lock()
	entry := c.entries[key]
	if entry == nil {
		entry = &viewEntry{}
		c.entries[key], c.order = entry, append(c.order, key)
	}
	c.mu.Unlock()
	entry.once.Do(func() {
		build(entry)
		c.account(key, entry)
	})
	return entry
}

// account adds the size of an entry that was built, and evicts what is too much. An entry with an error is evicted at once, since what cannot be
// had now may be there later.
func (c *viewCache) account(key viewKey, entry *viewEntry) {
	size := 5 + len(entry.diff) + (len(key.filter)+len(entry.text))/100
	if entry.view != nil {
		size += len(entry.view.table)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries[key] != entry {
		return // it was evicted meanwhile
	}
	entry.size = size
	c.size += size
	if entry.err != nil {
		c.evict(key)
	}
	for len(c.order) > 0 && (c.size > maxViewCacheSize || len(c.order) > len(c.entries)) {
		c.evict(c.order[0])
		c.order = c.order[1:]
	}
}

// evict drops an entry. The caller holds c.mu.
func (c *viewCache) evict(key viewKey) {
	if entry := c.entries[key]; entry != nil {
		c.size -= entry.size
		delete(c.entries, key)
	}
}

var errNoGeneration = errors.New("that generation is not known")

// view returns a generation as a filter passes it, or errNoGeneration.
func (c *viewCache) view(generation int64, filter routeFilter) (*routeView, error) {
	entry := c.entry(viewKey{from: -1, to: generation, filter: filter.key}, func(entry *viewEntry) {
		table, err := c.table(generation, filter)
		if err != nil {
			entry.err = err
			return
		}
		entry.view = &routeView{generation: generation, table: table, hash: table.Hash()}
	})
	return entry.view, entry.err
}

func (c *viewCache) table(generation int64, filter routeFilter) (routes.Table, error) {
	if !filter.passesAll() {
		complete, err := c.view(generation, noFilter)
		if err != nil {
			return nil, err
		}
		return complete.table.Relevant(filter.tags, filter.service), nil
	}
	var table routes.Table
	found := false
	c.store.read(func(m *state.Machine) { table, found = m.RoutesAt(generation) })
	if !found {
		return nil, errNoGeneration
	}
	return table, nil
}

// next returns the view of a later generation for a client that has one. Where no operation between them affects the view, it costs as much as
// there are operations, whatever the size of the table: most generations change nothing for most watches.
func (c *viewCache) next(current *routeView, generation int64, filter routeFilter) (*routeView, error) {
	if current == nil || current.generation >= generation || filter.passesAll() {
		return c.view(generation, filter)
	}
	ops, err := c.diff(current.generation, generation)
	affected := slices.ContainsFunc(ops, func(op routes.Op) bool { return filter.affects(current, op) })
	if err != nil || affected {
		return c.view(generation, filter)
	}
	return &routeView{generation: generation, table: current.table, hash: current.hash}, nil
}

// errManyOps is returned where there are more than maxAffectingOps.
var errManyOps = errors.New("too many operations")

// diff returns the operations that lead from one complete table to another.
func (c *viewCache) diff(from, to int64) ([]routes.Op, error) {
	entry := c.entry(viewKey{from: from, to: to, filter: noFilter.key}, func(entry *viewEntry) {
		before, err := c.view(from, noFilter)
		if err != nil {
			entry.err = err
			return
		}
		after, err := c.view(to, noFilter)
		if err != nil {
			entry.err = err
			return
		}
		entry.diff = routes.Diff(before.table, after.table)
	})
	if entry.err != nil {
		return nil, entry.err
	}
	if len(entry.diff) > maxAffectingOps {
		return nil, errManyOps
	}
	return entry.diff, nil
}

// encodeRules returns a view as JSON.
func (c *viewCache) encodeRules(view *routeView, filter routeFilter) ([]byte, error) {
	entry := c.entry(viewKey{from: -1, to: view.generation, filter: filter.key, text: true}, func(entry *viewEntry) {
		c.onEncoded(kindComplete)
		table := view.table
		if table == nil {
			table = routes.Table{}
		}
		entry.text, entry.err = json.Marshal(table)
	})
	return entry.text, entry.err
}

// encodeOps returns what leads from one view to another of the same filter, as JSON.
func (c *viewCache) encodeOps(from, to *routeView, filter routeFilter) ([]byte, error) {
	entry := c.entry(viewKey{from: from.generation, to: to.generation, filter: filter.key, text: true}, func(entry *viewEntry) {
		c.onEncoded(kindDiff)
		entry.text, entry.err = json.Marshal(append([]routes.Op{}, routes.Diff(from.table, to.table)...))
	})
	return entry.text, entry.err
}
