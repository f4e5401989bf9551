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

const mostTable = 2 * routes.MostBytes // of a table as its writer spells it

// putCall is the body of a route table.
type putCall struct {
	Rules  json.RawMessage `json:"rules"`
	Expect *int64          `json:"expect,omitempty"`
}

// putRoutes puts another route table in the place of the one that is there.
func (k *Node) putRoutes(w http.ResponseWriter, r *http.Request) error {
	var c putCall
	if err := decode(r, &c); err != nil {
		return err
	}
	// Danger: a table that was left out by mistake is no empty one.
	if !bytes.HasPrefix(bytes.TrimSpace(c.Rules), []byte("[")) {
		return badf("rules: a list of rules is needed; [] is the empty table")
	}
	table, err := routes.ParseRules(c.Rules)
	if err == nil {
		err = table.Check() // here too: what is no number cannot be written to the log
	}
	if err != nil {
		return badf("%w", err)
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

const mostMoved = 4 // times that others may put a table while one is on its way, before it is sent in whole

// proposeRoutes has a table agreed on, as what leads to it. Danger: whole tables, ten a second, would make a log of gigabytes.
func (k *Node) proposeRoutes(ctx context.Context, table routes.Table, expect *int64) (state.Result, error) {
	for range mostMoved {
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

// routesAsked is a call for the route table.
type routesAsked struct {
	from    int64  // the generation that the caller holds; below 0: none
	cluster string // whose generation that is; "": not said
	cut     cut
	watch   bool
	ages    bool // the caller wants to hear how old the table may be, and its generation's number where it says the same
	exact   bool // the answer has to hold every table that was acknowledged before
}

func parseRoutesAsked(r *http.Request) (a routesAsked, err error) {
	q := r.URL.Query()
	base, err := parseAsked(r)
	if err != nil {
		return a, err
	}
	a = routesAsked{from: base.from, cluster: base.cluster, watch: base.watch, ages: base.ages, exact: base.exact}
	service := q.Get("service")
	if len(service) > routes.MostText || len(q["tag"]) > routes.MostTags {
		return a, badf("a service has %d bytes at most, and there are %d tags at most", routes.MostText, routes.MostTags)
	}
	tags := map[string]string{}
	for _, pair := range q["tag"] {
		tag, value, found := strings.Cut(pair, ":")
		_, twice := tags[tag]
		if !found || tag == "" || twice || len(tag) > routes.MostText || len(value) > routes.MostText {
			return a, badf("tag=%.60q: a tag and its value are needed, with a colon, once and of %d bytes each at most", pair, routes.MostText)
		}
		tags[tag] = value
	}
	a.cut = newCut(tags, service)
	return a, nil
}

// routes answers the route table, what leads to it, or a watch.
func (k *Node) routes(w http.ResponseWriter, r *http.Request) {
	a, err := parseRoutesAsked(r)
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
		held, err := k.heldBy(r, a)
		if err != nil {
			return err
		}
		now, _, err := k.now(held, a.cut)
		if err != nil {
			return err
		}
		line, err := k.routesLine(a, a.from, held, now)
		if err != nil {
			return err
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(line)))
		_, _ = w.Write(line) // to a caller who may have gone
		return nil
	})(w, r)
}

// now is the last generation, cut, for one who holds a view, nil: none, and tells when there is a newer one.
func (k *Node) now(held *view, by cut) (v *view, changed <-chan struct{}, err error) {
	for range 3 {
		var gen int64
		cluster := ""
		k.store.read(func(m *state.Machine) { gen, cluster, changed = m.Generation(), m.Cluster(), k.store.routed })
		if cluster == "" {
			return nil, nil, errNoList
		}
		// It may be replaced meanwhile by one from a backup, which is another generation.
		if v, err = k.cuts.next(held, gen, by); err == nil {
			return v, changed, nil
		}
	}
	return nil, nil, err
}

// heldBy is what a caller holds, cut; nil: it needs the whole table, as it holds none, or one of another history or too far back.
// Where this keeper is behind it waits, so that nobody is shown a table that goes back in time.
func (k *Node) heldBy(r *http.Request, a routesAsked) (*view, error) {
	if a.exact {
		if err := k.replica.Confirm(r.Context()); err != nil {
			return nil, err
		}
	}
	if a.from < 0 {
		return nil, nil
	}
	var gen int64
	at, err := k.reach(r, a.cluster, func() (ahead bool, changed <-chan struct{}) {
		k.store.read(func(m *state.Machine) { gen, changed = m.Generation(), k.store.routed })
		return a.from > gen, changed
	})
	switch {
	case errors.Is(err, errBehind) && a.cluster == "":
		return nil, nil // whoever does not say whose generation it is gets what there is
	case errors.Is(err, errBehind):
		return nil, fmt.Errorf("%w: it knows generation %d, not %d", errBehind, gen, a.from)
	case err != nil:
		return nil, err
	case at != reached:
		return nil, nil
	}
	held, err := k.cuts.view(a.from, a.cut)
	if errors.Is(err, errNoGeneration) {
		return nil, nil
	}
	return k.sound(held), err
}

// sound is a view from which the history goes on; nil: it does not. Danger: one that is remembered here may be of before a
// backup was taken up again.
func (k *Node) sound(held *view) *view {
	k.store.read(func(m *state.Machine) {
		if held != nil && held.gen < m.OldestGeneration() {
			held = nil
		}
	})
	return held
}

// routesLine is an answer: what leads from what the caller holds, which he knows as generation from, to the generation now; nil:
// the whole of it.
func (k *Node) routesLine(a routesAsked, from int64, held, now *view) ([]byte, error) {
	cluster := ""
	k.store.read(func(m *state.Machine) { cluster = m.Cluster() })
	kind := "whole"
	head, body := fmt.Sprintf(`{"gen":%d,"all":true,"hash":%q,"cluster":%q,"rules":`, now.gen, now.hash, cluster), []byte(nil)
	var err error
	if held != nil {
		kind, head = "diff", fmt.Sprintf(`{"gen":%d,"all":false,"from":%d,"hash":%q,"cluster":%q,"ops":`, now.gen, from, now.hash, cluster)
		body, err = k.cuts.ops(held, now, a.cut)
	} else {
		body, err = k.cuts.rules(now, a.cut)
	}
	if err != nil {
		return nil, err
	}
	line := make([]byte, 0, len(head)+len(body)+2)
	line = append(append(append(line, head...), body...), '}', '\n')
	k.metrics.routeLine(kind, len(line))
	return line, nil
}

// watchRoutes writes a line for each generation that changes what is asked, until the caller goes, is too slow, or this keeper
// ends. Each names the generation that the watcher then holds, so he can go on from there anywhere. Generations that come
// while a watcher is being written to lead to one line.
func (k *Node) watchRoutes(w http.ResponseWriter, r *http.Request, a routesAsked) error {
	if err := k.enter(&k.routeWatchers); err != nil {
		return err
	}
	defer k.routeWatchers.Add(-1)
	held, err := k.heldBy(r, a)
	if err != nil {
		return err
	}
	now, changed, err := k.now(held, a.cut)
	if err != nil {
		return err
	}
	beat := begin(w, a.ages)
	defer beat.Stop()
	line := []byte("\n") // says that the watch is open, also where there is nothing new
	for from := a.from; ; {
		if held == nil || held.hash != now.hash {
			if line, err = k.routesLine(a, from, held, now); err != nil {
				return nil // its answer has begun: all there is to say is to end it
			}
			from = now.gen
		}
		held = now
		if line != nil && !k.say(w, line) {
			return nil
		}
		line = nil
		select {
		case <-changed:
			if now, changed, err = k.now(held, a.cut); err != nil {
				return nil
			}
			held = k.sound(held)
		case <-beat.C:
			line = []byte("\n")
			if age, known := k.replica.Age(); a.ages && known {
				line, from = fmt.Appendf(nil, "{\"gen\":%d,\"age_ms\":%d}\n", held.gen, age.Milliseconds()), held.gen
			}
		case <-r.Context().Done():
			return nil
		case <-k.ending:
			return nil
		}
	}
}
