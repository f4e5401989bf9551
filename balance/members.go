package balance

import "gradeusher.example/gradeusher/balance/turns"

// Peer describes a member of the fleet.
type Peer struct {
	Zone         string // "": unknown
	TrafficLevel int    // see Balancer.TrafficLevel; 0: unknown
}

// position is a position among some sidecars, starting at 0. The count is 0 if the position is unknown.
type position struct{ index, count int }

// membership holds what a host that knows the other sidecars reports about them. A Balancer works without it.
type membership struct {
	fleetPosition  position
	levelPosition  position // among sidecars of the same zone and traffic level
	trafficLevel   int
	levelCheckedAt Time
}

// SetMembers sets the list of all members and the index of this sidecar in it. All members must use the same order, such as
// by a hash of their names. If self is not an index of the list, the sidecar works without members. SetMembers must be called
// whenever a member or a traffic level changes, including this sidecar's own.
//
// For subsets, the sidecar's position is counted among the members of its zone and traffic level. Members whose zone or level
// is unknown count as alike, so without any known levels the position is the one among all members.
func (b *Balancer) SetMembers(now Time, self int, peers []Peer) {
	var fleetPosition, levelPosition position
	if self >= 0 && self < len(peers) {
		fleetPosition = position{index: self, count: len(peers)}
		levelPosition = b.positionInLevel(self, peers)
	}
	changed := levelPosition != b.levelPosition
	b.fleetPosition, b.levelPosition = fleetPosition, levelPosition
	if changed {
		b.regroup(now)
		b.decay(now, 0)
	}
}

// positionInLevel returns the sidecar's position among the members of its zone and traffic level. It is unknown until
// the sidecar's own traffic level is known.
func (b *Balancer) positionInLevel(self int, peers []Peer) (inLevel position) {
	if b.trafficLevel == 0 {
		return position{}
	}
	for i, peer := range peers {
		if i != self && !b.matchesZoneAndLevel(peer) {
			continue
		}
		inLevel.count++
		if i < self {
			inLevel.index++
		}
	}
	return inLevel
}

func (b *Balancer) matchesZoneAndLevel(peer Peer) bool {
	sameZone := peer.Zone == "" || peer.Zone == b.settings.Zone
	sameLevel := peer.TrafficLevel == 0 || peer.TrafficLevel == b.trafficLevel
	return sameZone && sameLevel
}

// TrafficLevel returns the sidecar's level of traffic relative to the servers of its zone: 1 for the highest traffic, and one
// more for each halving, up to 11. It is 0 until the traffic is known, about 12 s after the first list. Sidecars of the same
// level use the same number of servers. The level changes rarely and does not follow noise.
func (b *Balancer) TrafficLevel() int { return b.trafficLevel }

// turnPosition returns this sidecar's position for turns: among the members if known, otherwise among the peers according
// to the settings.
func (b *Balancer) turnPosition() turns.Position {
	if b.fleetPosition.count > 0 {
		return turns.Position{Index: b.fleetPosition.index, Count: b.fleetPosition.count}
	}
	return turns.Position{Index: b.settings.Index, Count: b.settings.PeerCount}
}
