package testcluster

import (
	"fmt"

	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// Report is what a run came to.
type Report struct {
	Stats            Stats
	Unanswered       []string // requests without a final answer, as lines
	Verdicts         []rules.Verdict
	Died, Killed     []string // processes that ended by themselves, and that SIGTERM did not end in time
	ReadError        error
	Calls, CallsOver int // of the platform's list
}

// Good reports whether every request got one final answer and no rule was seen broken.
func (r *Report) Good() bool {
	for _, v := range r.Verdicts {
		if v.Violations > 0 {
			return false
		}
	}
	return r.Stats.Unanswered == 0 && r.Stats.Open == 0 && len(r.Died) == 0 && len(r.Killed) == 0 && r.ReadError == nil
}

// Lines returns the report as lines.
func (r *Report) Lines() []string {
	f := r.Stats
	lines := []string{fmt.Sprintf("requests %d: served %d, refused %d, failed %d, without a final answer %d; calls to the list %d, over its rate %d",
		f.Requests, f.Served, f.Refused, f.Failed, f.Unanswered, r.Calls, r.CallsOver)}
	for _, v := range r.Verdicts {
		lines = append(lines, v.String())
	}
	for _, t := range r.Unanswered[:min(maxListedUnanswered, len(r.Unanswered))] {
		lines = append(lines, "without a final answer: "+t)
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
	return lines
}
