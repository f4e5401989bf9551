package testcluster

import (
	"fmt"

	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

const maxListedUnanswered = 5 // requests that Report.Lines lists

// Report is the outcome of a run.
type Report struct {
	Stats      Stats
	Unanswered []string // requests without a final answer, as lines
	Verdicts   []rules.Verdict
	Died       []string // processes that ended by themselves
	Killed     []string // processes that SIGTERM did not end in time
	Failures   []string // of the environment itself
	ReadError  error    // of the last reading of the configuration
	Calls      int      // of the platform's list
	CallsOver  int      // of those, the ones above its rate
}

// Good reports whether every request got one final answer, no process died, the environment did not fail, and no violation
// of a rule was seen.
func (r *Report) Good() bool {
	for _, v := range r.Verdicts {
		if v.Violations > 0 {
			return false
		}
	}
	return r.Stats.Unanswered == 0 && r.Stats.Open == 0 && len(r.Died) == 0 && len(r.Killed) == 0 && len(r.Failures) == 0 && r.ReadError == nil
}

// Lines returns the report as lines.
func (r *Report) Lines() []string {
	stats := r.Stats
	lines := []string{fmt.Sprintf("requests %d: served %d, refused %d, failed %d, without a final answer %d; calls to the list %d, over its rate %d",
		stats.Requests, stats.Served, stats.Refused, stats.Failed, stats.Unanswered, r.Calls, r.CallsOver)}
	for _, v := range r.Verdicts {
		lines = append(lines, v.String())
	}
	for _, request := range r.Unanswered[:min(maxListedUnanswered, len(r.Unanswered))] {
		lines = append(lines, "without a final answer: "+request)
	}
	if r.ReadError != nil {
		lines = append(lines, "the configuration was not read back: "+r.ReadError.Error())
	}
	for _, d := range r.Died {
		lines = append(lines, "ended by itself: "+d)
	}
	for _, k := range r.Killed {
		lines = append(lines, "SIGTERM did not end it in time: "+k)
	}
	for _, f := range r.Failures {
		lines = append(lines, "the test environment failed: "+f)
	}
	return lines
}
