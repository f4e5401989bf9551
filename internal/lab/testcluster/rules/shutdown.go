package rules

import (
	"slices"
	"time"
)

const (
	// lostMargin is how long after Bounds.Grace LOST still counts truncated answers.
	lostMargin = time.Second
	// deadlineMargin is how long before an attempt's deadline its answer counts as ended by it: a proxy ends answers 20 ms before the limit
	// of their client, so that its own answer still arrives, and a client tells it that limit in whole milliseconds.
	deadlineMargin = 25 * time.Millisecond
)

// checkLost checks LOST (RULES.md, "Draining and shutdown"): around a graceful shutdown of a proxy, requests that the proxy has read are
// answered completely. A request was read if it reached a server, or if its connection ended later than Bounds.LossSlack after its last byte.
//
// Excused are answers that a server broke off, answers that reached the client's deadline or the route's time-out, and attempts at a proxy with
// an unplanned fault since Bounds.Contact before them. Not excused, though by the rule they are, are answers on which a server was still at work
// late in Bounds.Grace. Losses around a SIGHUP or a change of the configuration are not checked.
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
			verdict.violation("%s was truncated at %s, %v after SIGTERM: %s", attempt.ID, attempt.Proxy, attempt.Ended-shutdown.At, x.Describe(attempt))
		}
	}
}

// isLost reports whether an attempt was truncated, though neither by a server nor by its deadline, after it reached a server, or long enough after
// its last byte for the proxy to have read it.
func (x *index) isLost(attempt *Attempt) bool {
	if attempt.Outcome != Truncated || x.brokenOffByServer(attempt) || x.reachedDeadline(attempt) {
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

// brokenOffByServer reports whether a server broke off the answer of an attempt.
func (x *index) brokenOffByServer(attempt *Attempt) bool {
	return slices.ContainsFunc(x.arrivalsByID[attempt.ID], func(arrival *Arrival) bool {
		return arrival.Aborted || x.endedUnderWay(arrival, attempt)
	})
}

// endedUnderWay reports whether an arrival's server ended before the attempt did, while the arrival's answer was not complete or may have been on
// its way. What a server has written last is lost with its connections.
func (x *index) endedUnderWay(arrival *Arrival, attempt *Attempt) bool {
	end, ended := x.serverEnds[arrival.Server]
	if !ended || end < arrival.At || end > attempt.Ended {
		return false
	}
	return arrival.Ended == Never || arrival.Ended > end-x.Bounds.LossSlack
}

// reachedDeadline reports whether an attempt lasted until its client's deadline, or until the time-out of its route in a configuration that may
// have been in force.
func (x *index) reachedDeadline(attempt *Attempt) bool {
	if attempt.Deadline > 0 && attempt.Ended > attempt.Deadline-deadlineMargin {
		return true
	}
	return slices.ContainsFunc(x.inForce(attempt.Sent, attempt.Ended), func(c *Config) bool {
		route := c.routeOf(attempt)
		return route != nil && route.Timeout > 0 && attempt.Ended > attempt.Sent+Time(route.Timeout)*time.Millisecond-deadlineMargin
	})
}
