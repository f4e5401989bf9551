package balance

import "slices"

// lostThreshold is how many later answers of its endpoint overtake an attempt until its own counts as lost.
const lostThreshold = 4

// flight is an attempt that is in flight, as its endpoint sees it.
type flight struct {
	requestID   RequestID
	attempt     int
	sentAt      Time
	overtaken   int  // answers that the endpoint has given to attempts sent after it
	cancelled   bool // Cancel was called for it
	noAnswerDue bool // its body is still arriving, or its answer is
}

// isLost tells whether so many later answers have overtaken an attempt that its own is not slow but lost, or
// none is due for now. Without that, one lost answer would close an endpoint that serves all others until the
// attempt times out, and a body that arrives slowly, or an answer that is read slowly, would make the
// endpoint seem slow.
func (f *flight) isLost() bool { return f.noAnswerDue || f.overtaken >= lostThreshold }

// restart has an answer be due from now on.
func (f *flight) restart(now Time) {
	f.noAnswerDue = false
	f.sentAt = now
	f.overtaken = 0
}

// owedSeconds is the sum in seconds of how long attempts have been in flight. It is part of the latency
// estimate because the first answers to come are the quick ones: an endpoint that got slow owes answers
// before its answers show it, and a dead one would look idle.
func (e *endpoint) owedSeconds(now Time) float64 {
	var sum Time
	for _, f := range e.flights {
		if !f.isLost() {
			sum += now - f.sentAt
		}
	}
	return sum.Seconds()
}

// pendingAnswers is the number of attempts in flight whose answers may still come.
func (e *endpoint) pendingAnswers() (count int) {
	for _, f := range e.flights {
		if !f.isLost() {
			count++
		}
	}
	return count
}

// addFlight notes that the request's next attempt is sent.
func (e *endpoint) addFlight(q *request, now Time) *flight {
	e.inFlight++
	added := &flight{requestID: q.ID, attempt: len(q.attempts), sentAt: now, noAnswerDue: q.BodyIncomplete}
	e.flights = append(e.flights, added)
	return added
}

// removeFlight notes that an attempt has ended, and that its answer, if it got one, has overtaken those sent
// before it.
func (e *endpoint) removeFlight(ended *flight, served bool) {
	at := slices.Index(e.flights, ended)
	e.flights = slices.Delete(e.flights, at, at+1)
	e.inFlight--
	if !served {
		return
	}
	for _, older := range e.flights[:at] {
		if !older.noAnswerDue && older.sentAt < ended.sentAt {
			older.overtaken++
		}
	}
}

const (
	// cancelThreshold is the share of its latency target before which a lost attempt is not cancelled.
	cancelThreshold = 0.25
	// heavyMultiple is how many times its class's mean time a request may take: few take longer.
	heavyMultiple = 8.0
)

// cancelLost cancels the lost attempts at an endpoint whose requests may be sent to another one. A heavy
// request is overtaken too, and its work would be done twice; so it gets many times what its class takes.
func (b *Balancer) cancelLost(e *endpoint, now Time) {
	for _, f := range e.flights {
		q := b.requests[f.requestID]
		if !f.isLost() || f.noAnswerDue || f.cancelled || !b.isHedgeable(q) {
			continue
		}
		patience := max(cancelThreshold*q.class.LatencyTarget.Seconds(), heavyMultiple*b.meanSeconds[q.Class])
		if (now - f.sentAt).Seconds() >= patience {
			f.cancelled = true
			b.actions.Cancel(f.requestID, f.attempt)
		}
	}
}

// isHedgeable tells whether an attempt of a request may be given up for another one.
func (b *Balancer) isHedgeable(q *request) bool {
	return q != nil && !q.finished && q.class.Effect == Idempotent &&
		b.settings.CancelAllowed && len(q.attempts) < b.settings.MaxAttempts
}
