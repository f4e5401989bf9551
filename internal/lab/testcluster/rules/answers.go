package rules

import "net/http"

// success reports whether a status is 2xx.
func success(status int) bool { return status >= 200 && status < 300 }

// promisesNotExecuted reports whether a status says that the request has not run and never will.
func promisesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// mixed checks MIXED: a successful answer is the complete answer of one server to this very request, and no other bytes come.
func mixed(idx *index, verdict *Verdict) {
	for _, s := range idx.Strays {
		verdict.violation("%d bytes came from %s while no request waited", s.Bytes, s.Proxy)
	}
	for _, t := range idx.Attempts {
		verdict.Checked++
		switch {
		case t.Outcome == Malformed:
			verdict.violation("%s: bytes came that are no answer", t.ID)
		case t.Surplus > 0:
			verdict.violation("%s: %d bytes followed the answer", t.ID, t.Surplus)
		case t.Status != 0 && t.AnswerID != "" && t.AnswerID != t.ID:
			verdict.violation("%s: got the answer to %s", t.ID, t.AnswerID)
		case t.Outcome == Answered && success(t.Status):
			mixedSuccess(idx, t, verdict)
		}
	}
}

func mixedSuccess(x *index, t *Attempt, verdict *Verdict) {
	a := x.seals[t.Seal]
	switch {
	case t.Seal == "":
		verdict.violation("%s: %d without a server's seal", t.ID, t.Status)
	case a == nil:
		verdict.violation("%s: no server gave the seal %s", t.ID, t.Seal)
	case a.ID != t.ID:
		verdict.violation("%s: the seal is that of the answer to %s", t.ID, a.ID)
	case !t.Stream && !success(a.Status):
		verdict.violation("%s: %d where the server answered %d", t.ID, t.Status, a.Status)
	case !t.Stream && a.Answer != t.Answer:
		verdict.violation("%s: the body is not the server's", t.ID)
	}
}

// unasked checks UNASKED: servers execute only what a client sent.
func unasked(x *index, v *Verdict) {
	for _, a := range x.Arrivals {
		v.Checked++
		t := x.tries[a.ID]
		switch {
		case a.ExecutedAt == Never:
		case t == nil:
			v.violation("%s ran %q, which no client sent", a.Server, a.ID)
		case a.Method != t.Method || a.Path != t.Path:
			v.violation("%s: sent as %s %s, came as %s %s", a.ID, t.Method, t.Path, a.Method, a.Path)
		case a.Body != t.Body:
			v.violation("%s: came with another body", a.ID)
		}
	}
}

// idempotent reports whether the request of an attempt may be executed more than once, by any configuration that was sent before its end.
func (x *index) idempotent(t *Attempt) bool {
	for _, c := range x.Changes {
		if c.Config != nil && c.Sent <= t.Ended {
			if r := c.Config.Match(t.Host, t.Path); r != nil && r.Idempotent() {
				return true
			}
		}
	}
	return false
}

// countExecuted returns how many of the arrivals were executed.
func countExecuted(all []*Arrival) (n int) {
	for _, a := range all {
		if a.ExecutedAt != Never {
			n++
		}
	}
	return n
}

// twice checks TWICE: an attempt of a request that is not idempotent is executed at most once.
func twice(x *index, v *Verdict) {
	for _, t := range x.Attempts {
		if x.idempotent(t) {
			continue
		}
		v.Checked++
		if n := countExecuted(x.runs[t.ID]); n > 1 {
			v.violation("%s ran %d times", t.ID, n)
		}
	}
}

// refused checks REFUSED: an attempt that is answered with a not-executed status is not executed, unless it is idempotent.
func refused(x *index, v *Verdict) {
	for _, t := range x.Attempts {
		if t.Outcome != Answered || !promisesNotExecuted(t.Status) || x.idempotent(t) {
			continue
		}
		v.Checked++
		if n := countExecuted(x.runs[t.ID]); n > 0 {
			v.violation("%s was answered %d and ran", t.ID, t.Status)
		}
	}
}

// Rejections that DENIED allows, as single ones may have causes that are not recorded.
const (
	minDenied         = 5   // in any run
	attemptsPerDenied = 500 // attempts for each one besides
)

// denied checks DENIED: proxies in contact do not answer proper requests with 3xx or 4xx of their own, apart from not-executed statuses.
func denied(x *index, verdict *Verdict) {
	var found []*Attempt
	for _, t := range x.Attempts {
		if t.Probe {
			continue
		}
		verdict.Checked++
		own := t.Outcome == Answered && t.Seal == "" && t.Status >= 300 && t.Status < 500 && !promisesNotExecuted(t.Status)
		if own && x.inContact(t.Proxy, t.Ended) && x.alwaysRouted(t) {
			found = append(found, t)
		}
	}
	if len(found) > minDenied+verdict.Checked/attemptsPerDenied {
		for _, t := range found {
			verdict.violation("%s got a %d at %s", t.ID, t.Status, t.Proxy)
		}
	}
}

// alwaysRouted reports whether every configuration that may be in force has a route for an attempt.
func (x *index) alwaysRouted(t *Attempt) bool {
	some := x.inForce(t.Sent, t.Ended)
	for _, c := range some {
		if c.Match(t.Host, t.Path) == nil {
			return false
		}
	}
	return len(some) > 0
}

// order checks ORDER: the events of a stream are those of one run, or for idempotent requests of several runs each of which continues where
// the one before ended; none is missing or comes twice.
func order(idx *index, verdict *Verdict) {
	for _, t := range idx.Attempts {
		if !t.Stream {
			continue
		}
		verdict.Checked++
		last := t.From
		for i, s := range t.Events {
			a := idx.seals[s.Run]
			switch {
			case a == nil || a.ID != t.ID:
				verdict.violation("%s: piece %d is of no run of this request", t.ID, s.First)
			case s.First != last+1:
				verdict.violation("%s: piece %d follows piece %d", t.ID, s.First, last)
			case i > 0 && s.Run == t.Events[i-1].Run, i > 0 && !idx.idempotent(t):
				verdict.violation("%s: pieces of two runs", t.ID)
			case i > 0 && a.From != last:
				verdict.violation("%s: a run that goes on after %d was joined after %d", t.ID, a.From, last)
			}
			last = s.Last
		}
		if t.Outcome != Answered || !success(t.Status) {
			continue
		}
		if a := idx.seals[t.Seal]; a != nil && last != a.LastEvent {
			verdict.violation("%s: closed as complete after piece %d of %d", t.ID, last, a.LastEvent)
		}
	}
}
