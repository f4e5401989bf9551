package check

import (
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/plan"
)

// checkResponses checks one-answer and in-time.
func (e *Evidence) checkResponses(f findings, attempts map[string][]ctl.Attempt) {
	limits := &e.Plan.File.Limits
	for i := range e.ClientAttempts {
		t := &e.ClientAttempts[i]
		name := e.Plan.Sidecars[t.Sidecar].Name
		if t.ResentAt != 0 && len(attempts[t.ID]) > 0 && attempts[t.ID][0].First < t.ResentAt && !e.excused(t.Sidecar, t.Began, t.Ended) {
			// The client took it that nobody had read the request, but a server had got it.
			f.violation("one-answer", "%s hung up on request %s after it had sent it on", name, t.ID)
		}
		if t.Sent == 0 {
			continue // no sidecar has taken it
		}
		late := t.Sent + int64(t.Timeout) + int64(plan.Millis(limits.AnswerSlackMS))
		excused := e.excused(t.Sidecar, t.Began, t.Ended)
		if t.Status != 0 || !excused {
			f.observe("one-answer", 1)
		}
		if t.Status != 0 && !excused {
			f.observe("in-time", 1)
		}
		switch {
		case t.Status == 0 && !excused:
			f.violation("one-answer", "%s took request %s at %s and gave no answer: %s", name, t.ID, e.when(t.Sent), t.Fault)
		case t.Status == 200 && !slices.ContainsFunc(attempts[t.ID], func(a ctl.Attempt) bool { return a.Outcome == "served" && a.Server == t.ServedBy }):
			f.violation("one-answer", "%s served request %s by %q, which no server says", name, t.ID, t.ServedBy)
		case t.Status != 0 && t.Ended > late && !excused:
			f.violation("in-time", "%s answered request %s %v after its time", name, t.ID, time.Duration(t.Ended-t.Sent)-t.Timeout)
		}
	}
}
