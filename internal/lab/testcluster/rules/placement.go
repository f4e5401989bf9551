package rules

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"time"
)

// checkRoute checks ROUTE: a service executes only requests that a configuration routes to it which was sent before.
func (x *index) checkRoute(verdict *Verdict) {
	for _, arrival := range x.Arrivals {
		if arrival.ExecutedAt == Never {
			continue
		}
		verdict.Checked++
		attempt, sends := x.attempts[arrival.ID], false
		if attempt == nil {
			continue // UNASKED reports it.
		}
		for _, c := range x.Changes {
			if c.Config == nil || c.Sent > arrival.ExecutedAt {
				continue
			}
			if r := c.Config.Match(attempt.Host, attempt.Path); r != nil && r.sends(arrival.Service) {
				sends = true
				break
			}
		}
		if !sends {
			verdict.violation("%s %s ran at %s", attempt.Host, attempt.Path, arrival.Service)
		}
	}
}

// reached reports whether an arrival counts as sent to the server: one that was rejected with 421 was meant for another incarnation.
func (a *Arrival) reached() bool { return a.Rejected != http.StatusMisdirectedRequest }

// sender returns the address of the proxy through which an arrival came, empty if it is not known.
func (x *index) sender(arrival *Arrival) string {
	if attempt := x.attempts[arrival.ID]; attempt != nil {
		return attempt.Proxy
	}
	return ""
}

// checkDrain checks DRAIN: proxies in contact send nothing to a server later than Bounds.Drain after the list showed it as draining.
func (x *index) checkDrain(verdict *Verdict) {
	shown := map[string]Time{}
	for _, l := range x.Listings {
		shown[l.Server] = l.Shown
	}
	for _, a := range x.Arrivals {
		at, drains := shown[a.Server]
		if !drains || !a.reached() || a.At < at {
			continue
		}
		verdict.Checked++
		if sent := a.sentAt(); sent > at+x.Bounds.Drain && x.inContact(x.sender(a), sent) {
			verdict.violation("%s reached %s %v after it was shown as draining", a.ID, a.Server, sent-at)
		}
	}
}

// sentAt returns when an arrival was sent.
func (a *Arrival) sentAt() Time {
	if a.Sent > 0 {
		return a.Sent
	}
	return a.At
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

// checkHome checks HOME: a request whose route has home regions reaches servers there only. It is a violation only if all configurations that may
// be in force say so.
func (x *index) checkHome(verdict *Verdict) {
	for _, arrival := range x.Arrivals {
		attempt := x.attempts[arrival.ID]
		if attempt == nil || !arrival.reached() {
			continue
		}
		some := x.inForce(attempt.Sent, arrival.At)
		abroad := len(some) > 0
		for _, c := range some {
			r := c.Match(attempt.Host, attempt.Path)
			abroad = abroad && r != nil && len(r.Homes) > 0 && !slices.Contains(r.Homes, arrival.Region)
		}
		verdict.Checked++
		if abroad {
			verdict.violation("%s reached %s in %s", arrival.ID, arrival.Server, arrival.Region)
		}
	}
}

// checkEvacuation checks EVAC: proxies in contact send nothing to a zone later than Bounds.Evacuate after its evacuation was acknowledged, until the
// end of the evacuation is sent.
func (x *index) checkEvacuation(verdict *Verdict) {
	for i, change := range x.Changes {
		if change.Config != nil || !change.Start || change.AcknowledgedAt == Never {
			continue
		}
		until := Time(1<<63 - 1)
		for _, later := range x.Changes[i+1:] {
			if later.Config == nil && later.Zone == change.Zone && !later.Start {
				until = later.Sent
				break
			}
		}
		for _, arrival := range x.Arrivals {
			sent := arrival.sentAt()
			from := change.AcknowledgedAt + x.Bounds.Evacuate + x.stretch(change.AcknowledgedAt, sent)
			if arrival.Zone != change.Zone || arrival.At <= change.AcknowledgedAt || arrival.At >= until || !arrival.reached() {
				continue
			}
			verdict.Checked++
			if sent > from && x.inContact(x.sender(arrival), sent) {
				verdict.violation("%s reached %s in %s %v after its evacuation", arrival.ID, arrival.Server, arrival.Zone, sent-change.AcknowledgedAt)
			}
		}
	}
}

// checkBudget checks BUDGET: within each window, the retries that reach a service stay within a ratio of the requests for it.
func (x *index) checkBudget(verdict *Verdict) {
	requests := x.requestsByService()
	for service, retries := range x.retriesByService() {
		sent := requests[service]
		slices.Sort(sent)
		x.checkWindows(service, sent, retries, verdict)
	}
}

// requestsByService returns by service when the attempts were sent that may have been for it.
func (x *index) requestsByService() map[string][]Time {
	requests := map[string][]Time{}
	for _, attempt := range x.Attempts {
		for service := range x.servicesOf(attempt) {
			requests[service] = append(requests[service], attempt.Sent)
		}
	}
	return requests
}

// servicesOf returns the services to which a configuration that may be in force routes an attempt.
func (x *index) servicesOf(attempt *Attempt) map[string]bool {
	services := map[string]bool{}
	for _, c := range x.inForce(attempt.Sent, attempt.Ended) {
		matched := c.Match(attempt.Host, attempt.Path)
		if matched == nil {
			continue
		}
		for _, service := range matched.services() {
			services[service] = true
		}
	}
	return services
}

// retriesByService returns by service when attempts reached it that had reached it before.
func (x *index) retriesByService() map[string][]Time {
	retries := map[string][]Time{}
	seen := map[string]bool{}
	for _, a := range x.Arrivals {
		if key := a.Service + " " + a.ID; seen[key] {
			retries[a.Service] = append(retries[a.Service], a.At)
		} else {
			seen[key] = true
		}
	}
	return retries
}

// checkWindows checks the budget in all windows of one service. Both lists are in order of time.
func (x *index) checkWindows(service string, sent, retries []Time, verdict *Verdict) {
	window := x.Bounds.RetryWindow
	from := 0
	for i, at := range retries { // A window with the most retries ends with a retry.
		for at-retries[from] >= window {
			from++
		}
		verdict.Checked++
		count := 0
		for _, back := range []Time{0, window / 2, window} {
			count = max(count, countBetween(sent, at-back-window, at-back))
		}
		if maxRetries := x.Bounds.RetryRatio*float64(count) + x.Bounds.RetrySlack; float64(i-from+1) > maxRetries {
			verdict.violation("%s got %d repeats up to %v, %.0f at most", service, i-from+1, at, maxRetries)
		}
	}
}

// countBetween returns how many times are after from and not after to.
func countBetween(sorted []Time, from, to Time) int {
	low, _ := slices.BinarySearchFunc(sorted, from, func(t, bound Time) int { return cmp.Compare(t, bound+1) })
	high, _ := slices.BinarySearchFunc(sorted, to, func(t, bound Time) int { return cmp.Compare(t, bound+1) })
	return max(0, high-low)
}
