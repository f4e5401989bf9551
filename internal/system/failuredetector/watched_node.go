package failuredetector

import "slices"

// maxRetiredIncarnations bounds the number of former incarnations that are remembered per node.
const maxRetiredIncarnations = 4

// watchedNode holds the state of a node that this detector watches.
type watchedNode struct {
	incarnation         uint64
	retiredIncarnations []uint64 // the newest last; a stale membership list may still name one
	watchedSince        Time     // reset when this process resumes from a pause
	lastContact         Time     // time of the latest known contact, with this node or with another watcher
	contacted           bool     // lastContact is set
	left                bool     // the node announced a graceful shutdown

	suspected            bool
	suspicionDeadline    Time
	lastIndirectPing     Time
	lastIncarnationProbe Time            // when it was last probed for its incarnation
	probeFailed          bool            // the second path has failed since the suspicion began
	nacks                map[string]bool // the watchers that had no recent contact with it either

	down           bool // the node was reported as down
	lastReportedAt Time
}

// replace starts watching a new incarnation of the node.
func (w *watchedNode) replace(now Time, incarnation uint64) {
	retired := append(slices.DeleteFunc(w.retiredIncarnations, func(r uint64) bool { return r == incarnation }), w.incarnation)
	if len(retired) > maxRetiredIncarnations {
		retired = slices.Delete(retired, 0, 1)
	}
	*w = watchedNode{incarnation: incarnation, retiredIncarnations: retired, watchedSince: now}
}

// isNewIncarnation reports whether an incarnation is neither the watched one nor a former one.
func (w *watchedNode) isNewIncarnation(incarnation uint64) bool {
	return incarnation != w.incarnation && !slices.Contains(w.retiredIncarnations, incarnation)
}

// sinceLastContact returns how long the node has been silent while it was watched.
func (w *watchedNode) sinceLastContact(now Time) Time {
	if w.contacted {
		return now - max(w.watchedSince, w.lastContact)
	}
	return now - w.watchedSince
}

// beginSuspicion starts a suspicion, to be confirmed or refuted within timeout.
func (w *watchedNode) beginSuspicion(now, timeout Time) {
	w.suspected, w.suspicionDeadline = true, now+timeout
	w.probeFailed, w.nacks = false, map[string]bool{}
}

// clearSuspicion ends a suspicion without a down report.
func (w *watchedNode) clearSuspicion() { w.suspected, w.nacks = false, nil }

// recordNack records that another watcher had no recent contact with an incarnation of the node either.
func (w *watchedNode) recordNack(watcher string, incarnation uint64) {
	if w.suspected && w.incarnation == incarnation {
		w.nacks[watcher] = true
	}
}
