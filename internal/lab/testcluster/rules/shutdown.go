package rules

import (
	"slices"
	"time"
)

// lostMargin is how long after Bounds.Grace LOST still counts truncated answers.
const lostMargin = time.Second

// checkLost checks LOST (RULES.md, "Draining and shutdown"): around a graceful shutdown of a proxy, requests that the proxy has read are
// answered completely. A request was read if it reached a server, or if its connection ended later than Bounds.LossSlack after its last byte.
//
// Excused are answers that a server broke off, and attempts at a proxy with an unplanned fault since Bounds.Contact before them. Losses
// around a SIGHUP or a change of the configuration are not checked.
func (x *index) checkLost(verdict *Verdict) {
	for _, fault := range x.Faults {
		if fault.Kind == Terminate && fault.Proxy != "" {
			x.checkShutdown(fault, verdict)
		}
	}
}

// checkShutdown checks the attempts that ended during one graceful shutdown of a proxy.
func (x *index) checkShutdown(shutdown Fault, verdict *Verdict) {
	until := shutdown.At + x.Bounds.Grace + lostMargin
	for _, attempt := range x.Attempts {
		if attempt.Proxy != shutdown.Proxy || attempt.Ended < shutdown.At || attempt.Ended > until || !x.plannedOnly(attempt) {
			continue
		}
		verdict.Checked++
		if x.isLost(attempt) {
			verdict.violation("%s was truncated at %s, %v after SIGTERM", attempt.ID, attempt.Proxy, attempt.Ended-shutdown.At)
		}
	}
}

// isLost reports whether an attempt was truncated, though not by a server, after it reached a server, or long enough after its last byte for the
// proxy to have read it.
func (x *index) isLost(attempt *Attempt) bool {
	if attempt.Outcome != Truncated || x.abortedByServer(attempt) {
		return false
	}
	return len(x.arrivalsByID[attempt.ID]) > 0 || attempt.Ended > attempt.SentComplete+x.Bounds.LossSlack
}

// plannedOnly reports whether the proxy of an attempt had no unplanned fault from Bounds.Contact before the attempt until its end.
func (x *index) plannedOnly(attempt *Attempt) bool {
	for _, other := range x.Faults {
		if other.Proxy == attempt.Proxy && other.isUnplanned() && other.At <= attempt.Ended && other.endedAt() > attempt.Sent-x.Bounds.Contact {
			return false
		}
	}
	return true
}

// abortedByServer reports whether a server aborted an attempt.
func (x *index) abortedByServer(attempt *Attempt) bool {
	return slices.ContainsFunc(x.arrivalsByID[attempt.ID], func(arrival *Arrival) bool { return arrival.Aborted })
}
