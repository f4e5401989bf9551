package registry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"gradeusher.example/gradeusher/balance/routes"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

const (
	maxTableBytes   = 2 * routes.MaxTableBytes // of the body with a route table, in the spelling of its writer
	maxDiffAttempts = 4                        // to propose a table as a difference while others change the table, before it is proposed complete
)

// putRoutesRequest is the body of PUT /v1/routes.
type putRoutesRequest struct {
	Rules  json.RawMessage `json:"rules"`
	Expect *int64          `json:"expect,omitempty"` // the current generation
}

// putRoutesAnswer is the answer.
type putRoutesAnswer struct {
	Generation int64 `json:"gen"`
}

// putRoutes handles PUT /v1/routes: it replaces the route table.
func (n *Node) putRoutes(w http.ResponseWriter, r *http.Request) error {
	var request putRoutesRequest
	if err := decode(r, &request); err != nil {
		return err
	}
	table, err := parseTable(request.Rules)
	if err != nil {
		return err
	}
	result, err := n.proposeRoutes(r.Context(), table.Canonical(), request.Expect)
	if err != nil {
		return err
	}
	if result.RoutesChanged {
		n.log.Info("routes", "gen", result.Generation, "rules", len(table))
	}
	reply(w, http.StatusOK, putRoutesAnswer{result.Generation})
	return nil
}

// parseTable reads and checks a route table. A table that is left out is an error and not the empty one, as it likely is a mistake. The check is
// made before the proposal too, because a weight that is no number cannot be written to the log.
func parseTable(text json.RawMessage) (routes.Table, error) {
	if !bytes.HasPrefix(bytes.TrimSpace(text), []byte("[")) {
		return nil, invalidf("rules: a list of rules is needed; [] is the empty table")
	}
	table, err := routes.ParseRules(text)
	if err != nil {
		return nil, invalidf("%w", err)
	}
	if err := table.Check(); err != nil {
		return nil, invalidf("%w", err)
	}
	return table, nil
}

// proposeRoutes proposes a table as the operations that lead to it from the current one: complete tables, ten a second, would make a log of
// gigabytes.
func (n *Node) proposeRoutes(ctx context.Context, table routes.Table, expect *int64) (state.Result, error) {
	for range maxDiffAttempts {
		var base int64
		var current routes.Table
		n.store.read(func(m *state.Machine) {
			base = m.Generation()
			current, _ = m.RoutesAt(base) // the current one is always known
		})
		ops := routes.Diff(current, table)
		if len(ops) > len(table) {
			break // the difference is longer than the table
		}
		result, err := n.propose(ctx, state.Command{Op: state.SetRoutes, Base: &base, Ops: ops, Expect: expect})
		if !result.BaseMoved {
			return result, err
		}
	}
	return n.propose(ctx, state.Command{Op: state.SetRoutes, Rules: table, Expect: expect})
}

// routesQuery is a call for the route table. With ages, heartbeats also name the generation where it has the same rules.
type routesQuery struct {
	watchQuery
	filter routeFilter
}

func parseRoutesQuery(r *http.Request) (routesQuery, error) {
	base, err := parseWatchQuery(r)
	if err != nil {
		return routesQuery{}, err
	}
	asked := routesQuery{watchQuery: base}
	asked.filter, err = parseRouteFilter(r.URL.Query())
	return asked, err
}

func parseRouteFilter(values url.Values) (routeFilter, error) {
	service := values.Get("service")
	if len(service) > routes.MaxTextBytes || len(values["tag"]) > routes.MaxTags {
		return routeFilter{}, invalidf("a service has %d bytes at most, and there are %d tags at most", routes.MaxTextBytes, routes.MaxTags)
	}
	tags := map[string]string{}
	for _, pair := range values["tag"] {
		tag, value, found := strings.Cut(pair, ":")
		_, repeated := tags[tag]
		tooLong := len(tag) > routes.MaxTextBytes || len(value) > routes.MaxTextBytes
		if !found || tag == "" || repeated || tooLong {
			return routeFilter{}, invalidf("tag=%.60q: a tag and its value are needed, with a colon, once and of %d bytes each at most", pair, routes.MaxTextBytes)
		}
		tags[tag] = value
	}
	return newRouteFilter(tags, service), nil
}

