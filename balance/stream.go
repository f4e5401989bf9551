package balance

import "time"

// Here is what is told of bodies and answers that take their time, and of clients. It is taken in, and decides nothing.

// BodyTaken takes in that part of a body that was still coming has been sent on, and cannot be sent again.
func (b *Balancer) BodyTaken(id RequestID) {
	if q := b.requests[id]; q != nil {
		q.spent = true
	}
}

// BodyEnded takes in that all of a body has come: now the time left begins, and an answer is owed.
func (b *Balancer) BodyEnded(now Time, id RequestID, within time.Duration) {
	q := b.requests[id]
	if q == nil || !q.Coming {
		return
	}
	q.Coming, q.deadline = false, now+within
	for i := range q.attempts {
		if a := &q.attempts[i]; !a.done {
			a.sent = now
			a.flight.apart, a.flight.sent, a.flight.passed = false, now, 0
		}
	}
}

// AnswerStarted takes in that a streamed answer has begun.
func (b *Balancer) AnswerStarted(now Time, id RequestID, attempt int) {
	if q := b.requests[id]; q != nil && attempt >= 0 && attempt < len(q.attempts) && !q.attempts[attempt].done {
		a := &q.attempts[attempt]
		a.sent, a.flight.apart = now, true // no answer is owed for the time it streams
	}
}

// ClientGone takes in that the client has left: nothing more is owed or sent.
func (b *Balancer) ClientGone(now Time, id RequestID) {
	if q := b.requests[id]; q != nil && !q.ended {
		b.end(q)
	}
}
