// Package rotation selects the services of a route in turn according to their weights: smooth
// weighted round robin (as in nginx), which interleaves the services as evenly as the weights allow.
//
// Invariant: over any sequence of as many turns as the sum of the integer weights, each service is due as often as its weight.
// Argument: each turn adds a service's weight to its credit and subtracts the sum of the weights from the credit of the service
// with the highest one, so the credits add up to zero after each turn and are back at their start after such a sequence.
package rotation

import (
	"slices"

	"gradeusher.example/gradeusher/internal/system/config"
)

// Rotation is the rotation state of one route.
type Rotation struct {
	shares  []config.Share
	credits []float64 // by share
}

// New creates the rotation of a route that has had no turn yet.
func New(shares []config.Share) *Rotation {
	return &Rotation{shares: shares, credits: make([]float64, len(shares))}
}

// Shares returns the route's services with their weights.
func (r *Rotation) Shares() []config.Share { return r.shares }

// Next starts the next turn and returns the index of the share that is due; 0 if no share has a weight.
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

// Table holds the rotations of the routes of one configuration. The zero value is empty.
type Table struct {
	routes    []*config.Route
	rotations map[*config.Route]*Rotation
}

// ForRoute returns the rotation of a route. If the route's configuration was replaced
// while the request was in flight, it returns a new rotation that is not kept.
func (t *Table) ForRoute(route *config.Route) *Rotation {
	if rotation := t.rotations[route]; rotation != nil {
		return rotation
	}
	rotation := New(route.Shares)
	if slices.Contains(t.routes, route) {
		t.rotations[route] = rotation
	}
	return rotation
}

// Update applies the routes of a new configuration: a route with unchanged shares continues its rotation.
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
