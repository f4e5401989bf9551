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
		attempt := &e.ClientAttempts[i]
		name := e.Plan.Sidecars[attempt.Sidecar].Name
		if attempt.ResentAt != 0 && len(attempts[attempt.ID]) > 0 && attempts[attempt.ID][0].First < attempt.ResentAt && !e.excused(attempt.Sidecar, attempt.Began, attempt.Ended) {
			// The client took it that nobody had read the request, but a server had got it.
			f.violation("one-answer", "%s hung up on request %s after it had sent it on", name, attempt.ID)
		}
		if attempt.Sent == 0 {
			continue // no sidecar has taken it
		}
		late := attempt.Sent + int64(attempt.Timeout) + int64(plan.Millis(limits.AnswerSlackMS))
		excused := e.excused(attempt.Sidecar, attempt.Began, attempt.Ended)
		if attempt.Status != 0 || !excused {
			f.observe("one-answer", 1)
		}
		if attempt.Status != 0 && !excused {
			f.observe("in-time", 1)
		}
		switch {
		case attempt.Status == 0 && !excused:
			f.violation("one-answer", "%s took request %s at %s and gave no answer: %s", name, attempt.ID, e.when(attempt.Sent), attempt.Fault)
		case attempt.Status == 200 && !slices.ContainsFunc(attempts[attempt.ID], func(a ctl.Attempt) bool { return a.Outcome == "served" && a.Server == attempt.ServedBy }):
			f.violation("one-answer", "%s served request %s by %q, which no server says", name, attempt.ID, attempt.ServedBy)
		case attempt.Status != 0 && attempt.Ended > late && !excused:
			f.violation("in-time", "%s answered request %s %v after its time", name, attempt.ID, time.Duration(attempt.Ended-attempt.Sent)-attempt.Timeout)
		}
	}
}
