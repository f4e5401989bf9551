package check

import (
	"cmp"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/plan"
)

// checkDrained checks that nothing new goes to a server that a sidecar was told drains or is gone.
func (e *Evidence) checkDrained(f findings) {
	type pair struct {
		near   int
		server string
	}
	told := map[pair][]ctl.ListUpdate{}
	for _, t := range e.ListUpdates {
		p := pair{t.Near, t.UID}
		told[p] = append(told[p], t)
	}
	for p := range told {
		slices.SortStableFunc(told[p], func(a, b ctl.ListUpdate) int { return cmp.Compare(a.At, b.At) })
	}
	for _, all := range told {
		if slices.ContainsFunc(all, func(t ctl.ListUpdate) bool { return t.State != "SERVING" }) {
			f.observe("drained", 1)
		}
	}
	limits := &e.Plan.File.Limits
	grace := int64(plan.Millis(limits.DrainGraceMS + limits.SlackMS))
	for _, a := range e.ServerAttempts {
		since, state := int64(0), ""
		born := e.processStart(a.Near, a.First)
		for _, t := range told[pair{a.Near, a.Server}] {
			if t.At > a.First || t.At < born {
				continue // not told yet, or to a process before this one
			}
			if t.State == "SERVING" {
				since = 0
			} else if since == 0 {
				since, state = t.At, t.State
			}
		}
		if since != 0 && a.First > since+grace && !e.stopped(a.Near, since, a.First) {
			f.violation("drained", "%s sent request %s to %s at %s, %v after it was told %s", e.Plan.Sidecars[a.Near].Name, a.ID, a.Server,
				e.when(a.First), time.Duration(a.First-since).Round(time.Millisecond), state)
		}
	}
}
