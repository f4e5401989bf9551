package registry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"gradeusher.example/gradeusher/balance/routes"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

const maxTableBytes = 2 * routes.MostBytes // of a table as its writer spells it

// putRoutesRequest is the body of a route table.
type putRoutesRequest struct {
	Rules  json.RawMessage `json:"rules"`
	Expect *int64          `json:"expect,omitempty"`
}

// putRoutes puts another route table in the place of the one that is there.
func (k *Node) putRoutes(w http.ResponseWriter, r *http.Request) error {
	var c putRoutesRequest
	if err := decode(r, &c); err != nil {
		return err
	}
	// Danger: a table that was left out by mistake is no empty one.
	if !bytes.HasPrefix(bytes.TrimSpace(c.Rules), []byte("[")) {
		return invalidf("rules: a list of rules is needed; [] is the empty table")
	}
	table, err := routes.ParseRules(c.Rules)
	if err == nil {
		err = table.Check() // here too: what is no number cannot be written to the log
	}
	if err != nil {
		return invalidf("%w", err)
	}
	result, err := k.proposeRoutes(r.Context(), table.Canonical(), c.Expect)
	if err != nil {
		return err
	}
	if result.RoutesChanged {
		k.log.Info("routes", "gen", result.Generation, "rules", len(table))
	}
	reply(w, http.StatusOK, struct {
		Gen int64 `json:"gen"`
	}{result.Generation})
	return nil
}

const maxDiffAttempts = 4 // times that others may put a table while one is on its way, before it is sent in whole

// proposeRoutes has a table agreed on, as what leads to it. Danger: whole tables, ten a second, would make a log of gigabytes.
func (k *Node) proposeRoutes(ctx context.Context, table routes.Table, expect *int64) (state.Result, error) {
	for range maxDiffAttempts {
		var base int64
		var now routes.Table
		k.store.read(func(m *state.Machine) {
			base = m.Generation()
			now, _ = m.RoutesAt(base) // the last is always known
		})
		ops := routes.Diff(now, table)
		if len(ops) > len(table) {
			break // it is as long as the table
		}
		result, err := k.propose(ctx, state.Command{Op: state.SetRoutes, Base: &base, Ops: ops, Expect: expect})
		if !result.BaseMoved {
			return result, err
		}
	}
	return k.propose(ctx, state.Command{Op: state.SetRoutes, Rules: table, Expect: expect})
}

// routesQuery is a call for the route table.
type routesQuery struct {
	from     int64  // the generation that the caller holds; below 0: none
	cluster  string // whose generation that is; "": not said
	filter   routeFilter
	watch    bool
	withAges bool // the caller wants to hear how old the table may be, and its generation's number where it says the same
	exact    bool // the answer has to hold every table that was acknowledged before
}

func parseRoutesQuery(r *http.Request) (a routesQuery, err error) {
	q := r.URL.Query()
	base, err := parseListQuery(r)
	if err != nil {
		return a, err
	}
	a = routesQuery{from: base.from, cluster: base.cluster, watch: base.watch, withAges: base.withAges, exact: base.exact}
	service := q.Get("service")
	if len(service) > routes.MostText || len(q["tag"]) > routes.MostTags {
		return a, invalidf("a service has %d bytes at most, and there are %d tags at most", routes.MostText, routes.MostTags)
	}
	tags := map[string]string{}
	for _, pair := range q["tag"] {
		tag, value, found := strings.Cut(pair, ":")
		_, twice := tags[tag]
		if !found || tag == "" || twice || len(tag) > routes.MostText || len(value) > routes.MostText {
			return a, invalidf("tag=%.60q: a tag and its value are needed, with a colon, once and of %d bytes each at most", pair, routes.MostText)
		}
		tags[tag] = value
	}
	a.filter = newRouteFilter(tags, service)
	return a, nil
}

// routes answers the route table, what leads to it, or a watch.
func (k *Node) routes(w http.ResponseWriter, r *http.Request) {
	a, err := parseRoutesQuery(r)
	if err == nil && a.watch {
		if err = k.watchRoutes(w, r, a); err != nil {
			k.refuse(w, "watch-routes", err)
		}
		return
	}
	k.admit("routes", func(w http.ResponseWriter, r *http.Request) error {
		if err != nil {
			return err
		}
		held, err := k.callerView(r, a)
		if err != nil {
			return err
		}
		now, _, err := k.currentView(held, a.filter)
		if err != nil {
			return err
		}
		line, err := k.encodeRoutes(a, a.from, held, now)
		if err != nil {
			return err
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(line)))
		_, _ = w.Write(line) // to a caller who may have gone
		return nil
	})(w, r)
}

