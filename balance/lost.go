package balance

// isLost tells whether so many later answers have passed an attempt that its own is not slow but isLost, or
// none is due for now. Danger: one isLost answer would close an endpoint that serves all others, until that
// attempt times out; a body that comes slowly, or an answer that is read slowly, would make it seem slow.
func (f *flight) isLost() bool { return f.noAnswerDue || f.overtaken >= lostThreshold }

// cancelLost calls off what is lost at an endpoint where the request may be sent elsewhere. Danger: a
// heavy request is passed too, and its work would be done twice; so it gets many times what its class takes.
func (b *Balancer) cancelLost(e *endpoint, now Time) {
	for _, f := range e.flights {
		q := b.requests[f.requestID]
		if !f.isLost() || f.noAnswerDue || f.cancelled || q == nil || q.finished || q.class.Effect != Idempotent ||
			!b.settings.CancelAllowed || len(q.attempts) >= b.settings.MaxAttempts {
			continue
		}
		if (now - f.sentAt).Seconds() >= max(cancelThreshold*q.class.LatencyTarget.Seconds(),
			heavyMultiple*b.meanSeconds[q.Class]) {
			f.cancelled = true
			b.actions.Cancel(f.requestID, f.attempt)
		}
	}
}
