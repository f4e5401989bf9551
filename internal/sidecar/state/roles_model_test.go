package state

import (
	"bytes"
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// roleModel applies drawn operations on roles and checks the invariants of the role table after each.
type roleModel struct {
	t             *rapid.T
	machine       *Machine
	nowMS         int64
	highestEpochs map[string]int64
}

// TestRolesModel draws valid and invalid commands. A refused command changes nothing; the epoch of a role rises by one with each
// owner and never falls; the owner changes only by its own release or by the end of its lease under the current term; no candidate
// that could own a role waits beside a free one; and the indexes by process fit the roles, also in a machine from a snapshot.
func TestRolesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &roleModel{t: t, machine: New(), nowMS: 1000, highestEpochs: map[string]int64{}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			model.nowMS += rapid.SampledFrom([]int64{0, 10, 700, 5000, -3000}).Draw(t, "later")
			op, call := model.drawCommand()
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				model.machine = reread(t, model.machine)
			}
			model.step(op, call)
		}
	})
}

func (rm *roleModel) drawCommand() (Op, RoleCall) {
	t, names := rm.t, []string{"d-1", "d-2"}
	name := rapid.SampledFrom(names).Draw(t, "name")
	call := RoleCall{
		Name:      name,
		Process:   rapid.SampledFrom([]string{"a#1", "a#2", "b#1", "c#1"}).Draw(t, "process"),
		TTLMS:     3000,
		NowMS:     rm.nowMS,
		Epoch:     rm.machine.epoch(name) + rapid.SampledFrom([]int64{0, 0, 0, -1, 1}).Draw(t, "epoch offset"),
		Rejoin:    rapid.Bool().Draw(t, "rejoin"),
		Failed:    rapid.Bool().Draw(t, "failed"),
		Successor: rapid.SampledFrom([]string{"", "a", "b#1"}).Draw(t, "successor"),
		Force:     rapid.Bool().Draw(t, "force"),
	}
	op := rapid.SampledFrom([]Op{Campaign, Campaign, Withdraw, Release, Move, Checkpoint, Forget, EndRoleLeases, StartLeaseTerm}).Draw(t, "op")
	if op == Checkpoint || rapid.Bool().Draw(t, "with a step") {
		number := rapid.Int64Range(0, 2).Draw(t, "step")
		call.StepNo, call.Step = &number, "half"
	}
	switch op {
	case Forget:
		rm.nowMS += rapid.SampledFrom([]int64{0, 100_000}).Draw(t, "much later")
		call.IdleRoles, call.IdleMS, call.NowMS, call.StepNo = names, 60_000, rm.nowMS, nil
	case EndRoleLeases:
		call.LeaseTerm = rm.machine.LeaseTerm() - rapid.Int64Range(0, 1).Draw(t, "old term")
		call.Ended = []LeaseRef{{Name: name, Epoch: call.Epoch}}
		call.TimedOut = []LeaseRef{{Name: name, Process: call.Process}}
		call.Due = rm.machine.DueRoles(rm.nowMS)
	}
	return op, call
}

func (rm *roleModel) step(op Op, call RoleCall) {
	before, rolesBefore := mustSnapshot(rm.t, rm.machine), map[string]Role{}
	for _, role := range rm.machine.RolesSince(0) {
		rolesBefore[role.Name] = role
	}
	result := applyRole(rm.machine, op, call)
	if after := mustSnapshot(rm.t, rm.machine); result.Err != nil && !bytes.Equal(before, after) {
		rm.t.Fatalf("%s %+v was refused (%v) and changed the state", op, call, result.Err)
	}
	for name, role := range rolesBefore {
		_, found := rm.machine.Role(name)
		mayBeForgotten := op == Forget && role.Owner == nil && len(role.Waiting) == 0
		if !found && !mayBeForgotten {
			rm.t.Fatalf("%s %+v forgot %+v", op, call, role)
		}
	}
	for _, role := range rm.machine.RolesSince(0) {
		old, existed := rolesBefore[role.Name]
		if !existed {
			old.Epoch = rm.machine.roles.forgottenEpoch
		}
		rm.checkEpoch(op, old, role)
		rm.checkOwner(op, call, old, role)
		rm.checkGranted(op, old, role)
	}
	rm.checkIndexes(op)
}

func (rm *roleModel) checkEpoch(op Op, old, role Role) {
	highest := rm.highestEpochs[role.Name]
	newOwner := role.Owner != nil && old.Owner == nil
	if role.Epoch < highest || newOwner && role.Epoch == highest {
		rm.t.Fatalf("%s: epoch %d of %s, which was at %d", op, role.Epoch, role.Name, highest)
	}
	rm.highestEpochs[role.Name] = role.Epoch
	granted := role.Owner != nil && (old.Owner == nil || role.Epoch != old.Epoch)
	want := old.Epoch
	if granted {
		want++
	}
	if role.Epoch != want {
		rm.t.Fatalf("%s: epoch %d after %d, owner %v after %v", op, role.Epoch, old.Epoch, role.Owner, old.Owner)
	}
}

func (rm *roleModel) checkOwner(op Op, call RoleCall, old, role Role) {
	lostOwner := old.Owner != nil && (role.Owner == nil || role.Epoch != old.Epoch)
	released := op == Release && old.IsOwner(call.Process) && call.Epoch == old.Epoch
	ended := op == EndRoleLeases && call.LeaseTerm == rm.machine.LeaseTerm() && call.Epoch == old.Epoch
	if lostOwner && !released && !ended {
		rm.t.Fatalf("%s %+v took %s from %v", op, call, role.Name, old.Owner)
	}
}

// checkGranted fails where a role fell free although a candidate could own it.
func (rm *roleModel) checkGranted(op Op, old, role Role) {
	fellFree := op != Campaign && role.Owner == nil && old.Owner != nil
	if fellFree && len(role.Waiting) > 0 && rm.machine.roles.bestCandidate(rm.machine.roles.byName[role.Name], rm.nowMS, "") >= 0 {
		rm.t.Fatalf("%s is free, and %v wait", role.Name, role.Waiting)
	}
}

// checkIndexes compares the indexes with those that a snapshot's reader builds.
func (rm *roleModel) checkIndexes(op Op) {
	table := &rm.machine.roles
	snapshot := table.snapshot()
	if snapshot == nil {
		return
	}
	want, err := snapshot.restore()
	if err != nil {
		rm.t.Fatal(err)
	}
	if !maps.Equal(want.burden, table.burden) || want.waiting != table.waiting || fmt.Sprint(want.byProcess) != fmt.Sprint(table.byProcess) {
		rm.t.Fatalf("%s: %v %v, want %v %v", op, table.burden, table.byProcess, want.burden, want.byProcess)
	}
}

func (m *Machine) epoch(name string) int64 {
	if role := m.roles.byName[name]; role != nil {
		return role.Epoch
	}
	return 0
}
