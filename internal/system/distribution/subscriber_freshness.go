package distribution

import (
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/catchup"
)

// unknownAge is the reported age if there was no contact yet.
const unknownAge = time.Hour

// freshnessTracker tracks what the subscriber can prove about its contacts to the control plane. All times are from this process's
// monotonic clock. The subscriber's mu guards it.
type freshnessTracker struct {
	lastContact        time.Time // when the last reply was received that had not expired
	freshAt            time.Time // latest time at which certainly nothing newer than the state had been acknowledged; zero: never
	lastCurrentContact time.Time // latest time at which a replying node was certainly current
	refreshAfter       time.Time // the owner awaits a current node's reply to a call made after this time; zero: no such request
}

// neverFresh reports whether no reply since the start has proved that the state is the newest.
func (t *freshnessTracker) neverFresh() bool { return t.freshAt.IsZero() }

// isFresh reports whether the state was the newest at most FreshnessTTL ago.
func (t *freshnessTracker) isFresh(now time.Time) bool {
	return !t.freshAt.IsZero() && now.Sub(t.freshAt) <= catchup.FreshnessTTL
}

// outOfContact reports whether there was no contact to a current node for so long that others may consider this process lost.
func (t *freshnessTracker) outOfContact(now time.Time) bool {
	return now.Sub(t.lastCurrentContact) > catchup.FreshnessTTL
}

// contactAge returns the maximum time since the last contact to a current node.
func (t *freshnessTracker) contactAge(now time.Time) time.Duration {
	return min(now.Sub(t.lastCurrentContact), unknownAge)
}

// stateAge returns how long ago, at most, nothing newer than the state had been acknowledged.
func (t *freshnessTracker) stateAge(now time.Time) time.Duration {
	if t.neverFresh() {
		return unknownAge
	}
	return min(now.Sub(t.freshAt), unknownAge)
}

// observeCurrent records that a node was current at a moment, and reports whether the owner awaited such a contact.
func (t *freshnessTracker) observeCurrent(at time.Time) (awaited bool) {
	t.lastCurrentContact = laterOf(t.lastCurrentContact, at)
	awaited = !t.refreshAfter.IsZero() && !t.lastCurrentContact.Before(t.refreshAfter)
	if awaited {
		t.refreshAfter = time.Time{}
	}
	return awaited
}

// observeFresh records that the state was the newest at a moment, and reports whether that is the first proof since the start.
func (t *freshnessTracker) observeFresh(at time.Time) (first bool) {
	first = t.neverFresh()
	t.freshAt = laterOf(t.freshAt, at)
	return first
}
