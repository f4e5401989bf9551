package balance

import "slices"

// Here is counted what endpoints owe. It decides nothing.

// owed is the sum in seconds of how long the requests in flight have been out. Danger: the first answers to
// come are the quick ones; a slowed endpoint owes answers before its answers tell; a dead one looks idle.
func (e *endpoint) owed(now Time) float64 {
	var sum Time
	for _, f := range e.flights {
		if !f.lost() {
			sum += now - f.sent
		}
	}
	return sum.Seconds()
}

// awaited is the number of requests in flight whose answers may still come.
func (e *endpoint) awaited() (n int) {
	for _, f := range e.flights {
		if !f.lost() {
			n++
		}
	}
	return n
}

// depart takes in that the request's next attempt is sent.
func (e *endpoint) depart(q *request, now Time) *flight {
	e.inFlight++
	e.flights = append(e.flights, &flight{id: q.ID, number: len(q.attempts), sent: now, apart: q.Coming})
	return e.flights[len(e.flights)-1]
}

// arrive takes in that an attempt has ended, and what that tells of those sent before it.
func (e *endpoint) arrive(f *flight, served bool) {
	at := slices.Index(e.flights, f)
	e.flights = slices.Delete(e.flights, at, at+1)
	e.inFlight--
	for _, old := range e.flights[:at] {
		if served && !old.apart && old.sent < f.sent {
			old.passed++
		}
	}
}
