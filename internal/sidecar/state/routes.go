package state

import (
	"encoding/json"
	"fmt"

	"gradeusher.example/gradeusher/balance/routes"
	"gradeusher.example/gradeusher/internal/sidecar/sealed"
)

// Bounds of the route table's history.
const (
	MostGenerations = 4096    // that a diff can begin from, besides the last
	MostRouteBytes  = 8 << 20 // of the steps between them, in JSON
)

// step leads from a generation back to the one before it.
type step struct {
	Gen  int64       `json:"gen"`
	Back []routes.Op `json:"back"`
	size int
}

// routing is the route table by generations.
//
// Invariants: the generation only rises, by one with each table that differs from the one before; the steps are those of the
// last generations without a gap, up to the last. Generation 0 is the empty table that nobody has put.
type routing struct {
	gen   int64
	table routes.Table // never changed in place
	steps []step
	size  int // of the steps, in bytes
}

// Generation is the number of the route table.
func (m *Machine) Generation() int64 { return m.routing.gen }

// OldestGeneration is the lowest generation that Routes knows.
func (m *Machine) OldestGeneration() int64 { return m.routing.gen - int64(len(m.routing.steps)) }

// Routes is the route table of a generation. It tells false where that is not known: it lies ahead, or too far back. The table
// must not be changed.
func (m *Machine) Routes(gen int64) (routes.Table, bool) {
	r := &m.routing
	if gen > r.gen || gen < m.OldestGeneration() {
		return nil, false
	}
	var back [][]routes.Op
	for i := len(r.steps) - 1; i >= 0 && r.steps[i].Gen > gen; i-- {
		back = append(back, r.steps[i].Back)
	}
	if len(back) == 0 {
		return r.table, true
	}
	t, err := routes.Apply(r.table, routes.Concat(back...))
	return t, err == nil
}

// route puts a table in the place of the one that is there. The same makes no new generation.
func (m *Machine) route(c Command) (result Result) {
	r := &m.routing
	result.Gen = r.gen
	if c.Expect != nil && *c.Expect != r.gen {
		result.Err = refuse(Conflict, "the route table is at generation %d, not %d", r.gen, *c.Expect)
		return result
	}
	ops := c.Ops
	if c.Base == nil {
		if err := c.Rules.Check(); err != nil {
			result.Err = refuse(Bad, "%v", err)
			return result
		}
		ops = routes.Diff(r.table, c.Rules.Canonical())
	} else if result.Moved = *c.Base != r.gen; result.Moved {
		result.Err = refuse(Conflict, "the route table is at generation %d, not %d", r.gen, *c.Base)
		return result
	}
	if len(ops) == 0 {
		return result
	}
	// The rules that stay are shared with the table before, which watchers may hold for a while.
	next, err := routes.Apply(r.table, ops)
	if err != nil {
		result.Err = refuse(Bad, "%v", err)
		return result
	}
	back, err := routes.Invert(r.table, ops)
	text, bad := json.Marshal(back)
	if err != nil || bad != nil { // tables that were checked have diffs that fit; whoever held the old one gets the whole
		r.steps, r.size = nil, 0
	} else {
		r.steps, r.size = append(r.steps, step{r.gen + 1, back, len(text)}), r.size+len(text)
	}
	r.gen, r.table = r.gen+1, next.Canonical()
	r.trim()
	result.Gen, result.Routed = r.gen, true
	return result
}

// trim forgets the oldest steps over the bounds.
func (r *routing) trim() {
	n := 0
	for ; len(r.steps)-n > MostGenerations || r.size > MostRouteBytes; n++ {
		r.size -= r.steps[n].size
	}
	if n > 0 {
		r.steps = append([]step(nil), r.steps[n:]...)
	}
}

// raise lifts the generation of a table that is taken up again from a backup above all that was shown since, as Machine.Raise
// does the revision. Danger: a generation that two tables had would be taken for the one that a sidecar holds.
func (r *routing) raise(floor int64) {
	r.gen, r.steps, r.size = max(r.gen+1, floor), nil, 0
}

// routingForm is the route table in a snapshot.
type routingForm struct {
	Gen   int64        `json:"gen"`
	Rules routes.Table `json:"rules"`
	Steps []step       `json:"steps"`
}

// form is nil where no table was ever put, so that a keeper of before there were any reads the snapshot.
func (r *routing) form() *routingForm {
	if r.gen == 0 {
		return nil
	}
	return &routingForm{r.gen, r.table, r.steps}
}

// routing reads what form wrote. Errors wrap sealed.ErrUnsound.
func (f *routingForm) routing() (r routing, err error) {
	if f == nil {
		return routing{}, nil
	}
	if err := f.Rules.Check(); err != nil {
		return r, fmt.Errorf("%w: routes: %w", sealed.ErrUnsound, err)
	}
	r = routing{gen: f.Gen, table: f.Rules, steps: f.Steps}
	for i := range r.steps {
		s := &r.steps[i]
		if want := f.Gen - int64(len(f.Steps)) + int64(i) + 1; s.Gen != want || want < 1 {
			return r, fmt.Errorf("%w: routes: generation %d stands in the place of %d", sealed.ErrUnsound, s.Gen, want)
		}
		text, err := json.Marshal(s.Back)
		if err != nil {
			return r, fmt.Errorf("%w: routes: %w", sealed.ErrUnsound, err)
		}
		s.size = len(text)
		r.size += s.size
	}
	if f.Gen < 1 || len(f.Steps) > MostGenerations || r.size > MostRouteBytes {
		return r, fmt.Errorf("%w: routes: generation %d with %d steps of %d bytes", sealed.ErrUnsound, f.Gen, len(f.Steps), r.size)
	}
	return r, nil
}
