package balance

import "gradeusher.example/gradeusher/balance/turns"

// Here is what a host that knows the other sidecars tells. Nothing of it is needed.

// Peer is what is known of a member of the fleet: its Zone, or "", and its Level, or 0.
type Peer struct {
	Zone         string
	TrafficLevel int
}

// SetMembers takes in all members, in an order that they share, as that of a hash of their names, and which of them this
// sidecar is. One that is not among them knows nobody. It is to be called when any of this changes: a member, a Level, or
// this sidecar's own.
//
// Its place in subsets is that among those alike, of its zone and Level; who is not known to be unlike counts as alike, so
// that without any Levels places go by number.
func (b *Balancer) SetMembers(now Time, self int, peers []Peer) {
	var all, alike position
	if self >= 0 && self < len(peers) {
		all = position{self, len(peers)}
	}
	for i, p := range peers {
		like := (p.Zone == "" || p.Zone == b.settings.Zone) && (p.TrafficLevel == 0 || p.TrafficLevel == b.trafficLevel)
		if all.count == 0 || b.trafficLevel == 0 || !like && i != self {
			continue
		}
		if alike.count++; i < self {
			alike.index++
		}
	}
	changed := alike != b.amongAlike
	if b.amongAll, b.amongAlike = all, alike; changed {
		b.regroup(now)
		b.decay(now, 0)
	}
}

// TrafficLevel stands for how much traffic this sidecar has for the servers of its zone: 1 for much, one more for each
// halving, up to 11; 0 until that is known, some 12 s after the first list. Sidecars of one level use as many servers.
// It changes seldom, and not by noise.
func (b *Balancer) TrafficLevel() int { return b.trafficLevel }

// turnPosition is this sidecar's place for turns: among the members, or else among its peers as the settings tell.
func (b *Balancer) turnPosition() turns.Position {
	if b.amongAll.count > 0 {
		return turns.Position{Index: b.amongAll.index, Count: b.amongAll.count}
	}
	return turns.Position{Index: b.settings.Index, Count: b.settings.PeerCount}
}