// routes handles GET /v1/routes: the route table, what leads to it, or a watch.
func (n *Node) routes(w http.ResponseWriter, r *http.Request) {
	asked, err := parseRoutesQuery(r)
	n.serveQuery(w, r, query{
		watch: asked.watch, err: err, op: "routes", watchOp: "watch-routes",
		answer:   func(w http.ResponseWriter, r *http.Request) error { return n.replyRoutes(w, r, asked) },
		runWatch: func(w http.ResponseWriter, r *http.Request) error { return n.watchRoutes(w, r, asked) },
	})
}

func (n *Node) replyRoutes(w http.ResponseWriter, r *http.Request, asked routesQuery) error {
	clientView, err := n.clientView(r, asked)
	if err != nil {
		return err
	}
	current, _, err := n.currentView(clientView, asked.filter)
	if err != nil {
		return err
	}
	line, err := n.encodeRoutes(asked.filter, asked.from, clientView, current)
	if err != nil {
		return err
	}
	replyBytes(w, "application/json", line)
	return nil
}

const maxViewAttempts = 3 // to read the current generation while a restore replaces it

// currentView returns the current generation for a client that has a view, nil for none, and a channel that is closed when there is a newer one.
func (n *Node) currentView(clientView *routeView, filter routeFilter) (view *routeView, changed <-chan struct{}, err error) {
	for range maxViewAttempts {
		var generation int64
		cluster := ""
		n.store.read(func(m *state.Machine) {
			generation, cluster, changed = m.Generation(), m.Cluster(), n.store.routesChanged
		})
		if cluster == "" {
			return nil, nil, errNoList
		}
		if view, err = n.views.next(clientView, generation, filter); err == nil {
			return view, changed, nil
		}
	}
	return nil, nil, err
}

// clientView returns the view that a client has, or nil where it needs the complete table: it has none, or one of another history or too far
// back. Where this node is behind it waits, so that no client is shown an older table than it has.
func (n *Node) clientView(r *http.Request, asked routesQuery) (*routeView, error) {
	if asked.exact {
		if err := n.replica.Confirm(r.Context()); err != nil {
			return nil, err
		}
	}
	if asked.from < 0 {
		return nil, nil
	}
	var generation int64
	where, err := n.waitUntilKnown(r, asked.cluster, func() (known bool, changed <-chan struct{}) {
		n.store.read(func(m *state.Machine) { generation, changed = m.Generation(), n.store.routesChanged })
		return asked.from <= generation, changed
	})
	switch {
	case errors.Is(err, errBehind) && asked.cluster == "":
		return nil, nil // a client that does not say whose generation it has gets what there is
	case errors.Is(err, errBehind):
		return nil, fmt.Errorf("%w: it knows generation %d, not %d", errBehind, generation, asked.from)
	case err != nil:
		return nil, err
	case where != positionKnown:
		return nil, nil
	}
	view, err := n.views.view(asked.from, asked.filter)
	if errors.Is(err, errNoGeneration) {
		return nil, nil
	}
	return n.inHistory(view), err
}

// inHistory returns a view if the history reaches back to it, else nil: a view in the cache may be of before a restore.
func (n *Node) inHistory(view *routeView) *routeView {
	if view == nil {
		return nil
	}
	var oldest int64
	n.store.read(func(m *state.Machine) { oldest = m.OldestGeneration() })
	if view.generation < oldest {
		return nil
	}
	return view
}

// The kinds of answers with routes, in metrics.
const (
	kindComplete = "whole"
	kindDiff     = "diff"
)

// encodeRoutes returns the line that leads a client from its view, which it knows as generation from, to the current one; nil for no view: the
// complete table.
func (n *Node) encodeRoutes(filter routeFilter, from int64, clientView, current *routeView) ([]byte, error) {
	cluster := n.store.cluster()
	var kind, head string
	var body []byte
	var err error
	if clientView == nil {
		kind = kindComplete
		head = fmt.Sprintf(`{"gen":%d,"all":true,"hash":%q,"cluster":%q,"rules":`, current.generation, current.hash, cluster)
		body, err = n.views.encodeRules(current, filter)
	} else {
		kind = kindDiff
		head = fmt.Sprintf(`{"gen":%d,"all":false,"from":%d,"hash":%q,"cluster":%q,"ops":`, current.generation, from, current.hash, cluster)
		body, err = n.views.encodeOps(clientView, current, filter)
	}
	if err != nil {
		return nil, err
	}
	line := make([]byte, 0, len(head)+len(body)+2)
	line = append(line, head...)
	line = append(line, body...)
	line = append(line, '}', '\n')
	n.metrics.recordRoutesAnswer(kind, len(line))
	return line, nil
}
