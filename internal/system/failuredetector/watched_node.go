package failuredetector

import "slices"

// maxRetiredIncarnations bounds the former incarnations of a node that are remembered.
const maxRetiredIncarnations = 4

// watchedNode is what is believed of one watched node.
type watchedNode struct {
	incarnation          uint64
	retiredIncarnations  []uint64 // the last few former incarnations: a feed of members that lags may still tell of them
	watchedSince         Time     // watched from then on; moved on when this process resumes
	lastContact          Time     // when it was last heard, by whomever
	contacted            bool
	left                 bool // it has left
	suspected            bool
	suspicionDeadline    Time // of a suspicion
	lastIndirectPing     Time // when the other watchers were last asked
	lastIncarnationProbe Time // when a second path was last asked for the incarnation
	probeFailed          bool
	nacks                map[string]bool // watchers that answered that they do not hear it either
	down                 bool            // a verdict was given
	lastVerdict          Time            // when
}

// replace starts to watch a new process of a node.
func (w *watchedNode) replace(now Time, incarnation uint64) {
	retired := append(slices.DeleteFunc(w.retiredIncarnations, func(r uint64) bool { return r == incarnation }), w.incarnation)
	if len(retired) > maxRetiredIncarnations {
		retired = slices.Delete(retired, 0, 1)
	}
	*w = watchedNode{incarnation: incarnation, retiredIncarnations: retired, watchedSince: now}
}

// silentSince is the moment from which silence counts.
func (w *watchedNode) silentSince() Time {
	if w.contacted {
		return max(w.watchedSince, w.lastContact)
	}
	return w.watchedSince
}
