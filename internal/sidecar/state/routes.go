package state

import (
	"encoding/json"
	"fmt"

	"gradeusher.example/gradeusher/balance/routes"
	"gradeusher.example/gradeusher/internal/sidecar/sealed"
)

// Bounds of the route table's history.
const (
	MaxGenerations       = 4096    // that a diff can begin from, besides the last
	MaxRouteHistoryBytes = 8 << 20 // of the steps between them, in JSON
)

// routeStep leads from a generation back to the one before it.
type routeStep struct {
	Generation int64       `json:"gen"`
	Back       []routes.Op `json:"back"`
	bytes      int
}

// routeHistory is the route table by generations.
//
// Invariants: the generation only rises, by one with each table that differs from the one before; the steps are those of the
// last generations without a gap, up to the last. Generation 0 is the empty table that nobody has put.
type routeHistory struct {
	generation int64
	table      routes.Table // never changed in place
	steps      []routeStep
	stepBytes  int // of the steps, in bytes
}

// Generation is the number of the route table.
func (m *Machine) Generation() int64 { return m.routing.generation }

// OldestGeneration is the lowest generation that Routes knows.
func (m *Machine) OldestGeneration() int64 { return m.routing.generation - int64(len(m.routing.steps)) }

// RoutesAt is the route table of a generation. It tells false where that is not known: it lies ahead, or too far back. The table
// must not be changed.
func (m *Machine) RoutesAt(gen int64) (routes.Table, bool) {
	r := &m.routing
	if gen > r.generation || gen < m.OldestGeneration() {
		return nil, false
	}
	var back [][]routes.Op
	for i := len(r.steps) - 1; i >= 0 && r.steps[i].Generation > gen; i-- {
		back = append(back, r.steps[i].Back)
	}
	if len(back) == 0 {
		return r.table, true
	}
	t, err := routes.Apply(r.table, routes.Join(back...))
	return t, err == nil
}

// setRoutes puts a table in the place of the one that is there. The same makes no new generation.
func (m *Machine) setRoutes(c Command) (result Result) {
	r := &m.routing
	result.Generation = r.generation
	if c.Expect != nil && *c.Expect != r.generation {
		result.Err = refuse(Conflict, "the route table is at generation %d, not %d", r.generation, *c.Expect)
		return result
	}
	ops := c.Ops
	if c.Base == nil {
		if err := c.Rules.Check(); err != nil {
			result.Err = refuse(Invalid, "%v", err)
			return result
		}
		ops = routes.Diff(r.table, c.Rules.Canonical())
	} else if result.BaseMoved = *c.Base != r.generation; result.BaseMoved {
		result.Err = refuse(Conflict, "the route table is at generation %d, not %d", r.generation, *c.Base)
		return result
	}
	if len(ops) == 0 {
		return result
	}
	// The rules that stay are shared with the table before, which watchers may hold for a while.
	next, err := routes.Apply(r.table, ops)
	if err != nil {
		result.Err = refuse(Invalid, "%v", err)
		return result
	}
	back, err := routes.Invert(r.table, ops)
	text, bad := json.Marshal(back)
	if err != nil || bad != nil { // tables that were checked have diffs that fit; whoever held the old one gets the whole
		r.steps, r.stepBytes = nil, 0
	} else {
		r.steps, r.stepBytes = append(r.steps, routeStep{r.generation + 1, back, len(text)}), r.stepBytes+len(text)
	}
	r.generation, r.table = r.generation+1, next.Canonical()
	r.trim()
	result.Generation, result.RoutesChanged = r.generation, true
	return result
}

// trim forgets the oldest steps over the bounds.
func (r *routeHistory) trim() {
	n := 0
	for ; len(r.steps)-n > MaxGenerations || r.stepBytes > MaxRouteHistoryBytes; n++ {
		r.stepBytes -= r.steps[n].bytes
	}
	if n > 0 {
		r.steps = append([]routeStep(nil), r.steps[n:]...)
	}
}

// raiseGeneration lifts the generation of a table that is taken up again from a backup above all that was shown since, as Machine.Raise
// does the revision. Danger: a generation that two tables had would be taken for the one that a sidecar holds.
func (r *routeHistory) raiseGeneration(floor int64) {
	r.generation, r.steps, r.stepBytes = max(r.generation+1, floor), nil, 0
}

// routeHistorySnapshot is the route table in a snapshot.
type routeHistorySnapshot struct {
	Generation int64        `json:"gen"`
	Rules      routes.Table `json:"rules"`
	Steps      []routeStep  `json:"steps"`
}

// snapshot is nil where no table was ever put, so that a keeper of before there were any reads the snapshot.
func (r *routeHistory) snapshot() *routeHistorySnapshot {
	if r.generation == 0 {
		return nil
	}
	return &routeHistorySnapshot{r.generation, r.table, r.steps}
}

// restore reads what form wrote. Errors wrap sealed.ErrUnsound.
func (f *routeHistorySnapshot) restore() (r routeHistory, err error) {
	if f == nil {
		return routeHistory{}, nil
	}
	if err := f.Rules.Check(); err != nil {
		return r, fmt.Errorf("%w: routes: %w", sealed.ErrUnsound, err)
	}
	r = routeHistory{generation: f.Generation, table: f.Rules, steps: f.Steps}
	for i := range r.steps {
		s := &r.steps[i]
		if want := f.Generation - int64(len(f.Steps)) + int64(i) + 1; s.Generation != want || want < 1 {
			return r, fmt.Errorf("%w: routes: generation %d stands in the place of %d", sealed.ErrUnsound, s.Generation, want)
		}
		text, err := json.Marshal(s.Back)
		if err != nil {
			return r, fmt.Errorf("%w: routes: %w", sealed.ErrUnsound, err)
		}
		s.bytes = len(text)
		r.stepBytes += s.bytes
	}
	if f.Generation < 1 || len(f.Steps) > MaxGenerations || r.stepBytes > MaxRouteHistoryBytes {
		return r, fmt.Errorf("%w: routes: generation %d with %d steps of %d bytes", sealed.ErrUnsound, f.Generation, len(f.Steps), r.stepBytes)
	}
	return r, nil
}
