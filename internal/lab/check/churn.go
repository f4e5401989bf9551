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

// churnFigure is how many servers a minute came into the sets that sidecars send to, summed over all sidecars. A
// sidecar's subset is not to be seen from outside, but the servers that it sends to are: those of a window, against those of
// the window before. A window is as many pieces of 5 s as it takes to send four times as much as there are servers in it, so that
// hardly a member is missed, and what is left at the end is no window. One that is replaced by another counts once.
func (e *Evidence) churnFigure(f Figures) {
	sent := make([][]ctl.Attempt, len(e.Plan.Sidecars))
	for _, a := range e.ServerAttempts {
		if a.Near >= 0 && a.Near < len(sent) && a.First >= e.Start {
			sent[a.Near] = append(sent[a.Near], a)
		}
	}
	sum, seen := 0.0, false
	for _, all := range sent {
		slices.SortFunc(all, func(a, b ctl.Attempt) int { return cmp.Compare(a.First, b.First) })
		var before map[string]bool
		now, n, came := map[string]bool{}, 0, 0
		first, last := int64(0), int64(0) // ends of the first window and of the last
		for i, a := range all {
			now[a.Server] = true
			n++
			end := e.Start + ((a.First-e.Start)/churnInterval+1)*churnInterval
			if i+1 < len(all) && all[i+1].First < end || i+1 == len(all) || n < minSendsPerServer*len(now) {
				continue // the piece, or the window, is not over
			}
			if last = end; before == nil {
				first = end
			} else {
				for uid := range now {
					if !before[uid] {
						came++
					}
				}
			}
			before, now, n = now, map[string]bool{}, 0
		}
		if last > first && first > 0 {
			sum, seen = sum+float64(came)/(float64(last-first)/float64(time.Minute)), true
		}
	}
	if seen {
		f["churn"] = sum
	}
}
