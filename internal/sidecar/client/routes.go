package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"gradeusher.example/gradeusher/balance/routes"
)

// RoutesUpdate is what a node says of the route table: all of it, what leads to it from a generation, or, as a heartbeat, that it has not changed.
type RoutesUpdate struct {
	Generation int64        `json:"gen"`
	Complete   bool         `json:"all"`  // Rules is the complete table
	From       *int64       `json:"from"` // not Complete: the generation from which Ops lead to this one; nil: a heartbeat
	Hash       string       `json:"hash"` // of the table
	Rules      routes.Table `json:"rules"`
	Ops        []routes.Op  `json:"ops"`
	Cluster    string       `json:"cluster"`
	AgeMS      *int64       `json:"age_ms"` // how long ago the node last knew itself up to date; nil: not said
}

func parseRoutesUpdate(text []byte) (update RoutesUpdate, err error) {
	if err := json.Unmarshal(text, &update); err != nil {
		return update, fmt.Errorf("routes: %w", err)
	}
	if update.Generation < 0 || update.From != nil && *update.From < 0 {
		return update, errors.New("routes: a generation is below 0")
	}
	return update, nil
}

func (u *RoutesUpdate) isHeartbeat() bool { return !u.Complete && u.From == nil }

// ErrMismatch is wrapped where an update does not lead to the route table that the node means. The complete table helps.
var ErrMismatch = errors.New("the route table's hash differs")

// RouteState is a route table and whose it is. Its JSON names are stored data and never change.
type RouteState struct {
	Cluster    string       `json:"cluster"`
	Generation int64        `json:"gen"` // below 0: there is no table
	Hash       string       `json:"hash"`
	Rules      routes.Table `json:"rules"`
}

// Apply returns the state after an update. Where the update goes back to an older generation (ErrRevisionRegressed), leads on from another table or
// leads to another one than the node means (ErrMismatch), or has an invalid table, it returns the state as it is and the error.
func (s RouteState) Apply(update RoutesUpdate) (RouteState, error) {
	sameCluster := s.Generation >= 0 && (s.Cluster == update.Cluster || update.Cluster == "")
	if sameCluster && update.Generation < s.Generation {
		return s, fmt.Errorf("%w: to generation %d from %d", ErrRevisionRegressed, update.Generation, s.Generation)
	}
	if sameCluster && update.isHeartbeat() {
		s.Generation = update.Generation // which has the same rules
		return s, nil
	}
	rules, err := s.rulesAfter(update, sameCluster)
	if err != nil {
		return s, err
	}
	if got := rules.Hash(); got != update.Hash {
		return s, fmt.Errorf("%w: %s at generation %d, the keeper says %s", ErrMismatch, got, update.Generation, update.Hash)
	}
	return RouteState{Cluster: update.Cluster, Generation: update.Generation, Hash: update.Hash, Rules: rules}, nil
}

func (s RouteState) rulesAfter(update RoutesUpdate, sameCluster bool) (routes.Table, error) {
	if update.Complete {
		if err := update.Rules.Check(); err != nil {
			return nil, fmt.Errorf("routes: %w", err)
		}
		return update.Rules.Canonical(), nil
	}
	if update.isHeartbeat() || !sameCluster || *update.From != s.Generation {
		return nil, fmt.Errorf("%w: generation %d of %q is held, and it goes on from another one", ErrMismatch, s.Generation, s.Cluster)
	}
	rules, err := routes.Apply(s.Rules, update.Ops)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMismatch, err)
	}
	return rules, nil
}

// RouteFilter returns the part of a call for routes that says for whom: the client's tags (nil: any client's), and the service that it calls ("":
// any).
func RouteFilter(tags map[string]string, service string) string {
	var parameters []string
	for tag, value := range tags {
		parameters = append(parameters, "&tag="+url.QueryEscape(tag+":"+value))
	}
	slices.Sort(parameters)
	if service != "" {
		parameters = append(parameters, "&service="+url.QueryEscape(service))
	}
	return strings.Join(parameters, "")
}

// PutRoutes replaces the route table and returns its generation. expect, if not nil, is the generation that the current table must have. Errors are
// those of Register; a table that is invalid is refused without a call.
func (c *Client) PutRoutes(ctx context.Context, table routes.Table, expect *int64) (generation int64, err error) {
	if table == nil {
		table = routes.Table{}
	}
	if err := table.Check(); err != nil { // a weight that is no number cannot be encoded
		return 0, &RefusedError{Status: http.StatusBadRequest, Code: "bad", Reason: err.Error()}
	}
	var answer struct {
		Generation int64 `json:"gen"`
	}
	err = c.do(ctx, request{method: http.MethodPut, path: "/v1/routes", notIdempotent: expect != nil,
		body: map[string]any{"rules": table, "expect": expect}}, &answer)
	return answer.Generation, err
}

// Routes returns the route table as filter, of RouteFilter, passes it, with every change that was acknowledged before the call; or what leads to it
// from a generation; below 0: none.
func (c *Client) Routes(ctx context.Context, from int64, filter string) (RoutesUpdate, error) {
	path := "/v1/routes?exact=1" + filter
	if from >= 0 {
		path += "&from=" + strconv.FormatInt(from, 10)
	}
	var text []byte
	if err := c.do(ctx, request{method: http.MethodGet, path: path}, &text); err != nil {
		return RoutesUpdate{}, err
	}
	return parseRoutesUpdate(text)
}
