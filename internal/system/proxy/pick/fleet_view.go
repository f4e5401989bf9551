package pick

import (
	"slices"
	"time"
)

// fleetSizeTTL is how long a proxy that is no longer listed still counts for the parts of the others.
const fleetSizeTTL = 30 * time.Second

// fleetView is what this proxy knows of the other proxies, and of its own contact with the control plane.
type fleetView struct {
	size           fleetSize
	peersChangedAt Time // when the peers, or whether all are known, last changed
	staleSince     Time // when the cluster state last became Stale
	resumedAt      Time // when this proxy was last Stale, without all peers, or stalled
	stalled        bool // the process was paused, and the control plane has not been in contact since
	stalledAt      Time // the end of the last pause
}

// update takes in a cluster state in place of the one before.
func (v *fleetView) update(now Time, before, state *ClusterState) {
	if !slices.Equal(before.Peers, state.Peers) || before.MembershipIncomplete != state.MembershipIncomplete {
		v.peersChangedAt = now
	}
	v.size.observe(now, len(state.Peers)+state.DownCount)
	if state.Stale && !before.Stale {
		v.staleSince = now
	}
	stallOver := v.stalled && state.hasContactSince(now, v.stalledAt)
	if stallOver {
		v.stalled = false
	}
	freshAgain := before.Stale && !state.Stale
	completeAgain := before.MembershipIncomplete && !state.MembershipIncomplete
	if freshAgain || completeAgain || stallOver {
		v.resumedAt = now
	}
}

// recordStall notes that the process was paused until now.
func (v *fleetView) recordStall(now Time) { v.stalled, v.stalledAt = true, now }

// fleetSize is the highest number of proxies in fleetSizeTTL: where some seem to be gone, they may be partitioned and still use their
// parts, so the others' parts do not grow at once.
type fleetSize struct {
	current, highest int
	highestAt        Time // when highest was last the current number
}

// observe takes in how many proxies there are.
func (f *fleetSize) observe(now Time, n int) {
	if f.current >= f.highest {
		f.highestAt = now // the highest number lasted until now
	}
	f.current = max(n, 1)
	if f.current >= f.highest || now-f.highestAt > fleetSizeTTL {
		f.highest, f.highestAt = f.current, now
	}
}

// count is the number of proxies that quotas are divided by, 1 at least.
func (f *fleetSize) count() int { return max(f.highest, 1) }
