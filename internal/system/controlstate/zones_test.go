package controlstate

import (
	"bytes"
	"fmt"
	"testing"
)

// TestDelayedEvacuationIsSuperseded: a delayed call does not undo a later call for the same zone, whichever of the two was an
// evacuation, also after a snapshot, and also if the later call requested a state that was already in force.
func TestDelayedEvacuationIsSuperseded(t *testing.T) {
	start := Change{Op: OpEvacuate, Zone: "z"}
	state := requireAccepted(t, Empty(), start)                                  // record 1
	state = requireAccepted(t, state, Change{Op: OpReadmit, Base: 1, Zone: "z"}) // record 2
	for what, state := range map[string]*State{"as it is": state, "after a snapshot": roundTrip(t, state)} {
		for base := range int64(2) {
			if v := state.Check(Change{Op: OpEvacuate, Base: base, Zone: "z"}); v.Kind != Superseded || v.Seq != 2 {
				t.Errorf("%s: evacuation sent after record %d: %+v", what, base, v)
			}
		}
	}
	state = requireAccepted(t, state, Change{Op: OpEvacuate, Base: 2, Zone: "z"}) // record 3
	finish := Change{Op: OpReadmit, Base: 3, Zone: "z"}                           // delayed
	state = requireAccepted(t, state, Change{Op: OpEvacuate, Base: 3, Zone: "z"}) // record 4: sent again after finish, and confirmed
	if v := state.Check(finish); v.Kind != Superseded {
		t.Errorf("readmission sent before a confirmed evacuation: %+v", v)
	}
	if v := state.Check(Change{Op: OpEvacuate, Base: 3, Zone: "z"}); v.Kind != AlreadyApplied {
		t.Errorf("the same evacuation again: %+v", v)
	}
	// A change of another zone does not supersede the call.
	state = requireAccepted(t, state, Change{Op: OpEvacuate, Zone: "other"})
	requireAccepted(t, state, Change{Op: OpReadmit, Base: 4, Zone: "z"})
}

func TestZonesAreBounded(t *testing.T) {
	state := Empty()
	for i := range MaxZones {
		state = requireAccepted(t, state, Change{Op: OpEvacuate, Base: int64(state.Seq), Zone: fmt.Sprint("zone ", i)})
	}
	// The verdict is not Invalid: the same change may have been accepted before and undone since.
	if v := state.Check(Change{Op: OpEvacuate, Base: int64(state.Seq), Zone: "one more"}); v.Kind != Uncertain {
		t.Errorf("evacuation beyond MaxZones: %+v", v)
	}
	if _, err := state.Apply(Change{Op: OpEvacuate, Zone: "one more"}.Record(state.Seq + 1)); err == nil {
		t.Error("Apply accepted more than MaxZones evacuated zones")
	}
	if v := state.Check(Change{Op: OpEvacuate, Zone: "zone 7"}); v.Kind != AlreadyApplied {
		t.Errorf("evacuation of a zone that is already evacuated: %+v", v)
	}
	state = requireAccepted(t, state, Change{Op: OpReadmit, Base: int64(state.Seq), Zone: "zone 7"})
	requireAccepted(t, state, Change{Op: OpEvacuate, Base: int64(state.Seq), Zone: "one more"})
}

// TestZoneChangesAreBounded: the number of remembered zones is bounded. A forgotten zone counts as changed later than it was, so a
// delayed call is still recognised; and a replica that restores snapshots in between has the same state.
func TestZoneChangesAreBounded(t *testing.T) {
	state, restored := Empty(), Empty()
	applyBoth := func(c Change) {
		state = requireAccepted(t, state, c)
		next, err := restored.Apply(c.Record(state.Seq))
		if err != nil {
			t.Fatal(err)
		}
		restored = roundTrip(t, next)
		if !bytes.Equal(state.Encode(), restored.Encode()) {
			t.Fatalf("record %d: the replica that restored snapshots differs", state.Seq)
		}
	}
	applyBoth(Change{Op: OpEvacuate, Zone: "evacuated"})
	for i := range 3 * maxRememberedZones {
		zone := fmt.Sprint("zone ", i)
		applyBoth(Change{Op: OpEvacuate, Base: int64(state.Seq), Zone: zone})
		applyBoth(Change{Op: OpReadmit, Base: int64(state.Seq), Zone: zone})
		if n := len(state.zoneChanges.lastChange); n > maxRememberedZones {
			t.Fatalf("the state remembers %d zones", n)
		}
	}
	for i := range 3 * maxRememberedZones {
		c := Change{Op: OpEvacuate, Base: int64(2*i + 2), Zone: fmt.Sprint("zone ", i)} // sent before the readmission
		if v := state.Check(c); v.Kind != Superseded {
			t.Fatalf("zone %d: %+v", i, v)
		}
	}
	if v := state.Check(Change{Op: OpReadmit, Zone: "evacuated"}); v.Kind != Superseded {
		t.Errorf("readmission with a fence older than the evacuation: %+v", v)
	}
	applyBoth(Change{Op: OpReadmit, Base: int64(state.Seq), Zone: "evacuated"})
}
