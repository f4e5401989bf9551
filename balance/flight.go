package balance

import "slices"

// lostThreshold is the number of later answers of its endpoint that overtake an attempt before its own answer
// counts as lost.
const lostThreshold = 4

// flight is an attempt in flight, as tracked per endpoint.
type flight struct {
	requestID   RequestID
	attempt     int
	sentAt      Time
	overtaken   int  // number of answers to attempts that were sent to the endpoint after it
	cancelled   bool // Cancel was called for it
	noAnswerDue bool // its request body or its answer is still arriving
}

// isLost reports whether an attempt has been overtaken by so many later answers that its own answer is
// probably lost rather than slow, or whether no answer is due yet. Otherwise one lost answer would block an
// endpoint that serves all other requests until the attempt times out, and a body that arrives slowly or an
// answer that is read slowly would make the endpoint seem slow.
func (f *flight) isLost() bool { return f.noAnswerDue || f.overtaken >= lostThreshold }

// restart makes an answer due, counting from now.
func (f *flight) restart(now Time) {
	f.noAnswerDue = false
	f.sentAt = now
	f.overtaken = 0
}

// pendingSeconds returns for how many seconds in total the attempts without an answer have been in flight,
// not counting lost ones. It is part of the latency estimate because fast answers arrive first: an endpoint
// that has become slow has overdue answers before its answer times show it, and a dead one would look idle.
func (e *endpoint) pendingSeconds(now Time) float64 {
	var sum Time
	for _, f := range e.flights {
		if !f.isLost() {
			sum += now - f.sentAt
		}
	}
	return sum.Seconds()
}

// pendingAnswers returns the number of attempts in flight whose answers may still arrive.
func (e *endpoint) pendingAnswers() (count int) {
	for _, f := range e.flights {
		if !f.isLost() {
			count++
		}
	}
	return count
}

// addFlight records that the request's next attempt is sent to the endpoint.
func (e *endpoint) addFlight(q *request, now Time) *flight {
	e.inFlight++
	added := &flight{requestID: q.ID, attempt: len(q.attempts), sentAt: now, noAnswerDue: q.BodyIncomplete}
	e.flights = append(e.flights, added)
	return added
}

// removeFlight records that an attempt has ended. If it was answered, its answer has overtaken the attempts
// that were sent before it.
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
	// cancelThreshold is the minimum time before a lost attempt is cancelled, as a share of its latency target.
	cancelThreshold = 0.25
	// heavyMultiple is the multiple of its class's mean time that a heavy request may take; few take longer.
	heavyMultiple = 8.0
)

// cancelLost cancels the lost attempts at an endpoint whose requests may be sent to another endpoint. Heavy
// requests are overtaken as well and their work would be done twice, so an attempt is given many times the
// mean time of its class.
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

// isHedgeable reports whether an attempt of a request may be abandoned in favour of another one.
func (b *Balancer) isHedgeable(q *request) bool {
	return q != nil && !q.finished && q.class.Effect == Idempotent &&
		b.settings.CancelAllowed && len(q.attempts) < b.settings.MaxAttempts
}
