package controlstate

import "maps"

// maxRemembered bounds the zones whose last change is remembered by name: those evacuated, and as many others.
const maxRemembered = 2 * MaxZones

// zoneChanges remembers which record last changed each zone, so that an evacuation that comes late does not undo a later
// one.
type zoneChanges struct {
	floor uint64            // no zone that is not in last was changed after the record numbered floor
	last  map[string]uint64 // number of the record that last changed the zone, above floor
}

// changed is the number of the record that last changed a zone, or a later one where that is not remembered.
func (z zoneChanges) changed(zone string) uint64 { return max(z.floor, z.last[zone]) }

// with returns the changes after one more. keep tells which zones may not be forgotten; they are MaxZones at most.
func (z zoneChanges) with(zone string, seq uint64, keep map[string]bool) zoneChanges {
	next := zoneChanges{floor: z.floor, last: maps.Clone(z.last)}
	if next.last == nil {
		next.last = map[string]uint64{}
	}
	next.last[zone] = seq
	if len(next.last) > maxRemembered {
		next.forgetOldest(keep)
	}
	return next
}

func (z *zoneChanges) forgetOldest(keep map[string]bool) {
	oldest, found := "", false
	for zone, seq := range z.last {
		if !keep[zone] && (!found || seq < z.last[oldest]) {
			oldest, found = zone, true
		}
	}
	z.floor = max(z.floor, z.last[oldest])
	maps.DeleteFunc(z.last, func(_ string, seq uint64) bool { return seq <= z.floor })
}

// checkZone gives the verdict on an evacuation or the end of one. Base is the number of the newest committed record that
// the receiving keeper knew of after the call had come. A zone that was changed after it is not changed back: the order may
// have been under way since before that. An order whose result is in force is recorded all the same unless the zone was
// changed after Base, so that an acknowledgement always puts a fence behind every order that came before.
func (s *State) checkZone(c Change) Verdict {
	inForce := s.Evacuated[c.Zone] == (c.Op == OpEvacuate)
	late := c.Base < 0 || s.zones.changed(c.Zone) > uint64(c.Base)
	switch {
	case c.Zone == "":
		return Verdict{Kind: Invalid, Reason: "the zone is missing: name it"}
	case len(c.Zone) > MaxZoneName:
		return Verdict{Kind: Invalid, Reason: "the zone's name is too long: send 255 bytes at most"}
	case late && inForce:
		return Verdict{Kind: AlreadyApplied, Seq: s.Seq, Reason: "this is in force"}
	case late:
		return Verdict{Kind: Superseded, Seq: s.Seq, Reason: "the zone was changed while this call was under way: send it again if it is still wanted"}
	case s.full(c):
		return Verdict{Kind: Uncertain, Seq: s.Seq, Reason: "256 zones are evacuated: finish one first"}
	}
	return Verdict{Kind: Accepted, Seq: s.Seq + 1}
}

// full tells whether there is no room for an evacuation.
func (s *State) full(c Change) bool {
	return c.Op == OpEvacuate && !s.Evacuated[c.Zone] && len(s.Evacuated) >= MaxZones
}

// applyZone makes the change that a record asks for in next, a state that shares what it does not change with s.
func (s *State) applyZone(next *State, r Record) error {
	c := Change{Op: r.Op, Base: r.Base, Zone: r.Zone}
	if v := s.checkZone(c); v.Kind == Invalid {
		return refused(r, v.Reason)
	}
	if s.full(c) {
		return refused(r, "too many zones are evacuated")
	}
	next.Evacuated = maps.Clone(s.Evacuated)
	if r.Op == OpEvacuate {
		next.Evacuated[r.Zone] = true
	} else {
		delete(next.Evacuated, r.Zone)
	}
	next.zones = s.zones.with(r.Zone, r.Seq, next.Evacuated)
	return nil
}