// currentView is the last generation, cut, for one who holds a view, nil: none, and tells when there is a newer one.
func (k *Node) currentView(held *routeView, by routeFilter) (v *routeView, changed <-chan struct{}, err error) {
	for range 3 {
		var gen int64
		cluster := ""
		k.store.read(func(m *state.Machine) { gen, cluster, changed = m.Generation(), m.Cluster(), k.store.routesChanged })
		if cluster == "" {
			return nil, nil, errNoList
		}
		// It may be replaced meanwhile by one from a backup, which is another generation.
		if v, err = k.views.next(held, gen, by); err == nil {
			return v, changed, nil
		}
	}
	return nil, nil, err
}

// callerView is what a caller holds, cut; nil: it needs the whole table, as it holds none, or one of another history or too far back.
// Where this keeper is behind it waits, so that nobody is shown a table that goes back in time.
func (k *Node) callerView(r *http.Request, a routesQuery) (*routeView, error) {
	if a.exact {
		if err := k.replica.Confirm(r.Context()); err != nil {
			return nil, err
		}
	}
	if a.from < 0 {
		return nil, nil
	}
	var gen int64
	at, err := k.waitUntilKnown(r, a.cluster, func() (ahead bool, changed <-chan struct{}) {
		k.store.read(func(m *state.Machine) { gen, changed = m.Generation(), k.store.routesChanged })
		return a.from > gen, changed
	})
	switch {
	case errors.Is(err, errBehind) && a.cluster == "":
		return nil, nil // whoever does not say whose generation it is gets what there is
	case errors.Is(err, errBehind):
		return nil, fmt.Errorf("%w: it knows generation %d, not %d", errBehind, gen, a.from)
	case err != nil:
		return nil, err
	case at != positionKnown:
		return nil, nil
	}
	held, err := k.views.view(a.from, a.filter)
	if errors.Is(err, errNoGeneration) {
		return nil, nil
	}
	return k.checkHistory(held), err
}

// checkHistory is a view from which the history goes on; nil: it does not. Danger: one that is remembered here may be of before a
// backup was taken up again.
func (k *Node) checkHistory(held *routeView) *routeView {
	k.store.read(func(m *state.Machine) {
		if held != nil && held.generation < m.OldestGeneration() {
			held = nil
		}
	})
	return held
}

// encodeRoutes is an answer: what leads from what the caller holds, which he knows as generation from, to the generation now; nil:
// the whole of it.
func (k *Node) encodeRoutes(a routesQuery, from int64, held, now *routeView) ([]byte, error) {
	cluster := ""
	k.store.read(func(m *state.Machine) { cluster = m.Cluster() })
	kind := "whole"
	head, body := fmt.Sprintf(`{"gen":%d,"all":true,"hash":%q,"cluster":%q,"rules":`, now.generation, now.hash, cluster), []byte(nil)
	var err error
	if held != nil {
		kind, head = "diff", fmt.Sprintf(`{"gen":%d,"all":false,"from":%d,"hash":%q,"cluster":%q,"ops":`, now.generation, from, now.hash, cluster)
		body, err = k.views.encodeOps(held, now, a.filter)
	} else {
		body, err = k.views.encodeRules(now, a.filter)
	}
	if err != nil {
		return nil, err
	}
	line := make([]byte, 0, len(head)+len(body)+2)
	line = append(append(append(line, head...), body...), '}', '\n')
	k.metrics.recordRoutesAnswer(kind, len(line))
	return line, nil
}

// watchRoutes writes a line for each generation that changes what is asked, until the caller goes, is too slow, or this keeper
// ends. Each names the generation that the watcher then holds, so he can go on from there anywhere. Generations that come
// while a watcher is being written to lead to one line.
func (k *Node) watchRoutes(w http.ResponseWriter, r *http.Request, a routesQuery) error {
	if err := k.admitWatch(&k.routeWatchers); err != nil {
		return err
	}
	defer k.routeWatchers.Add(-1)
	held, err := k.callerView(r, a)
	if err != nil {
		return err
	}
	now, changed, err := k.currentView(held, a.filter)
	if err != nil {
		return err
	}
	beat := beginWatch(w, a.withAges)
	defer beat.Stop()
	line := []byte("\n") // says that the watch is open, also where there is nothing new
	for from := a.from; ; {
		if held == nil || held.hash != now.hash {
			if line, err = k.encodeRoutes(a, from, held, now); err != nil {
				return nil // its answer has begun: all there is to say is to end it
			}
			from = now.generation
		}
		held = now
		if line != nil && !k.writeLines(w, line) {
			return nil
		}
		line = nil
		select {
		case <-changed:
			if now, changed, err = k.currentView(held, a.filter); err != nil {
				return nil
			}
			held = k.checkHistory(held)
		case <-beat.C:
			line = []byte("\n")
			if age, known := k.replica.Age(); a.withAges && known {
				line, from = fmt.Appendf(nil, "{\"gen\":%d,\"age_ms\":%d}\n", held.generation, age.Milliseconds()), held.generation
			}
		case <-r.Context().Done():
			return nil
		case <-k.ending:
			return nil
		}
	}
}
