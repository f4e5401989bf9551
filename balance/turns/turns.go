// Package turns gives each sidecar its turns at what not all should do at once: a probe of a condemned
// server, or the return after an outage.
//
// Turns follow from a sidecar's position and the time, and need no message. Each period draws a point on a
// circle that the members share out evenly; the one whose part has the point owns the turn. So the next
// period has another owner, and a member that is gone is passed over.
//
// Sidecars share no clock. Where clocks and positions agree, a period has one owner, else one on the average,
// and no member has more than one turn in a period. A change of the members may lose or double a turn while
// positions differ: no promise may rest on turns alone.
package turns

import "time"

// fraction53 is what 53 random bits are divided by to have a number from 0 to under 1.
const fraction53 = 1 << 53

// goldenSection is 1<<64 divided by the golden ratio.
const goldenSection = 0x9e3779b97f4a7c15

// Position is a sidecar's place among the members, from 0. Each has an equal part of the circle.
type Position struct{ Index, Count int }

// IsOwner tells whether this sidecar owns the turn of the present period at a subject, which is any number
// that names it. One with nothing to do in its turn lets it go by: turns that were saved up would be taken by
// all at once. The points of consecutive periods are a golden section apart, so that each of n members has a
// turn within 3n periods.
func (p Position) IsOwner(subject uint64, now, period time.Duration) bool {
	number := uint64(now / max(period, 1))
	point := float64((splitMix64(subject)+number*goldenSection)>>11) / fraction53
	count := float64(p.Count)
	return float64(p.Index)/count <= point && point < float64(p.Index+1)/count
}

// ReturnDelay is how long this sidecar waits, less than a spread, until it returns to a subject that was out
// for all. The sidecars return one after the other, from any one on.
func (p Position) ReturnDelay(subject uint64, spread time.Duration) time.Duration {
	count := uint64(max(p.Count, 1))
	turn := (uint64(p.Index) + splitMix64(subject)%count) % count
	return time.Duration(float64(turn) / float64(count) * float64(spread))
}

// splitMix64 spreads near numbers over all (the finalizer of SplitMix64: Steele, Lea, Flood, OOPSLA 2014).
func splitMix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
