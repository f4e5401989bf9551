package balance

import "time"

// BodyConsumed notes that part of a body that is still arriving has been forwarded and not kept: the request cannot be sent
// again.
func (b *Balancer) BodyConsumed(id RequestID) {
	if q := b.requests[id]; q != nil {
		q.bodyConsumed = true
	}
}

// BodyComplete handles that all of a body has arrived: from now on the client's time runs, and an answer is due.
func (b *Balancer) BodyComplete(now Time, id RequestID, timeLeft time.Duration) {
	q := b.requests[id]
	if q == nil || !q.BodyIncomplete {
		return
	}
	q.BodyIncomplete = false
	q.deadline = now + timeLeft
	for i := range q.attempts {
		if a := &q.attempts[i]; !a.done {
			a.sentAt = now
			a.flight.restart(now)
		}
	}
}

// AnswerStarted handles that a streamed answer has begun: no other answer is due while it streams.
func (b *Balancer) AnswerStarted(now Time, id RequestID, attemptIndex int) {
	if _, a := b.pendingAttempt(id, attemptIndex); a != nil {
		a.sentAt = now
		a.flight.noAnswerDue = true
	}
}
