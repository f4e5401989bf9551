package rules

import (
	"cmp"
	"slices"
)

// checkBudget checks BUDGET (RULES.md, "Retries"): within each Bounds.RetryWindow, the arrivals at a service past the first of each attempt
// are at most Bounds.RetryRatio for each request for the service, and Bounds.RetrySlack besides. Rejected arrivals count as well.
//
// Nothing excuses a violation. A request counts for each service to which a configuration that may be in force routes it.
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
		if r := c.routeOf(attempt); r != nil {
			for _, service := range r.services() {
				services[service] = true
			}
		}
	}
	return services
}

// retriesByService returns by service when attempts reached it that had reached it before.
func (x *index) retriesByService() map[string][]Time {
	type reach struct{ service, id string }
	retries := map[string][]Time{}
	reached := map[reach]bool{}
	for _, arrival := range x.Arrivals {
		first := reach{arrival.Service, arrival.ID}
		if reached[first] {
			retries[arrival.Service] = append(retries[arrival.Service], arrival.At)
		}
		reached[first] = true
	}
	return retries
}

// checkWindows checks the budget in all windows of one service. Both lists are in order of time.
func (x *index) checkWindows(service string, sent, retries []Time, verdict *Verdict) {
	first := 0                   // retry of the window
	for i, at := range retries { // A window with the most retries ends with a retry.
		for at-retries[first] >= x.Bounds.RetryWindow {
			first++
		}
		verdict.Checked++
		count, maxRetries := i-first+1, x.maxRetries(sent, at)
		if float64(count) > maxRetries {
			verdict.violation("%s got %d repeats up to %v, %.0f at most", service, count, at, maxRetries)
		}
	}
}

// maxRetries returns how many retries may reach a service in the window that ends at a time. sent is when the requests for the service were
// sent, in order. They count in that window, the one half a window earlier or the one before, whichever has the most.
func (x *index) maxRetries(sent []Time, at Time) float64 {
	window := x.Bounds.RetryWindow
	count := 0
	for _, earlier := range []Time{0, window / 2, window} {
		count = max(count, countBetween(sent, at-earlier-window, at-earlier))
	}
	return x.Bounds.RetryRatio*float64(count) + x.Bounds.RetrySlack
}

// countBetween returns how many times are after from and not after to.
func countBetween(sorted []Time, from, to Time) int {
	low, _ := slices.BinarySearchFunc(sorted, from, func(t, bound Time) int { return cmp.Compare(t, bound+1) })
	high, _ := slices.BinarySearchFunc(sorted, to, func(t, bound Time) int { return cmp.Compare(t, bound+1) })
	return max(0, high-low)
}
