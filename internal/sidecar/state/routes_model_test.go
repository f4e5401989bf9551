package state

import (
	"testing"

	"pgregory.net/rapid"

	"gradeusher.example/gradeusher/balance/routes"
)

// routesModel applies drawn route tables and remembers the hash of every generation that there ever was.
type routesModel struct {
	t       *rapid.T
	machine *Machine
	backup  *Machine
	hashes  map[int64]string
	known   int // generations before the current one in the history
}

// TestRoutesModel sets drawn tables, valid and invalid, with drawn expectations, over snapshots and restores of backups. Every
// generation in the history is the table that made it, and no generation is ever that of two tables.
func TestRoutesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &routesModel{t: t, machine: New(), backup: New(), hashes: map[int64]string{0: table().Hash()}}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0:
				model.machine = reread(t, model.machine)
			case 1:
				model.backup = reread(t, model.machine)
			case 2:
				model.restore()
			default:
				model.setRoutes()
			}
			model.checkHistory()
		}
	})
}

func (rm *routesModel) restore() {
	floor := rm.machine.Generation() + 1
	rm.machine = reread(rm.t, rm.backup)
	rm.machine.RaiseRevision(floor)
	rm.recordGeneration(rm.machine.routing.table.Hash())
	rm.known = 0
}

func (rm *routesModel) recordGeneration(hash string) {
	generation := rm.machine.Generation()
	if _, reused := rm.hashes[generation]; reused {
		rm.t.Fatalf("generation %d is made twice", generation)
	}
	rm.hashes[generation] = hash
}

func (rm *routesModel) setRoutes() {
	t, generation := rm.t, rm.machine.Generation()
	names := rapid.SliceOfN(rapid.SampledFrom([]string{"a1", "a2", "b1", "b2", "c1", "c2", "c0"}), 0, 4).Draw(t, "rules")
	want := table(names...)
	command := Command{Op: SetRoutes, Rules: want}
	expected, valid := true, want.Check() == nil
	if valid && rapid.Bool().Draw(t, "as ops") {
		base := generation - int64(rapid.IntRange(0, 1).Draw(t, "old base"))
		command = Command{Op: SetRoutes, Base: &base, Ops: routes.Diff(rm.machine.routing.table, want.Canonical())}
		expected = base == generation
	}
	if rapid.Bool().Draw(t, "expects") {
		expect := generation + int64(rapid.IntRange(-1, 1).Draw(t, "offset"))
		command.Expect, expected = &expect, expected && expect == generation
	}
	result := rm.machine.Apply(command)
	applied := expected && valid
	changed := applied && want.Hash() != rm.hashes[generation]
	if (result.Err == nil) != applied || result.RoutesChanged != changed {
		t.Fatalf("%v at %d: %+v", names, generation, result)
	}
	if result.Generation != rm.machine.Generation() || (result.Generation != generation) != changed {
		t.Fatalf("%v at %d: %+v, and the machine is at %d", names, generation, result, rm.machine.Generation())
	}
	if !expected && result.Err.Code != Conflict || expected && !valid && result.Err.Code != Invalid {
		t.Fatalf("%v at %d is refused as %v", names, generation, result.Err)
	}
	if changed {
		rm.recordGeneration(want.Hash())
		rm.known++
	}
}

func (rm *routesModel) checkHistory() {
	oldest, current := rm.machine.OldestGeneration(), rm.machine.Generation()
	if oldest != current-int64(rm.known) {
		rm.t.Fatalf("generations %d to %d are known, want %d of them", oldest, current, rm.known)
	}
	for generation := oldest - 1; generation <= current+1; generation++ {
		got, ok := rm.machine.RoutesAt(generation)
		inHistory := generation >= oldest && generation <= current
		if ok != inHistory || ok && got.Hash() != rm.hashes[generation] {
			rm.t.Fatalf("generation %d is %v, %v", generation, got, ok)
		}
	}
}
