package balance

import (
	"github.com/cespare/xxhash/v2"

	"gradeusher.example/gradeusher/balance/turns"
)

// Here is what a host that knows the other sidecars tells. Nothing of it is needed.

// Peer is what is known of a member of the fleet: its Zone, or "", and its Level, or 0.
type Peer struct {
	Zone  string
	Level int
}

// place is a place among some sidecars: at of of, from 0; of is 0 where it is not known.
type place struct{ at, of int }

// Members takes in all members, in an order that they share, as that of a hash of their names, and which of them this
// sidecar is. One that is not among them knows nobody. It is to be called when any of this changes: a member, a Level, or
// this sidecar's own.
//
// Its place in subsets is that among those alike, of its zone and Level; who is not known to be unlike counts as alike, so
// that without any Levels places go by number.
func (b *Balancer) Members(now Time, self int, peers []Peer) {
	var all, alike place
	if self >= 0 && self < len(peers) {
		all = place{self, len(peers)}
	}
	for i, p := range peers {
		like := (p.Zone == "" || p.Zone == b.set.Zone) && (p.Level == 0 || p.Level == b.level)
		if all.of == 0 || b.level == 0 || !like && i != self {
			continue
		}
		if alike.of++; i < self {
			alike.at++
		}
	}
	changed := alike != b.alike
	if b.all, b.alike = all, alike; changed {
		b.regroup(now)
		b.fade(now, 0)
	}
}

// Level stands for how much traffic this sidecar has for the servers of its zone: 1 for much, one more for each
// halving, up to 11; 0 until that is known, some 12 s after the first list. Sidecars of one level use as many servers.
// It changes seldom, and not by noise.
func (b *Balancer) Level() int { return b.level }

// view is this sidecar's place for turns: among the members, or else among its peers as the settings tell.
func (b *Balancer) view() turns.View {
	if b.all.of > 0 {
		return turns.View{Place: b.all.at, Count: b.all.of}
	}
	return turns.View{Place: b.set.Self, Count: b.set.Peers}
}

// hash is the endpoint's in the order that members share.
func (e *endpoint) hash() uint64 { return xxhash.Sum64String(e.ID) }
