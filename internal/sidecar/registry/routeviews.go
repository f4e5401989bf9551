package registry

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"

	"gradeusher.example/gradeusher/balance/routes"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// routeFilter says which rules a caller asks for: those that can ever decide for a client with these tags that calls this service.
type routeFilter struct {
	tags    map[string]string // nil: any client
	service string            // "": any
	key     string            // the same for equal cuts, and for no others
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

// routeView is a generation as one who asks for a cut sees it.
type routeView struct {
	generation int64
	table      routes.Table
	hash       string
}

const maxAffectingOps = 256 // ops that are held against a view, before the table is cut anew

// maxViewCacheSize bounds what cuts hold, in rules of views, of which a full table has 20,000 and each may take 2 kB, and in 100 bytes of text
// and keys.
const maxViewCacheSize = 60_000

// viewCache makes views, and what leads from one to another, once for all who ask. What was made first is forgotten first.
//
// Generations are never those of two tables, so nothing of it gets old.
type viewCache struct {
	store     *store
	onEncoded func(kind string) // called for each thing made

	mu      sync.Mutex
	entries map[viewKey]*viewEntry
	order   []viewKey
	size    int
}

type viewKey struct {
	from, to int64 // from below 0: the view of to, or the whole of it as text
	filter   string
	text     bool
}

type viewEntry struct {
	once sync.Once
	view *routeView
	diff []routes.Op // of whole tables
	text []byte
	err  error
	size int
}

func newViewCache(s *store, made func(kind string)) *viewCache {
	return &viewCache{store: s, onEncoded: made, entries: map[viewKey]*viewEntry{}}
}

// entry is what a key stands for, made by one of those who ask at once.
func (c *viewCache) entry(key viewKey, make func(*viewEntry)) *viewEntry {
	c.mu.Lock()
	e := c.entries[key]
	if e == nil {
		e = &viewEntry{}
		c.entries[key], c.order = e, append(c.order, key)
	}
	c.mu.Unlock()
	e.once.Do(func() {
		make(e)
		size := 5 + len(e.diff) + (len(key.filter)+len(e.text))/100
		if e.view != nil {
			size += len(e.view.table)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.entries[key] != e {
			return // it was forgotten meanwhile
		}
		e.size = size
		if c.size += size; e.err != nil {
			c.forget(key) // what could not be had may be there later
		}
		for len(c.order) > 0 && (c.size > maxViewCacheSize || len(c.order) > len(c.entries)) {
			c.forget(c.order[0])
			c.order = c.order[1:]
		}
	})
	return e
}

func (c *viewCache) forget(key viewKey) {
	if e := c.entries[key]; e != nil {
		c.size -= e.size
		delete(c.entries, key)
	}
}

var errNoGeneration = fmt.Errorf("that generation is not known")

// view is a generation, cut. It fails where that is not known.
func (c *viewCache) view(gen int64, by routeFilter) (*routeView, error) {
	e := c.entry(viewKey{from: -1, to: gen, filter: by.key}, func(e *viewEntry) {
		v := &routeView{generation: gen}
		if by.tags != nil || by.service != "" {
			whole, err := c.view(gen, newRouteFilter(nil, ""))
			if err != nil {
				e.err = err
				return
			}
			v.table = whole.table.Cut(by.tags, by.service)
		} else {
			ok := false
			if c.store.read(func(m *state.Machine) { v.table, ok = m.RoutesAt(gen) }); !ok {
				e.err = errNoGeneration
				return
			}
		}
		v.hash = v.table.Hash()
		e.view = v
	})
	return e.view, e.err
}

// next is the view of a later generation for one who holds a view. Where no op between them touches the cut it costs as much as
// there are ops, whatever the size of the table: most generations then are nothing to most who watch.
func (c *viewCache) next(held *routeView, gen int64, by routeFilter) (*routeView, error) {
	if held == nil || held.generation >= gen || by.tags == nil && by.service == "" {
		return c.view(gen, by)
	}
	e := c.entry(viewKey{from: held.generation, to: gen, filter: newRouteFilter(nil, "").key}, func(e *viewEntry) {
		var from, to *routeView
		if from, e.err = c.view(held.generation, newRouteFilter(nil, "")); e.err == nil {
			to, e.err = c.view(gen, newRouteFilter(nil, ""))
		}
		if e.err == nil {
			e.diff = routes.Diff(from.table, to.table)
		}
	})
	if e.err != nil || len(e.diff) > maxAffectingOps || slices.ContainsFunc(e.diff, func(op routes.Op) bool { return by.affects(held, op) }) {
		return c.view(gen, by)
	}
	return &routeView{generation: gen, table: held.table, hash: held.hash}, nil
}

// affects tells whether an op can change a view: it is on a rule of it, or a rule comes that is.
func (by routeFilter) affects(held *routeView, op routes.Op) bool {
	comes := routes.Table{{Source: op.Source, Service: op.Service}}
	if op.Kind == routes.Add {
		comes = routes.Table{op.Rule}
	}
	return (op.Kind == routes.Add || op.Kind == routes.Rematch) && len(comes.Cut(by.tags, by.service)) > 0 ||
		slices.ContainsFunc(held.table, func(r routes.Rule) bool { return r.Name == op.Name })
}

// encodeRules is a view as JSON.
func (c *viewCache) encodeRules(to *routeView, by routeFilter) ([]byte, error) {
	e := c.entry(viewKey{from: -1, to: to.generation, filter: by.key, text: true}, func(e *viewEntry) {
		c.onEncoded("whole")
		table := to.table
		if table == nil {
			table = routes.Table{}
		}
		e.text, e.err = json.Marshal(table)
	})
	return e.text, e.err
}

// encodeOps is what leads from one view to another of the same cut, as JSON.
func (c *viewCache) encodeOps(from, to *routeView, by routeFilter) ([]byte, error) {
	e := c.entry(viewKey{from: from.generation, to: to.generation, filter: by.key, text: true}, func(e *viewEntry) {
		c.onEncoded("diff")
		e.text, e.err = json.Marshal(append([]routes.Op{}, routes.Diff(from.table, to.table)...))
	})
	return e.text, e.err
}
