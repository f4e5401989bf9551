package balance

import "slices"

// Here is counted what endpoints owe and what answers took. It decides nothing.

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

// timed takes in how many seconds an answer of a class took. Danger: what a jam taught of a class that is then
// refused would have it refused for good; without answers of its own it is taken to be as all classes are.
func (b *Balancer) timed(class int, took float64) {
	b.works[class].took += took / (1 - workStep)
	b.works[class].held += 1 / (1 - workStep)
	var all group
	for i := range b.works {
		b.works[i].fade(1 - workStep)
		all.took, all.held = all.took+b.works[i].took, all.held+b.works[i].held
	}
	for i, w := range b.works {
		b.work[i] = (w.took + all.usual()) / (w.held + 1)
	}
}
