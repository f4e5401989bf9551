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

// cut says which rules a caller asks for: those that can ever decide for a client with these tags that calls this service.
type cut struct {
	tags    map[string]string // nil: any client
	service string            // "": any
	key     string            // the same for equal cuts, and for no others
}

func newCut(tags map[string]string, service string) cut {
	key := strconv.Quote(service)
	for _, tag := range slices.Sorted(maps.Keys(tags)) {
		key += strconv.Quote(tag) + strconv.Quote(tags[tag])
	}
	if len(tags) == 0 {
		tags = nil
	}
	return cut{tags, service, key}
}

// view is a generation as one who asks for a cut sees it.
type view struct {
	gen   int64
	table routes.Table
	hash  string
}

const mostTouched = 256 // ops that are held against a view, before the table is cut anew

// mostCached bounds what cuts hold, in rules of views, of which a full table has 20,000 and each may take 2 kB, and in 100 bytes of text
// and keys.
const mostCached = 60_000

// cuts makes views, and what leads from one to another, once for all who ask. What was made first is forgotten first.
//
// Generations are never those of two tables, so nothing of it gets old.
type cuts struct {
	store *store
	made  func(kind string) // called for each thing made

	mu    sync.Mutex
	all   map[cutKey]*cutEntry
	order []cutKey
	size  int
}

type cutKey struct {
	from, to int64 // from below 0: the view of to, or the whole of it as text
	cut      string
	text     bool
}

type cutEntry struct {
	once  sync.Once
	view  *view
	diff  []routes.Op // of whole tables
	text  []byte
	err   error
	sized int
}

func newCuts(s *store, made func(kind string)) *cuts {
	return &cuts{store: s, made: made, all: map[cutKey]*cutEntry{}}
}

// get is what a key stands for, made by one of those who ask at once.
func (c *cuts) get(key cutKey, make func(*cutEntry)) *cutEntry {
	c.mu.Lock()
	e := c.all[key]
	if e == nil {
		e = &cutEntry{}
		c.all[key], c.order = e, append(c.order, key)
	}
	c.mu.Unlock()
	e.once.Do(func() {
		make(e)
		size := 5 + len(e.diff) + (len(key.cut)+len(e.text))/100
		if e.view != nil {
			size += len(e.view.table)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.all[key] != e {
			return // it was forgotten meanwhile
		}
		e.sized = size
		if c.size += size; e.err != nil {
			c.forget(key) // what could not be had may be there later
		}
		for len(c.order) > 0 && (c.size > mostCached || len(c.order) > len(c.all)) {
			c.forget(c.order[0])
			c.order = c.order[1:]
		}
	})
	return e
}

func (c *cuts) forget(key cutKey) {
	if e := c.all[key]; e != nil {
		c.size -= e.sized
		delete(c.all, key)
	}
}

var errNoGeneration = fmt.Errorf("that generation is not known")

// view is a generation, cut. It fails where that is not known.
func (c *cuts) view(gen int64, by cut) (*view, error) {
	e := c.get(cutKey{from: -1, to: gen, cut: by.key}, func(e *cutEntry) {
		v := &view{gen: gen}
		if by.tags != nil || by.service != "" {
			whole, err := c.view(gen, newCut(nil, ""))
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
func (c *cuts) next(held *view, gen int64, by cut) (*view, error) {
	if held == nil || held.gen >= gen || by.tags == nil && by.service == "" {
		return c.view(gen, by)
	}
	e := c.get(cutKey{from: held.gen, to: gen, cut: newCut(nil, "").key}, func(e *cutEntry) {
		var from, to *view
		if from, e.err = c.view(held.gen, newCut(nil, "")); e.err == nil {
			to, e.err = c.view(gen, newCut(nil, ""))
		}
		if e.err == nil {
			e.diff = routes.Diff(from.table, to.table)
		}
	})
	if e.err != nil || len(e.diff) > mostTouched || slices.ContainsFunc(e.diff, func(op routes.Op) bool { return by.touches(held, op) }) {
		return c.view(gen, by)
	}
	return &view{gen: gen, table: held.table, hash: held.hash}, nil
}

// touches tells whether an op can change a view: it is on a rule of it, or a rule comes that is.
func (by cut) touches(held *view, op routes.Op) bool {
	comes := routes.Table{{Source: op.Source, Service: op.Service}}
	if op.Kind == routes.Add {
		comes = routes.Table{op.Rule}
	}
	return (op.Kind == routes.Add || op.Kind == routes.Rematch) && len(comes.Cut(by.tags, by.service)) > 0 ||
		slices.ContainsFunc(held.table, func(r routes.Rule) bool { return r.Name == op.Name })
}

// rules is a view as JSON.
func (c *cuts) rules(to *view, by cut) ([]byte, error) {
	e := c.get(cutKey{from: -1, to: to.gen, cut: by.key, text: true}, func(e *cutEntry) {
		c.made("whole")
		table := to.table
		if table == nil {
			table = routes.Table{}
		}
		e.text, e.err = json.Marshal(table)
	})
	return e.text, e.err
}

// ops is what leads from one view to another of the same cut, as JSON.
func (c *cuts) ops(from, to *view, by cut) ([]byte, error) {
	e := c.get(cutKey{from: from.gen, to: to.gen, cut: by.key, text: true}, func(e *cutEntry) {
		c.made("diff")
		e.text, e.err = json.Marshal(append([]routes.Op{}, routes.Diff(from.table, to.table)...))
	})
	return e.text, e.err
}
