package check

import (
	"cmp"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/plan"
)

// serverAtSidecar is a server as far as one sidecar uses it.
type serverAtSidecar struct {
	near   int
	server string
}

// checkDrained checks that no attempt goes to a server longer than the grace after the sidecar was notified that the server drains or is
// gone.
func (e *Evidence) checkDrained(found findings) {
	updates := map[serverAtSidecar][]ctl.ListUpdate{}
	for _, update := range e.ListUpdates {
		pair := serverAtSidecar{update.Near, update.UID}
		updates[pair] = append(updates[pair], update)
	}
	for _, all := range updates {
		slices.SortStableFunc(all, func(a, b ctl.ListUpdate) int { return cmp.Compare(a.At, b.At) })
		if slices.ContainsFunc(all, func(update ctl.ListUpdate) bool { return update.State != serving }) {
			found.observe("drained", 1)
		}
	}
	limits := &e.Plan.File.Limits
	grace := int64(plan.Millis(limits.DrainGraceMS + limits.SlackMS))
	for _, attempt := range e.ServerAttempts {
		since, state := e.notServingSince(attempt, updates[serverAtSidecar{attempt.Near, attempt.Server}])
		if since != 0 && attempt.First > since+grace && !e.stopped(attempt.Near, since, attempt.First) {
			found.violation("drained", "%s sent request %s to %s at %s, %v after it was told %s", e.Plan.Sidecars[attempt.Near].Name, attempt.ID,
				attempt.Server, e.when(attempt.First), time.Duration(attempt.First-since).Round(time.Millisecond), state)
		}
	}
}

const serving = "SERVING" // the state of a server that accepts requests

// notServingSince is when the sidecar that made an attempt was notified that the server does not serve, and of which state; 0: it serves as
// far as the sidecar knows. The updates are those of the pair in order of time; those to an earlier process of the sidecar do
// not count.
func (e *Evidence) notServingSince(attempt ctl.Attempt, updates []ctl.ListUpdate) (since int64, state string) {
	start := e.processStart(attempt.Near, attempt.First)
	for _, update := range updates {
		switch {
		case update.At > attempt.First || update.At < start:
		case update.State == serving:
			since = 0
		case since == 0:
			since, state = update.At, update.State
		}
	}
	return since, state
}
