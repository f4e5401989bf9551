// Package turns assigns turns for actions that sidecars should not all take at the same time, such as probing
// a condemned server or returning to a server after an outage.
//
// Turns are computed from a sidecar's position and the time, without messages. Each period determines a point
// on a circle that is divided evenly among the members. The member whose part contains the point owns the
// turn. So the next period has a different owner, and a member that is gone delays the others only by its own
// period.
//
// Sidecars do not share a clock. If clocks and positions agree, each period has exactly one owner, otherwise
// one on average, and no member has more than one turn in a period. While the members change and their
// positions differ, a turn may be lost or doubled. Correctness must therefore not depend on turns alone.
package turns

import "time"

// twoToThe53 is the divisor that converts 53 random bits to a number from 0 to less than 1.
const twoToThe53 = 1 << 53

// goldenSection is 1<<64 divided by the golden ratio.
const goldenSection = 0x9e3779b97f4a7c15

// Position is a sidecar's index among the members, starting at 0, and their count. Each member has an equal
// part of the circle.
type Position struct{ Index, Count int }

// IsOwner reports whether this sidecar owns the turn of the current period for a subject, which is identified
// by any number. An owner with nothing to do must let its turn pass: if turns could be saved up, all sidecars
// might use theirs at once. The points of consecutive periods are a golden section apart, so each of n
// members has a turn within 3n periods.
func (p Position) IsOwner(subject uint64, now, period time.Duration) bool {
	number := uint64(now / max(period, 1))
	point := float64((splitMix64(subject)+number*goldenSection)>>11) / twoToThe53
	count := float64(p.Count)
	return float64(p.Index)/count <= point && point < float64(p.Index+1)/count
}

// ReturnDelay returns how long this sidecar waits before it returns to a subject that was unavailable to all.
// It is less than spread. The sidecars return one after the other, starting with one that depends on the
// subject.
func (p Position) ReturnDelay(subject uint64, spread time.Duration) time.Duration {
	count := uint64(max(p.Count, 1))
	turn := (uint64(p.Index) + splitMix64(subject)%count) % count
	return time.Duration(float64(turn) / float64(count) * float64(spread))
}

// splitMix64 maps similar numbers to unrelated ones (the finalizer of SplitMix64: Steele, Lea, Flood, OOPSLA
// 2014).
func splitMix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
