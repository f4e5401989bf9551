package balance

import "slices"

// Here is counted what endpoints owe. It decides nothing.

// owedSeconds is the sum in seconds of how long the requests in flight have been out. Danger: the first answers to
// come are the quick ones; a slowed endpoint owes answers before its answers tell; a dead one looks idle.
func (e *endpoint) owedSeconds(now Time) float64 {
	var sum Time
	for _, f := range e.flights {
		if !f.isLost() {
			sum += now - f.sentAt
		}
	}
	return sum.Seconds()
}

// pendingAnswers is the number of requests in flight whose answers may still come.
func (e *endpoint) pendingAnswers() (n int) {
	for _, f := range e.flights {
		if !f.isLost() {
			n++
		}
	}
	return n
}

// addFlight takes in that the request's next attempt is sent.
func (e *endpoint) addFlight(q *request, now Time) *flight {
	e.inFlight++
	e.flights = append(e.flights, &flight{requestID: q.ID, attempt: len(q.attempts), sentAt: now, noAnswerDue: q.BodyIncomplete})
	return e.flights[len(e.flights)-1]
}

// removeFlight takes in that an attempt has ended, and what that tells of those sent before it.
func (e *endpoint) removeFlight(f *flight, served bool) {
	at := slices.Index(e.flights, f)
	e.flights = slices.Delete(e.flights, at, at+1)
	e.inFlight--
	for _, old := range e.flights[:at] {
		if served && !old.noAnswerDue && old.sentAt < f.sentAt {
			old.overtaken++
		}
	}
}
