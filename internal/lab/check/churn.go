package check

import (
	"cmp"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/lab/ctl"
)

const (
	churnInterval     = 5 * int64(time.Second)
	minSendsPerServer = 4 // sends a server in a window: then one in 55 of its servers is missed (e^-4)
)

// churnFigure adds how many servers per minute joined the sets that sidecars send to, summed over all sidecars. The subset of a sidecar
// is not visible from outside, but the servers that it sends to are: those of a window are compared with those of the window before. A
// window is as many intervals of 5 s as it takes to send four times as much as there are servers in it, so that hardly a member is
// missed; what is left at the end is no window. A server that is replaced by another one counts once.
func (e *Evidence) churnFigure(figures Figures) {
	sent := make([][]ctl.Attempt, len(e.Plan.Sidecars))
	for _, attempt := range e.ServerAttempts {
		if attempt.Near >= 0 && attempt.Near < len(sent) && attempt.First >= e.Start {
			sent[attempt.Near] = append(sent[attempt.Near], attempt)
		}
	}
	sum, measured := 0.0, false
	for _, attempts := range sent {
		if perMinute, ok := e.churn(attempts); ok {
			sum, measured = sum+perMinute, true
		}
	}
	if measured {
		figures["churn"] = sum
	}
}

// churn is how many servers per minute joined the set that one sidecar sends to; ok is false where it sent too little for two windows.
func (e *Evidence) churn(attempts []ctl.Attempt) (perMinute float64, ok bool) {
	slices.SortFunc(attempts, func(a, b ctl.Attempt) int { return cmp.Compare(a.First, b.First) })
	var before map[string]bool // servers of the window before
	now, count, joined := map[string]bool{}, 0, 0
	firstEnd, lastEnd := int64(0), int64(0) // of windows
	for i, attempt := range attempts {
		now[attempt.Server] = true
		count++
		end := e.Start + ((attempt.First-e.Start)/churnInterval+1)*churnInterval
		intervalOver := i+1 < len(attempts) && attempts[i+1].First >= end
		if !intervalOver || count < minSendsPerServer*len(now) {
			continue
		}
		if lastEnd = end; before == nil {
			firstEnd = end
		} else {
			joined += countMissing(now, before)
		}
		before, now, count = now, map[string]bool{}, 0
	}
	if firstEnd == 0 || lastEnd <= firstEnd {
		return 0, false
	}
	return float64(joined) / (float64(lastEnd-firstEnd) / float64(time.Minute)), true
}

// countMissing is how many servers of a set are not in another one.
func countMissing(servers, from map[string]bool) (missing int) {
	for uid := range servers {
		if !from[uid] {
			missing++
		}
	}
	return missing
}
