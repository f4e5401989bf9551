package check

import (
	"math"
	"slices"
	"time"
)

const (
	recentUse    = 10 * int64(time.Second) // before a silence: who sent to the server then may send there again
	avoidedShare = 0.95                    // of them
)

// avoidanceFigures are how fast a fleet learns that servers have fallen silent: avoid95_ms, from the moment of it until 95% of the sidecars that
// sent there in the 10 s before have sent there for the last time of the silence (of the server for which that takes longest), and
// learn_attempts, how many attempts a silent server was sent meanwhile, by all together. A sidecar that tries a silent server in its turn
// has not stopped: one in twenty may. They are left out where no server fell silent that anybody used.
func (e *Evidence) avoidanceFigures(f Figures) {
	servers, attempts, worst := 0, 0, int64(0)
	for uid, spans := range e.unresponsive() {
		for i, s := range spans {
			if i > 0 && spans[i-1].To == s.From {
				continue // one silence, of which another cause goes on
			}
			for next := i + 1; next < len(spans) && spans[next].From == s.To; next++ {
				s.To = spans[next].To
			}
			last := map[int]int64{} // of the sidecars that sent before: when last, from the start of the silence
			n := 0
			for _, a := range e.ServerAttempts {
				if a.Server == uid && a.First >= s.From-recentUse && a.First < s.From {
					last[a.Near] = max(last[a.Near], 0)
				}
			}
			for _, a := range e.ServerAttempts {
				if a.Server != uid || a.First < s.From || a.First >= s.To {
					continue
				}
				n++
				if _, knew := last[a.Near]; knew {
					last[a.Near] = max(last[a.Near], a.First-s.From)
				}
			}
			if len(last) == 0 {
				continue
			}
			times := make([]int64, 0, len(last))
			for _, t := range last {
				times = append(times, t)
			}
			slices.Sort(times)
			servers, attempts = servers+1, attempts+n
			worst = max(worst, times[int(math.Ceil(avoidedShare*float64(len(times))))-1])
		}
	}
	if servers > 0 {
		f["avoid95_ms"], f["learn_attempts"] = float64(worst)/1e6, float64(attempts)/float64(servers)
	}
}
