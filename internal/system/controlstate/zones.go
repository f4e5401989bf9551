package controlstate

import "maps"

// Bounds of a state.
const (
	MaxZones    = 256 // zones evacuated at the same time
	MaxZoneName = 255 // bytes
)

// maxRememberedZones bounds the number of zones whose last change is remembered by name: the evacuated ones and as many others.
const maxRememberedZones = 2 * MaxZones

// zoneChanges remembers which record last changed each zone, so that a delayed evacuation does not undo a later change.
type zoneChanges struct {
	floorSeq   uint64            // no zone outside lastChange was changed after this record
	lastChange map[string]uint64 // by zone, the record that last changed it, above floorSeq
}

// lastChangeOf returns the number of the record that last changed a zone, or a later number if that record is not remembered.
func (z zoneChanges) lastChangeOf(zone string) uint64 { return max(z.floorSeq, z.lastChange[zone]) }

// withChange returns a copy of z that includes one more change. The zones in keep, at most MaxZones, are not forgotten.
func (z zoneChanges) withChange(zone string, seq uint64, keep map[string]bool) zoneChanges {
	next := zoneChanges{floorSeq: z.floorSeq, lastChange: maps.Clone(z.lastChange)}
	if next.lastChange == nil {
		next.lastChange = map[string]uint64{}
	}
	next.lastChange[zone] = seq
	if len(next.lastChange) > maxRememberedZones {
		next.forgetOldest(keep)
	}
	return next
}

func (z *zoneChanges) forgetOldest(keep map[string]bool) {
	oldest, found := "", false
	for zone, seq := range z.lastChange {
		if !keep[zone] && (!found || seq < z.lastChange[oldest]) {
			oldest, found = zone, true
		}
	}
	z.floorSeq = max(z.floorSeq, z.lastChange[oldest])
	maps.DeleteFunc(z.lastChange, func(_ string, seq uint64) bool { return seq <= z.floorSeq })
}

// checkZone returns the verdict on an evacuation or readmission. Base is the fence of the change (Change.SetFence). If the zone was
// changed after Base, the change is not accepted, because its caller may have given it up before that later change. A change that is already in force is still recorded unless the zone was changed after Base, so that an
// acknowledgement fences off every earlier call.
func (s *State) checkZone(change Change) Verdict {
	inForce := s.Evacuated[change.Zone] == (change.Op == OpEvacuate)
	late := change.fenceIsOlderThan(s.zoneChanges.lastChangeOf(change.Zone))
	unrecordable := change.Unrecordable()
	switch {
	case unrecordable != "":
		return Verdict{Kind: Invalid, Reason: unrecordable}
	case change.Zone == "":
		return Verdict{Kind: Invalid, Reason: "the zone is missing: name it"}
	case len(change.Zone) > MaxZoneName:
		return Verdict{Kind: Invalid, Reason: "the zone's name is too long: send 255 bytes at most"}
	case late && inForce:
		return Verdict{Kind: AlreadyApplied, Seq: s.Seq, Reason: "this is in force"}
	case late:
		return Verdict{Kind: Superseded, Seq: s.Seq, Reason: "the zone was changed while this call was under way: send it again if it is still wanted"}
	case s.atZoneLimit(change):
		return Verdict{Kind: Uncertain, Seq: s.Seq, Reason: "256 zones are evacuated: finish one first"}
	}
	return Verdict{Kind: Accepted, Seq: s.Seq + 1}
}

// atZoneLimit reports whether change would evacuate more than MaxZones zones.
func (s *State) atZoneLimit(change Change) bool {
	return change.Op == OpEvacuate && !s.Evacuated[change.Zone] && len(s.Evacuated) >= MaxZones
}

// applyZone applies the record of a zone change to next, which shares its unchanged parts with s.
func (s *State) applyZone(next *State, record Record) error {
	change := record.change()
	if v := s.checkZone(change); v.Kind == Invalid {
		return refusedError(record, v.Reason)
	}
	if s.atZoneLimit(change) {
		return refusedError(record, "too many zones are evacuated")
	}
	next.Evacuated = maps.Clone(s.Evacuated)
	if record.Op == OpEvacuate {
		next.Evacuated[record.Zone] = true
	} else {
		delete(next.Evacuated, record.Zone)
	}
	next.zoneChanges = s.zoneChanges.withChange(record.Zone, record.Seq, next.Evacuated)
	return nil
}
