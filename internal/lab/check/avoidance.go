package check

import (
	"math"
	"slices"
	"time"
)

const (
	recentUse    = 10 * int64(time.Second) // before a server stops responding: who sent to it then may send there again
	avoidedShare = 0.95                    // of these sidecars that have to have stopped
)

// avoidanceFigures adds how fast the fleet learns that servers do not respond: avoid95_ms, from that moment until 95% of the sidecars that
// sent to the server in the 10 s before have sent to it for the last time (of the server for which that takes longest), and
// learn_attempts, how many attempts such a server was sent meanwhile by all sidecars together. A sidecar that probes such a server in
// turn has not stopped: one in twenty may. The figures are left out where no server in use stopped responding.
func (e *Evidence) avoidanceFigures(figures Figures) {
	servers, attempts, longest := 0, 0, int64(0)
	for uid, periods := range e.unresponsive() {
		for _, period := range joinAdjacent(periods) {
			sent, last := e.sentDuring(uid, period)
			if len(last) == 0 {
				continue
			}
			slices.Sort(last)
			servers, attempts = servers+1, attempts+sent
			longest = max(longest, last[int(math.Ceil(avoidedShare*float64(len(last))))-1])
		}
	}
	if servers > 0 {
		figures["avoid95_ms"], figures["learn_attempts"] = float64(longest)/1e6, float64(attempts)/float64(servers)
	}
}

// joinAdjacent joins periods of which one begins when the one before ends: another cause continues the same state.
func joinAdjacent(periods []Span) (joined []Span) {
	for _, period := range periods {
		if last := len(joined) - 1; last >= 0 && joined[last].To == period.From {
			joined[last].To = period.To
			continue
		}
		joined = append(joined, period)
	}
	return joined
}

// sentDuring counts the attempts that a server was sent in a period, and returns for each sidecar that used the server right before it how
// long after its beginning it sent the last one, in ns; 0: none.
func (e *Evidence) sentDuring(uid string, period Span) (sent int, last []int64) {
	lastBySidecar := map[int]int64{}
	for _, attempt := range e.ServerAttempts {
		if attempt.Server == uid && attempt.First >= period.From-recentUse && attempt.First < period.From {
			lastBySidecar[attempt.Near] = 0
		}
	}
	for _, attempt := range e.ServerAttempts {
		if attempt.Server != uid || attempt.First < period.From || attempt.First >= period.To {
			continue
		}
		sent++
		if _, used := lastBySidecar[attempt.Near]; used {
			lastBySidecar[attempt.Near] = max(lastBySidecar[attempt.Near], attempt.First-period.From)
		}
	}
	for _, at := range lastBySidecar {
		last = append(last, at)
	}
	return sent, last
}
