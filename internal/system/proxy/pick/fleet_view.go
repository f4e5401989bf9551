package pick

import (
	"slices"
	"time"
)

// fleetSizeTTL is how long a proxy that is no longer listed still counts when quotas are divided.
const fleetSizeTTL = 30 * time.Second

// fleetView is what this proxy knows about the other proxies, and about its own contact with the control plane.
type fleetView struct {
	size           fleetSize
	peersChangedAt Time // last change of Peers or MembershipIncomplete
	staleSince     Time // when the cluster state last became Stale
	resumedAt      Time // when this proxy last stopped being Stale, without all peers, or stalled
	stalled        bool // the process was paused, and the control plane has not been in contact since
	stalledAt      Time // the end of the last pause
}

// update applies a new cluster state, which replaces the one before.
func (v *fleetView) update(now Time, before, state *ClusterState) {
	if !slices.Equal(before.Peers, state.Peers) || before.MembershipIncomplete != state.MembershipIncomplete {
		v.peersChangedAt = now
	}
	v.size.observe(now, len(state.Peers)+state.DownCount)
	if state.Stale && !before.Stale {
		v.staleSince = now
	}
	stallEnded := v.stalled && state.hasContactSince(now, v.stalledAt)
	if stallEnded {
		v.stalled = false
	}
	becameFresh := before.Stale && !state.Stale
	becameComplete := before.MembershipIncomplete && !state.MembershipIncomplete
	if becameFresh || becameComplete || stallEnded {
		v.resumedAt = now
	}
}

// recordStall records that the process was paused until now.
func (v *fleetView) recordStall(now Time) { v.stalled, v.stalledAt = true, now }

// fleetSize is the highest number of proxies within fleetSizeTTL: proxies that seem to be gone may
// be partitioned and still use their quotas, so the quotas of the others must not grow immediately.
type fleetSize struct {
	current, highest int
	highestAt        Time // when the current number last equaled highest
}

// observe records the current number of proxies.
func (f *fleetSize) observe(now Time, n int) {
	if f.current >= f.highest {
		f.highestAt = now // the number was at its highest until now
	}
	f.current = max(n, 1)
	if f.current >= f.highest || now-f.highestAt > fleetSizeTTL {
		f.highest, f.highestAt = f.current, now
	}
}

// count returns the number by which quotas are divided, at least 1.
func (f *fleetSize) count() int { return max(f.highest, 1) }
