package state

import (
	"encoding/json"
	"fmt"

	"gradeusher.example/gradeusher/balance/routes"
	"gradeusher.example/gradeusher/internal/sidecar/sealed"
)

// Bounds of the route table's history.
const (
	MaxGenerations       = 4096    // earlier generations from which a diff can lead to the current one
	MaxRouteHistoryBytes = 8 << 20 // of the steps between generations, in JSON
)

// routeStep leads from a generation back to the one before it.
type routeStep struct {
	Generation int64       `json:"gen"`
	Back       []routes.Op `json:"back"`
	bytes      int         // of Back in JSON
}

// routeHistory is the current route table and the steps back to earlier generations.
//
// Invariants: the generation only rises, by one with each table that differs from the one before; the steps are those of the
// latest generations without a gap, up to the current one. Generation 0 is the empty table before the first SetRoutes.
type routeHistory struct {
	generation int64
	table      routes.Table // never changed in place
	steps      []routeStep
	stepBytes  int // sum over steps
}

// Generation returns the generation of the current route table.
func (m *Machine) Generation() int64 { return m.routing.generation }

// OldestGeneration returns the lowest generation that RoutesAt knows.
func (m *Machine) OldestGeneration() int64 { return m.routing.oldest() }

// RoutesAt returns the route table of a generation. It returns false where the generation lies ahead, or further back than the history
// reaches. The caller must not change the table.
func (m *Machine) RoutesAt(generation int64) (routes.Table, bool) { return m.routing.at(generation) }

func (h *routeHistory) oldest() int64 { return h.generation - int64(len(h.steps)) }

func (h *routeHistory) at(generation int64) (routes.Table, bool) {
	if generation > h.generation || generation < h.oldest() {
		return nil, false
	}
	var back [][]routes.Op
	for i := len(h.steps) - 1; i >= 0 && h.steps[i].Generation > generation; i-- {
		back = append(back, h.steps[i].Back)
	}
	if len(back) == 0 {
		return h.table, true
	}
	table, err := routes.Apply(h.table, routes.Concat(back...))
	return table, err == nil
}

// setRoutes replaces the route table. A table equal to the current one makes no new generation.
func (m *Machine) setRoutes(command Command) Result {
	history := &m.routing
	result := Result{Generation: history.generation}
	var ops []routes.Op
	ops, result.BaseMoved, result.Err = history.operations(command)
	if result.Err != nil || len(ops) == 0 {
		return result
	}
	if err := history.advance(ops); err != nil {
		result.Err = refuse(Invalid, "%v", err)
		return result
	}
	result.Generation, result.RoutesChanged = history.generation, true
	return result
}

// operations returns the operations that lead from the current table to the one of a command, and whether the command was refused
// because its base is not the current generation.
func (h *routeHistory) operations(c Command) (ops []routes.Op, baseMoved bool, refusal *Error) {
	switch {
	case c.Expect != nil && *c.Expect != h.generation:
		return nil, false, refuse(Conflict, "the route table is at generation %d, not %d", h.generation, *c.Expect)
	case c.Base != nil && *c.Base != h.generation:
		return nil, true, refuse(Conflict, "the route table is at generation %d, not %d", h.generation, *c.Base)
	case c.Base != nil:
		return c.Ops, false, nil
	}
	if err := c.Rules.Check(); err != nil {
		return nil, false, refuse(Invalid, "%v", err)
	}
	return routes.Diff(h.table, c.Rules.Canonical()), false, nil
}

// advance makes the next generation. Where it fails, nothing changed.
func (h *routeHistory) advance(ops []routes.Op) error {
	// Unchanged rules are shared with the table before, which watches may still use.
	next, err := routes.Apply(h.table, ops)
	if err != nil {
		return err
	}
	h.addStep(ops)
	h.generation, h.table = h.generation+1, next.Canonical()
	h.trim()
	return nil
}

// addStep records how to get back from the next generation. The operations fit a checked table, so that inverting them does not fail;
// if it did, the history would begin anew, and every subscriber would get the complete table.
func (h *routeHistory) addStep(ops []routes.Op) {
	back, err := routes.Invert(h.table, ops)
	if err != nil {
		h.steps, h.stepBytes = nil, 0
		return
	}
	text, err := json.Marshal(back)
	if err != nil {
		h.steps, h.stepBytes = nil, 0
		return
	}
	h.steps = append(h.steps, routeStep{h.generation + 1, back, len(text)})
	h.stepBytes += len(text)
}

// trim drops the oldest steps until the history is within its bounds.
func (h *routeHistory) trim() {
	dropped := 0
	for ; len(h.steps)-dropped > MaxGenerations || h.stepBytes > MaxRouteHistoryBytes; dropped++ {
		h.stepBytes -= h.steps[dropped].bytes
	}
	if dropped > 0 {
		h.steps = append([]routeStep(nil), h.steps[dropped:]...)
	}
}

// raiseGeneration lifts the generation of a table restored from a backup to at least floor, above all that were published since. A
// generation that two tables had would be taken for the one that a sidecar already has.
func (h *routeHistory) raiseGeneration(floor int64) {
	h.generation, h.steps, h.stepBytes = max(h.generation+1, floor), nil, 0
}

// routeHistorySnapshot is the route table in a snapshot.
type routeHistorySnapshot struct {
	Generation int64        `json:"gen"`
	Rules      routes.Table `json:"rules"`
	Steps      []routeStep  `json:"steps"`
}

// snapshot returns nil before the first SetRoutes, so that a version without routes can read the snapshot.
func (h *routeHistory) snapshot() *routeHistorySnapshot {
	if h.generation == 0 {
		return nil
	}
	return &routeHistorySnapshot{h.generation, h.table, h.steps}
}

// restore reads what snapshot returned. Errors wrap sealed.ErrCorrupt.
func (s *routeHistorySnapshot) restore() (routeHistory, error) {
	if s == nil {
		return routeHistory{}, nil
	}
	if err := s.Rules.Check(); err != nil {
		return routeHistory{}, fmt.Errorf("%w: routes: %w", sealed.ErrCorrupt, err)
	}
	history := routeHistory{generation: s.Generation, table: s.Rules, steps: s.Steps}
	for i := range history.steps {
		step := &history.steps[i]
		if want := history.oldest() + int64(i) + 1; step.Generation != want || want < 1 {
			return routeHistory{}, fmt.Errorf("%w: routes: generation %d stands in the place of %d", sealed.ErrCorrupt, step.Generation, want)
		}
		text, err := json.Marshal(step.Back)
		if err != nil {
			return routeHistory{}, fmt.Errorf("%w: routes: %w", sealed.ErrCorrupt, err)
		}
		step.bytes = len(text)
		history.stepBytes += step.bytes
	}
	if s.Generation < 1 || len(s.Steps) > MaxGenerations || history.stepBytes > MaxRouteHistoryBytes {
		return routeHistory{}, fmt.Errorf("%w: routes: generation %d with %d steps of %d bytes", sealed.ErrCorrupt, s.Generation, len(s.Steps), history.stepBytes)
	}
	return history, nil
}
