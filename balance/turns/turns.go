// Package turns gives each sidecar its turns at what not all should do at once: a try at a suspect server, a
// probe, the return after an outage. They follow from place and time, and need no message. Each period draws
// a point on a circle that the members share out; the one whose part has it has the turn. So the next period
// has another owner, and one that is gone is passed over. Sidecars share no clock: where clocks and views
// agree a period has one owner, else one on the average, and no member has over one turn a period. A change
// of the members may lose or double a turn while views differ: no promise may rest on turns alone.
package turns

import "time"

// Position is a sidecar's place among the members: Place of Count, from 0. Each has an equal part of the
// circle.
type Position struct{ Index, Count int }

// IsOwner tells whether it is this sidecar's turn at what, any number that names it. One with nothing to do
// in its turn lets it go by: saved turns are taken by all at once. The points of periods in a row are a
// golden section apart, so that a part of 1/n has a turn within 3n periods.
func (v Position) IsOwner(what uint64, now, period time.Duration) bool {
	const golden = 0x9e3779b97f4a7c15 // of 1<<64
	point := float64((splitMix64(what)+uint64(now/max(period, 1))*golden)>>11) / (1 << 53)
	n := float64(v.Count)
	return float64(v.Index)/n <= point && point < float64(v.Index+1)/n
}

// ReturnDelay is how long this sidecar waits, under span, to come back to what was out for all: in turn, from
// any one.
func (v Position) ReturnDelay(what uint64, span time.Duration) time.Duration {
	n := uint64(max(v.Count, 1))
	return time.Duration(float64((uint64(v.Index)+splitMix64(what)%n)%n) / float64(n) * float64(span))
}

// splitMix64 spreads near numbers over all (the finalizer of SplitMix64: Steele, Lea, Flood, OOPSLA 2014).
func splitMix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
