package rules

import (
	"net/http"
	"slices"
)

// success reports whether a status is 2xx.
func success(status int) bool { return status >= 200 && status < 300 }

// IsNotExecutedStatus reports whether a status promises that the request was not executed and never will be (RULES.md, REFUSED).
func IsNotExecutedStatus(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// checkMixed checks MIXED: a successful answer is the complete answer of one server to this very request, and no other bytes come.
func (x *index) checkMixed(verdict *Verdict) {
	for _, stray := range x.Strays {
		verdict.violation("%d bytes came from %s while no request waited", stray.Bytes, stray.Proxy)
	}
	for _, attempt := range x.Attempts {
		verdict.Checked++
		switch {
		case attempt.Outcome == Malformed:
			verdict.violation("%s: bytes came that are no answer", attempt.ID)
		case attempt.Surplus > 0:
			verdict.violation("%s: %d bytes followed the answer", attempt.ID, attempt.Surplus)
		case attempt.Status != 0 && attempt.AnswerID != "" && attempt.AnswerID != attempt.ID:
			verdict.violation("%s: got the answer to %s", attempt.ID, attempt.AnswerID)
		case attempt.succeeded():
			x.checkSuccess(attempt, verdict)
		}
	}
}

func (x *index) checkSuccess(attempt *Attempt, verdict *Verdict) {
	arrival := x.arrivalBySeal[attempt.Seal]
	switch {
	case attempt.Seal == "":
		verdict.violation("%s: %d without a server's seal", attempt.ID, attempt.Status)
	case arrival == nil:
		verdict.violation("%s: no server gave the seal %s", attempt.ID, attempt.Seal)
	case arrival.ID != attempt.ID:
		verdict.violation("%s: the seal is that of the answer to %s", attempt.ID, arrival.ID)
	case !attempt.Stream && !success(arrival.Status):
		verdict.violation("%s: %d where the server answered %d", attempt.ID, attempt.Status, arrival.Status)
	case !attempt.Stream && arrival.Answer != attempt.Answer:
		verdict.violation("%s: the body is not the server's", attempt.ID)
	}
}

// checkUnasked checks UNASKED: servers execute only what a client sent.
func (x *index) checkUnasked(verdict *Verdict) {
	for _, arrival := range x.Arrivals {
		verdict.Checked++
		attempt := x.attemptByID[arrival.ID]
		switch {
		case !arrival.executed():
		case attempt == nil:
			verdict.violation("%s ran %q, which no client sent", arrival.Server, arrival.ID)
		case arrival.Method != attempt.Method || arrival.Path != attempt.Path:
			verdict.violation("%s: sent as %s %s, came as %s %s", arrival.ID, attempt.Method, attempt.Path, arrival.Method, arrival.Path)
		case arrival.Body != attempt.Body:
			verdict.violation("%s: came with another body", arrival.ID)
		}
	}
}

// countExecuted returns how many of the arrivals were executed.
func countExecuted(arrivals []*Arrival) (n int) {
	for _, arrival := range arrivals {
		if arrival.executed() {
			n++
		}
	}
	return n
}

// checkTwice checks TWICE: an attempt of a request that is not idempotent is executed at most once.
func (x *index) checkTwice(verdict *Verdict) {
	for _, attempt := range x.Attempts {
		if x.idempotent(attempt) {
			continue
		}
		verdict.Checked++
		if n := countExecuted(x.arrivalsByID[attempt.ID]); n > 1 {
			verdict.violation("%s ran %d times", attempt.ID, n)
		}
	}
}

// checkRefused checks REFUSED: an attempt that is answered with a not-executed status is not executed, unless it is idempotent.
func (x *index) checkRefused(verdict *Verdict) {
	for _, attempt := range x.Attempts {
		if attempt.Outcome != Answered || !IsNotExecutedStatus(attempt.Status) || x.idempotent(attempt) {
			continue
		}
		verdict.Checked++
		if n := countExecuted(x.arrivalsByID[attempt.ID]); n > 0 {
			verdict.violation("%s was answered %d and ran", attempt.ID, attempt.Status)
		}
	}
}

// Rejections that DENIED allows.
const (
	deniedSlack       = 5   // in any run
	attemptsPerDenied = 500 // attempts for each further one
)

// checkDenied checks DENIED: proxies in contact do not answer proper requests with 3xx or 4xx of their own, apart from not-executed statuses.
func (x *index) checkDenied(verdict *Verdict) {
	var denied []*Attempt
	for _, attempt := range x.Attempts {
		if attempt.Probe {
			continue
		}
		verdict.Checked++
		if attempt.isDenied() && x.inContact(attempt.Proxy, attempt.Ended) && x.alwaysRouted(attempt) {
			denied = append(denied, attempt)
		}
	}
	if len(denied) > deniedSlack+verdict.Checked/attemptsPerDenied {
		for _, attempt := range denied {
			verdict.violation("%s got a %d at %s", attempt.ID, attempt.Status, attempt.Proxy)
		}
	}
}

// isDenied reports whether the proxy itself answered 3xx or 4xx, and did not promise that the request was not executed.
func (a *Attempt) isDenied() bool {
	ownAnswer := a.Outcome == Answered && a.Seal == ""
	return ownAnswer && a.Status >= 300 && a.Status < 500 && !IsNotExecutedStatus(a.Status)
}

// alwaysRouted reports whether every configuration that may be in force has a route for an attempt.
func (x *index) alwaysRouted(attempt *Attempt) bool {
	configs := x.inForce(attempt.Sent, attempt.Ended)
	return len(configs) > 0 && !slices.ContainsFunc(configs, func(c *Config) bool { return c.routeOf(attempt) == nil })
}
