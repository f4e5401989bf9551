package failuredetector

import "slices"

// maxRetiredIncarnations bounds the former incarnations of a node that are remembered.
const maxRetiredIncarnations = 4

// watchedNode is what this detector believes of a node that it watches.
type watchedNode struct {
	incarnation         uint64
	retiredIncarnations []uint64 // the newest last; a membership list that lags may still name one
	watchedSince        Time     // moved on when this process resumes from a pause
	lastContact         Time     // when the newest known sign of life was given, directly or to another watcher
	contacted           bool     // lastContact is set
	left                bool     // it announced a graceful shutdown

	suspected            bool
	suspicionDeadline    Time
	lastIndirectPing     Time
	lastIncarnationProbe Time            // when it was last probed for its incarnation
	probeFailed          bool            // the second path failed since the suspicion began
	nacks                map[string]bool // the watchers that have not heard it either

	down           bool // it was reported as down
	lastReportedAt Time
}

// replace begins to watch a new process of the node.
func (w *watchedNode) replace(now Time, incarnation uint64) {
	retired := append(slices.DeleteFunc(w.retiredIncarnations, func(r uint64) bool { return r == incarnation }), w.incarnation)
	if len(retired) > maxRetiredIncarnations {
		retired = slices.Delete(retired, 0, 1)
	}
	*w = watchedNode{incarnation: incarnation, retiredIncarnations: retired, watchedSince: now}
}

// isNewIncarnation reports whether a membership list names a process that is neither the watched one nor one before it.
func (w *watchedNode) isNewIncarnation(incarnation uint64) bool {
	return incarnation != w.incarnation && !slices.Contains(w.retiredIncarnations, incarnation)
}

// sinceLastContact is how long the node has been silent while it was watched.
func (w *watchedNode) sinceLastContact(now Time) Time {
	if w.contacted {
		return now - max(w.watchedSince, w.lastContact)
	}
	return now - w.watchedSince
}

// beginSuspicion starts a suspicion that lasts for a time, within which it is confirmed or refuted.
func (w *watchedNode) beginSuspicion(now, timeout Time) {
	w.suspected, w.suspicionDeadline = true, now+timeout
	w.probeFailed, w.nacks = false, map[string]bool{}
}

// clearSuspicion ends a suspicion without a down report.
func (w *watchedNode) clearSuspicion() { w.suspected, w.nacks = false, nil }

// recordNack records that another watcher has not heard a process of the node either.
func (w *watchedNode) recordNack(watcher string, incarnation uint64) {
	if w.suspected && w.incarnation == incarnation {
		w.nacks[watcher] = true
	}
}
