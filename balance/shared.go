package balance

import (
	"github.com/cespare/xxhash/v2"

	"gradeusher.example/gradeusher/balance/turns"
)

// Here is what a host that knows the other sidecars tells. Nothing of it is needed.

// Place is a place among some sidecars: At of Of, from 0, in an order that they all share, as that of a hash of their
// names. Of is 0 where it is not known.
type Place struct{ At, Of int }

// known tells whether a place can be.
func (p Place) known() bool { return p.At >= 0 && p.At < p.Of }

// Members takes in this sidecar's place among all members, and among those alike, whose zone and Level are its own.
// A place that is not known, or cannot be, is as if there were no members.
func (b *Balancer) Members(now Time, all, alike Place) {
	if !all.known() {
		all = Place{}
	}
	if !alike.known() || b.level == 0 {
		alike = Place{}
	}
	changed := alike != b.alike
	if b.all, b.alike = all, alike; changed {
		b.regroup(now)
		b.fade(now, 1)
	}
}

// Level stands for how much traffic this sidecar has for the servers of its zone: 1 for much, one more for each
// halving, up to 11; 0 until that is known, some 12 s after the first list. Sidecars of one level use as many servers.
// It changes seldom, and not by noise.
func (b *Balancer) Level() int { return b.level }

// view is this sidecar's place for turns: among the members, or else among its peers as the settings tell.
func (b *Balancer) view() turns.View {
	if b.all.Of > 0 {
		return turns.View{Place: b.all.At, Count: b.all.Of}
	}
	return turns.View{Place: b.set.Self, Count: b.set.Peers}
}

// hash is the endpoint's in the order that members share.
func (e *endpoint) hash() uint64 { return xxhash.Sum64String(e.ID) }
