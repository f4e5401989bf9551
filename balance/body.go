package balance

import "time"

// BodyConsumed records that part of a request body has been forwarded without being buffered, so the request cannot be
// retried.
func (b *Balancer) BodyConsumed(id RequestID) {
	if q := b.requests[id]; q != nil {
		q.bodyConsumed = true
	}
}

// BodyComplete handles the arrival of the last byte of a request body. The client's deadline and the wait for an answer
// start now.
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

// AnswerStarted handles the first byte of a streamed answer. The attempt does not count as overdue while its answer streams.
func (b *Balancer) AnswerStarted(now Time, id RequestID, attemptIndex int) {
	if _, a := b.pendingAttempt(id, attemptIndex); a != nil {
		a.sentAt = now
		a.flight.noAnswerDue = true
	}
}
