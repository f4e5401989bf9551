package balance

import "time"

// Here is what is told of bodies and answers that take their time, and of clients. It is taken in, and decides nothing.

// BodyConsumed takes in that part of a body that was still coming has been sent on, and cannot be sent again.
func (b *Balancer) BodyConsumed(id RequestID) {
	if q := b.requests[id]; q != nil {
		q.bodyConsumed = true
	}
}

// BodyComplete takes in that all of a body has come: now the time left begins, and an answer is owed.
func (b *Balancer) BodyComplete(now Time, id RequestID, within time.Duration) {
	q := b.requests[id]
	if q == nil || !q.BodyIncomplete {
		return
	}
	q.BodyIncomplete, q.deadline = false, now+within
	for i := range q.attempts {
		if a := &q.attempts[i]; !a.done {
			a.sentAt = now
			a.flight.noAnswerDue, a.flight.sentAt, a.flight.overtaken = false, now, 0
		}
	}
}

// AnswerStarted takes in that a streamed answer has begun.
func (b *Balancer) AnswerStarted(now Time, id RequestID, attempt int) {
	if q := b.requests[id]; q != nil && attempt >= 0 && attempt < len(q.attempts) && !q.attempts[attempt].done {
		a := &q.attempts[attempt]
		a.sentAt, a.flight.noAnswerDue = now, true // no answer is owed for the time it streams
	}
}

// ClientDisconnected takes in that the client has left: nothing more is owed or sent.
func (b *Balancer) ClientDisconnected(now Time, id RequestID) {
	if q := b.requests[id]; q != nil && !q.finished {
		b.finish(q)
	}
}
