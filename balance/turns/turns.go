// Package turns gives each sidecar its turns at what not all should do at once: a try at a suspect server, a
// probe, the return to a service after an outage. They follow from place and time, and need no message.
//
// Each period draws a point on a circle that the members share out, and the one whose part it falls into has
// the turn: the next period has another owner, and one that is gone is passed over. Sidecars share no clock.
// Where clocks and views agree, each period has just one owner; else one on the average, as the parts add up
// to 1, and no member has over one turn a period. A change of the members moves the parts: a turn may be lost
// or doubled for as long as views differ. No promise may rest on turns alone.
package turns

import "time"

// View is a sidecar's place among the members: Place of Count, from 0. Its part of the circle is Share, from
// Before on: parts of the fleet's traffic, in all 1, where they are known; else both are 0.
type View struct {
	Place, Count  int
	Before, Share float64
}

// Mine tells whether it is this sidecar's turn at what, any number that names it. An owner that has nothing
// to do in its turn lets it go by: turns that are saved up are taken by all at once.
//
// The points of a period and the next are a golden section of the circle apart, so that they spread evenly:
// a part of 1/n has a turn within 3n periods.
func (v View) Mine(what uint64, now, period time.Duration) bool {
	n := float64(v.Count)
	from, to := float64(v.Place)/n, float64(v.Place+1)/n
	if v.Share > 0 {
		from, to = v.Before, v.Before+v.Share
	}
	const golden = 0x9e3779b97f4a7c15 // of 1<<64
	point := float64((mix(what)+uint64(now/max(period, 1))*golden)>>11) / (1 << 53)
	return from <= point && point < to
}

// Back is how long this sidecar waits, at most span, before it comes back to what was out for all: at equal
// distances, by number, in an order that begins elsewhere for each what.
func (v View) Back(what uint64, span time.Duration) time.Duration {
	n := uint64(max(v.Count, 1))
	return time.Duration(float64((uint64(v.Place)+mix(what)%n)%n) / float64(n) * float64(span))
}

// mix spreads near numbers over all (the finalizer of SplitMix64: Steele, Lea, Flood, OOPSLA 2014).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
