package rules

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// checkFailback checks FAILBACK: in no second does a server that warms up get more requests than its limit. Requests count that were sent and came
// within that second.
func (x *index) checkFailback(verdict *Verdict) {
	for _, p := range x.WarmUpPeaks() {
		verdict.Checked += p.Requests
		if float64(p.Requests) > p.Limit {
			verdict.violation("%s got %d requests within a second while cold, up to %v; %.1f at most", p.Server, p.Requests,
				p.At.Round(time.Millisecond), p.Limit)
		}
	}
}

// WarmUpPeak is the most requests that a server got within one second while it warmed up.
type WarmUpPeak struct {
	Server   string // id of the incarnation
	Requests int
	Limit    float64 // of Requests, by FAILBACK
	At       Time    // end of that second
}

// WarmUpPeaks returns the peaks of all servers that were sent requests while they warmed up. Requests that were rejected with 421 do not count.
func (e *Evidence) WarmUpPeaks() []WarmUpPeak {
	by := map[string][]*Arrival{}
	for _, a := range e.Arrivals {
		if a.WarmingUp && a.reached() {
			by[a.Server] = append(by[a.Server], a)
		}
	}
	var peaks []WarmUpPeak
	for _, server := range slices.Sorted(maps.Keys(by)) {
		all := by[server]
		slices.SortStableFunc(all, func(a, b *Arrival) int { return cmp.Compare(a.At, b.At) })
		peak := WarmUpPeak{Server: server}
		for i, last := range all {
			if n := countSentWithin(all[:i+1], last.At-time.Second); n > peak.Requests {
				peak.Requests, peak.At, peak.Limit = n, last.At, last.WarmUpLimit*e.Bounds.ColdExcess+e.Bounds.ColdSlack
			}
		}
		peaks = append(peaks, peak)
	}
	return peaks
}

// countSentWithin returns how many arrivals both came and were sent after a time. They are in order of arrival.
func countSentWithin(sorted []*Arrival, after Time) (n int) {
	for i := len(sorted) - 1; i >= 0 && sorted[i].At > after; i-- {
		if sorted[i].sentAt() > after {
			n++
		}
	}
	return n
}
