package rules

import (
	"cmp"
	"slices"
)

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
		matched := c.routeOf(attempt)
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
