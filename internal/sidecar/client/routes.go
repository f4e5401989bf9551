package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"gradeusher.example/gradeusher/balance/routes"
	"gradeusher.example/gradeusher/internal/sidecar/sealed"
)

// RoutesUpdate is what a keeper says of the route table: all of it, what leads to it from a generation, or that nothing changed.
type RoutesUpdate struct {
	Generation int64        `json:"gen"`
	Complete   bool         `json:"all"`
	From       *int64       `json:"from"` // not All: the generation that Ops lead on from
	Hash       string       `json:"hash"` // of the table that they lead to
	Rules      routes.Table `json:"rules"`
	Ops        []routes.Op  `json:"ops"`
	Cluster    string       `json:"cluster"`
	AgeMS      *int64       `json:"age_ms"` // how long ago the keeper last knew itself up to date; nil: not said
}

func parseRoutesUpdate(text []byte) (n RoutesUpdate, err error) {
	if err := json.Unmarshal(text, &n); err != nil {
		return n, fmt.Errorf("routes: %w", err)
	}
	if n.Generation < 0 || n.From != nil && *n.From < 0 {
		return n, errors.New("routes: a generation is below 0")
	}
	return n, nil
}

// ErrMismatch is a route table that differs from the one that the keeper means.
var ErrMismatch = errors.New("the route table's hash differs")

// RouteState is a route table and whose it is.
type RouteState struct {
	Cluster    string       `json:"cluster"`
	Generation int64        `json:"gen"` // below 0: none is held
	Hash       string       `json:"hash"`
	Rules      routes.Table `json:"rules"`
}

// Apply is what is held after a keeper's news. Where it goes back in time, leads on from something else or to something else
// there is an error, and nothing of it was taken. ErrMismatch and ErrRevisionRegressed are wrapped.
func (h RouteState) Apply(n RoutesUpdate) (RouteState, error) {
	next := RouteState{Cluster: n.Cluster, Generation: n.Generation, Hash: n.Hash}
	same := h.Generation >= 0 && (h.Cluster == n.Cluster || n.Cluster == "")
	beat := !n.Complete && n.From == nil
	var err error
	switch {
	case same && n.Generation < h.Generation:
		return h, fmt.Errorf("%w: to generation %d from %d", ErrRevisionRegressed, n.Generation, h.Generation)
	case beat && same:
		h.Generation = n.Generation // it has the same rules
		return h, nil
	case n.Complete:
		if err = n.Rules.Check(); err != nil {
			return h, fmt.Errorf("routes: %w", err)
		}
		next.Rules = n.Rules.Canonical()
	case beat || !same || *n.From != h.Generation:
		return h, fmt.Errorf("%w: generation %d of %q is held, and it goes on from another one", ErrMismatch, h.Generation, h.Cluster)
	default:
		if next.Rules, err = routes.Apply(h.Rules, n.Ops); err != nil {
			return h, fmt.Errorf("%w: %w", ErrMismatch, err)
		}
	}
	if got := next.Rules.Hash(); got != n.Hash {
		return h, fmt.Errorf("%w: %s at generation %d, the keeper says %s", ErrMismatch, got, n.Generation, n.Hash)
	}
	return next, nil
}

// RouteCache keeps the last good route table in a file, for the next process.
type RouteCache struct{ path string }

// NewRouteCache keeps it in a folder, for a client of a name. No folder: nothing is kept.
func NewRouteCache(folder, name string) RouteCache {
	if folder == "" {
		return RouteCache{}
	}
	return RouteCache{filepath.Join(folder, "routes-"+name+".cache")}
}

var routeCacheKind = sealed.Kind{Magic: "gradeusher-routes", Form: 1, Needs: 1}

// maxCachedRoutesBytes is bytes of a saved route table. JSON takes up to 6 bytes for each that routes.MaxTableBytes counts, as in an
// escape; the rest is for the cut.
const maxCachedRoutesBytes = 8 * routes.MaxTableBytes

type cachedRoutes struct {
	SavedMS int64      `json:"saved_ms"` // Unix time
	Filter  string     `json:"cut"`      // what was asked for
	Routes  RouteState `json:"held"`
}

func (c RouteCache) cell() sealed.Cell[cachedRoutes] {
	return sealed.Cell[cachedRoutes]{Path: c.path, Kind: routeCacheKind, Most: maxCachedRoutesBytes, Check: func(v cachedRoutes) error {
		if got := v.Routes.Rules.Hash(); got != v.Routes.Hash {
			return fmt.Errorf("%w: %s, not %s", ErrMismatch, got, v.Routes.Hash)
		}
		return v.Routes.Rules.Check()
	}}
}

// Load is what was saved last of a cut, and how long ago. It tells false where there is nothing; errors tell of what was
// unsound, which is set aside.
func (c RouteCache) Load(cut string, now time.Time) (h RouteState, age time.Duration, ok bool, err error) {
	v, ok, err := c.cell().Load()
	if !ok || v.Filter != cut { // what was cut for another client lacks rules
		return RouteState{Generation: -1}, 0, false, cacheError(err)
	}
	return v.Routes, max(0, now.Sub(time.UnixMilli(v.SavedMS))), true, nil
}

// Save replaces what was saved.
func (c RouteCache) Save(h RouteState, cut string, now time.Time) error {
	return cacheError(c.cell().Save(cachedRoutes{now.UnixMilli(), cut, h}))
}

// RouteFilter is the part of a call for routes that says for whom: the client's tags, nil: any client's, and the service it calls,
// "": any.
func RouteFilter(tags map[string]string, service string) string {
	var pairs []string
	for tag, v := range tags {
		pairs = append(pairs, "&tag="+url.QueryEscape(tag+":"+v))
	}
	slices.Sort(pairs)
	if service != "" {
		pairs = append(pairs, "&service="+url.QueryEscape(service))
	}
	return strings.Join(pairs, "")
}

// PutRoutes puts a route table in the place of the one that is there, and returns its generation. expect, if not nil, is the
// generation that must be there. Errors are as with Register.
func (c *Client) PutRoutes(ctx context.Context, table routes.Table, expect *int64) (gen int64, err error) {
	if table == nil {
		table = routes.Table{}
	}
	if err := table.Check(); err != nil { // what is no number cannot be sent
		return 0, &RefusedError{Status: http.StatusBadRequest, Code: "bad", Reason: err.Error()}
	}
	var a struct {
		Gen int64 `json:"gen"`
	}
	err = c.do(ctx, request{method: http.MethodPut, path: "/v1/routes", notIdempotent: expect != nil,
		body: map[string]any{"rules": table, "expect": expect}}, &a)
	return a.Gen, err
}

// Routes is the route table with every change that was acknowledged before the call, or what leads to it from a generation,
// below 0: none, as RouteFilter cuts it.
func (c *Client) Routes(ctx context.Context, from int64, cut string) (n RoutesUpdate, err error) {
	path := "/v1/routes?exact=1" + cut
	if from >= 0 {
		path += "&from=" + strconv.FormatInt(from, 10)
	}
	var text []byte
	if err := c.do(ctx, request{method: http.MethodGet, path: path}, &text); err != nil {
		return n, err
	}
	return parseRoutesUpdate(text)
}
