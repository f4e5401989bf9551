package check

import (
	"maps"
	"slices"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/load"
	"gradeusher.example/gradeusher/internal/lab/plan"
)

const maxAttempts = 3

// checkAttempts checks no-duplicate and one-at-a-time.
func (e *Evidence) checkAttempts(f findings, attempts map[string][]ctl.Attempt) {
	tries := make(map[string]*load.Attempt, len(e.ClientAttempts))
	for i := range e.ClientAttempts {
		tries[e.ClientAttempts[i].ID] = &e.ClientAttempts[i]
	}
	slack := int64(plan.Millis(e.Plan.File.Limits.SlackMS))
	for _, id := range slices.Sorted(maps.Keys(attempts)) {
		all := attempts[id]
		t := tries[id]
		f.observe("no-duplicate", 1)
		if t == nil {
			f.violation("no-duplicate", "server %s got request %q, which no client sent", all[0].Server, id)
			continue
		}
		if t.ResentAt != 0 && e.excused(t.Sidecar, t.Began, t.Ended) {
			continue // sent to two processes
		}
		most := maxAttempts
		if t.ResentAt != 0 {
			most *= 2
		}
		if len(all) > most {
			f.violation("no-duplicate", "request %s was sent %d times, %d at most", id, len(all), most)
		}
		for i := 1; i < len(all); i++ {
			before, a := all[i-1], all[i]
			f.observe("one-at-a-time", 1)
			if !e.Plan.File.Classes[t.Class].Safe && before.Outcome != "turned" {
				f.violation("no-duplicate", "request %s may have run at %s (%s) and went to %s at %s", id, before.Server, before.Outcome, a.Server, e.when(a.First))
			}
			if before.End == 0 || before.End > a.First+slack {
				f.violation("one-at-a-time", "request %s went to %s at %s while its attempt at %s was out", id, a.Server, e.when(a.First), before.Server)
			}
		}
	}
}
