package balance

import "gradeusher.example/gradeusher/balance/turns"

// Peer is what is known of a member of the fleet.
type Peer struct {
	Zone         string // "": not known
	TrafficLevel int    // see Balancer.TrafficLevel; 0: not known
}

// position is a place among some sidecars, from 0. The count is 0 where it is not known.
type position struct{ index, count int }

// membership is what a host that knows the other sidecars says of them. A Balancer works without any of it.
type membership struct {
	amongAll       position
	amongAlike     position // those of its zone and traffic level
	trafficLevel   int
	levelCheckedAt Time
}

// SetMembers takes over all members, in an order that they share, as that of a hash of their names, and which of them this
// sidecar is. One that is not among them knows nobody. It is to be called when any of this changes: a member, a traffic level,
// or this sidecar's own.
//
// The sidecar's place in subsets is that among those alike, of its zone and traffic level. Who is not known to be unlike counts
// as alike, so that without any levels places go by number.
func (b *Balancer) SetMembers(now Time, self int, peers []Peer) {
	var all, alike position
	if self >= 0 && self < len(peers) {
		all = position{index: self, count: len(peers)}
		alike = b.positionAmongAlike(self, peers)
	}
	changed := alike != b.amongAlike
	b.amongAll, b.amongAlike = all, alike
	if changed {
		b.regroup(now)
		b.decay(now, 0)
	}
}

// positionAmongAlike is not known while this sidecar's own traffic level is not.
func (b *Balancer) positionAmongAlike(self int, peers []Peer) (alike position) {
	if b.trafficLevel == 0 {
		return position{}
	}
	for i, peer := range peers {
		if i != self && !b.mayBeAlike(peer) {
			continue
		}
		alike.count++
		if i < self {
			alike.index++
		}
	}
	return alike
}

func (b *Balancer) mayBeAlike(peer Peer) bool {
	sameZone := peer.Zone == "" || peer.Zone == b.settings.Zone
	sameLevel := peer.TrafficLevel == 0 || peer.TrafficLevel == b.trafficLevel
	return sameZone && sameLevel
}

// TrafficLevel stands for how much traffic this sidecar has for the servers of its zone: 1 for much, one more for each halving,
// up to 11; 0 until that is known, some 12 s after the first list. Sidecars of one level use as many servers. It changes seldom,
// and not by noise.
func (b *Balancer) TrafficLevel() int { return b.trafficLevel }

// turnPosition is this sidecar's position for turns: among the members, or else among its peers by the settings.
func (b *Balancer) turnPosition() turns.Position {
	if b.amongAll.count > 0 {
		return turns.Position{Index: b.amongAll.index, Count: b.amongAll.count}
	}
	return turns.Position{Index: b.settings.Index, Count: b.settings.PeerCount}
}
