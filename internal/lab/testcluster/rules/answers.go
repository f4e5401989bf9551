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

// checkMixed checks MIXED (RULES.md, "Requests and answers"): an answer belongs to the request that it follows, a successful one bears the
// seal of a server that answered this request with success and has that server's body, and no bytes come that are no answer, or that no
// request waits for.
//
// Nothing excuses a violation. Of a stream only the seal is compared, as ORDER checks its events. An answer that ends early is no violation
// unless it looks complete.
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

// checkSuccess checks an answer with success against what the server that sealed it has recorded.
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

// checkUnasked checks UNASKED (RULES.md, "Requests and answers"): what servers execute, a client sent, with this id, method, path and body; it
// names the tenant that holds the client's key, and does not have the key.
//
// Nothing excuses a violation. Arrivals that no server executed are not compared.
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
		default:
			x.checkTenantHeader(attempt, arrival, verdict)
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

// checkTwice checks TWICE (RULES.md, "Requests and answers"): an attempt is executed at most once.
//
// Excused are attempts whose request is idempotent by any configuration that was sent before their end.
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

// checkRefused checks REFUSED (RULES.md, "Requests and answers"): an attempt that was answered with a not-executed status was not executed,
// and is not executed later.
//
// Excused are attempts whose request is idempotent by any configuration that was sent before their end.
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
	deniedOutOfTouch  = 10  // by proxies out of contact, of requests that all configurations of the run allow
)

// checkDenied checks DENIED (RULES.md, "Requests and answers"): proxies in contact do not themselves answer proper requests with 3xx or 4xx.
//
// Excused are not-executed statuses, answers at a proxy out of contact, requests for which a configuration that may be in force has no route or
// no tenant, and probes, which ask for routes that may be missing. Of the others, deniedSlack and one in attemptsPerDenied are allowed.
// Out of contact, deniedOutOfTouch answers 401, 403 and 404 are allowed to requests that every configuration allows which was sent and not refused.
func (x *index) checkDenied(verdict *Verdict) {
	var denied, outOfTouch []*Attempt
	for _, attempt := range x.Attempts {
		if attempt.Probe {
			continue
		}
		verdict.Checked++
		switch {
		case !attempt.isDenied():
		case !x.inContact(attempt.Proxy, attempt.Ended):
			if attempt.isForbidden() && allAllow(x.inForce(0, attempt.Ended), attempt) {
				outOfTouch = append(outOfTouch, attempt)
			}
		case allAllow(x.inForce(attempt.Sent, attempt.Ended), attempt):
			denied = append(denied, attempt)
		}
	}
	reportDenied(denied, deniedSlack+verdict.Checked/attemptsPerDenied, verdict)
	reportDenied(outOfTouch, deniedOutOfTouch, verdict)
}

// reportDenied reports denied attempts if they are more than allowed.
func reportDenied(denied []*Attempt, allowed int, verdict *Verdict) {
	if len(denied) <= allowed {
		return
	}
	for _, attempt := range denied {
		verdict.violation("%s got a %d at %s", attempt.ID, attempt.Status, attempt.Proxy)
	}
}

// isForbidden reports whether the status says that the configuration does not allow the request.
func (a *Attempt) isForbidden() bool {
	switch a.Status {
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		return true
	}
	return false
}

// isDenied reports whether the proxy itself answered 3xx or 4xx, and did not promise that the request was not executed.
func (a *Attempt) isDenied() bool {
	ownAnswer := a.Outcome == Answered && a.Seal == ""
	return ownAnswer && a.Status >= 300 && a.Status < 500 && !IsNotExecutedStatus(a.Status)
}

// allAllow reports whether there are configurations, and all of them allow an attempt.
func allAllow(configs []*Config, attempt *Attempt) bool {
	return len(configs) > 0 && !slices.ContainsFunc(configs, func(c *Config) bool { return !c.allows(attempt) })
}
