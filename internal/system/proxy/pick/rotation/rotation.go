// Package rotation takes turns between the services of a route by their weights: smooth weighted round robin (as in nginx), whose turns
// interleave the services as evenly as the weights allow.
//
// Invariant: over any run of turns as long as the sum of integer weights, each service is due as often as its weight says. Argument:
// each turn adds a service's weight to its credit and takes the sum of weights off the one with the most credit, so credits add up to
// zero after each turn and are back at their start after such a run.
package rotation

import (
	"slices"

	"gradeusher.example/gradeusher/internal/system/config"
)

// Rotation is the state of one route's turns.
type Rotation struct {
	shares  []config.Share
	credits []float64 // of each share
}

// New makes the state of a route that has had no turn yet.
func New(shares []config.Share) *Rotation {
	return &Rotation{shares: shares, credits: make([]float64, len(shares))}
}

// Shares are the route's services with their weights.
func (r *Rotation) Shares() []config.Share { return r.shares }

// Next is the index of the share that is due; 0 where no share has a weight. It begins the next turn.
func (r *Rotation) Next() int {
	due, total := -1, 0.0
	for i, share := range r.shares {
		if share.Weight <= 0 {
			continue
		}
		r.credits[i] += share.Weight
		total += share.Weight
		if due < 0 || r.credits[i] > r.credits[due] {
			due = i
		}
	}
	if due < 0 {
		return 0
	}
	r.credits[due] -= total
	return due
}

// Table has the rotations of the routes of one configuration. The zero value has none.
type Table struct {
	routes    []*config.Route
	rotations map[*config.Route]*Rotation
}

// Of is the rotation of a route. A route of a configuration that was replaced while its request was under way gets one that is not kept.
func (t *Table) Of(route *config.Route) *Rotation {
	if rotation := t.rotations[route]; rotation != nil {
		return rotation
	}
	rotation := New(route.Shares)
	if slices.Contains(t.routes, route) {
		t.rotations[route] = rotation
	}
	return rotation
}

// Update takes in the routes of a new configuration: routes whose shares stay continue their turns.
func (t *Table) Update(routes []*config.Route) {
	type routeKey struct{ host, prefix string }
	old := make(map[routeKey]*Rotation, len(t.rotations))
	for route, rotation := range t.rotations {
		old[routeKey{route.Host, route.Prefix}] = rotation
	}
	t.routes, t.rotations = routes, make(map[*config.Route]*Rotation, len(routes))
	for _, route := range routes {
		rotation := old[routeKey{route.Host, route.Prefix}]
		if rotation == nil || !slices.Equal(rotation.shares, route.Shares) {
			rotation = New(route.Shares)
		}
		t.rotations[route] = rotation
	}
}
