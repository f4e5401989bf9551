package rules

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// checkFailback checks FAILBACK (RULES.md, "Zones and regions"): in no second does a server that warms up get more requests than its limit
// times Bounds.ColdExcess, and Bounds.ColdSlack besides. Requests count that were sent and came within that second, from all proxies, in
// contact or not.
//
// Excused are only requests that got 421, as they were meant for another incarnation.
func (x *index) checkFailback(verdict *Verdict) {
	for _, peak := range x.WarmUpPeaks() {
		verdict.Checked += peak.Requests
		if float64(peak.Requests) > peak.Limit {
			verdict.violation("%s got %d requests within a second while cold, up to %v; %.1f at most", peak.Server, peak.Requests,
				peak.At.Round(time.Millisecond), peak.Limit)
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
	byServer := map[string][]*Arrival{}
	for _, arrival := range e.Arrivals {
		if arrival.WarmingUp && arrival.reached() {
			byServer[arrival.Server] = append(byServer[arrival.Server], arrival)
		}
	}
	var peaks []WarmUpPeak
	for _, server := range slices.Sorted(maps.Keys(byServer)) {
		peaks = append(peaks, e.peakOf(server, byServer[server]))
	}
	return peaks
}

// peakOf returns the peak of a server to which the arrivals came while it warmed up. It sorts them by time.
func (e *Evidence) peakOf(server string, arrivals []*Arrival) WarmUpPeak {
	slices.SortStableFunc(arrivals, func(a, b *Arrival) int { return cmp.Compare(a.At, b.At) })
	peak := WarmUpPeak{Server: server}
	for i, last := range arrivals { // A second with the most requests ends with one.
		if count := countSentAfter(arrivals[:i+1], last.At-time.Second); count > peak.Requests {
			peak.Requests, peak.At = count, last.At
			peak.Limit = last.WarmUpLimit*e.Bounds.ColdExcess + e.Bounds.ColdSlack
		}
	}
	return peak
}

// countSentAfter returns how many arrivals both came and were sent after a time. They are in order of arrival.
func countSentAfter(sorted []*Arrival, after Time) (n int) {
	for i := len(sorted) - 1; i >= 0 && sorted[i].At > after; i-- {
		if sorted[i].sentAt() > after {
			n++
		}
	}
	return n
}
