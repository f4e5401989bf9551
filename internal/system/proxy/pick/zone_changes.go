package pick

import "time"

// zoneChangeTTL is how long the last change of a zone is kept after the zone is no longer listed.
const zoneChangeTTL = time.Minute

// zoneChange is the control-state record that last evacuated a zone or ended its evacuation, and when this proxy learned of it.
type zoneChange struct {
	seq       uint64
	learnedAt Time
}

// zoneChanges holds the last change of each zone, by zone name.
type zoneChanges map[string]zoneChange

// update records the sequence numbers of the zones' last changes; 0: no change.
func (z zoneChanges) update(now Time, seqs map[string]uint64) {
	for zone, seq := range seqs {
		if seq > 0 && z[zone].seq != seq {
			z[zone] = zoneChange{seq, now}
		}
	}
	for zone, change := range z {
		if _, listed := seqs[zone]; !listed && now-change.learnedAt > zoneChangeTTL {
			delete(z, zone)
		}
	}
}
