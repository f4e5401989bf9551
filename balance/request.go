package balance

import (
	"slices"
	"time"
)

// request is a request that is not over, or has attempts out.
type request struct {
	Request
	class           *Class
	deadline        Time
	overAllowance   bool          // beyond its tenant's allowance
	finished        bool          // has its final answer
	bodyConsumed    bool          // part of its body is gone: it cannot be sent again
	latency         time.Duration // its answer; 0: it has none
	pendingAttempts int           // attempts without a result
	attempts        []attempt
}

// attempt is one sending of a request.
type attempt struct {
	endpoint        *endpoint
	sentAt          Time
	load            float64 // what the endpoint held, this attempt included
	flight          *flight
	done            bool
	mayHaveExecuted bool // done, and may have run
}

// Request takes in a client's request. One whose class or id cannot be is passed over.
func (b *Balancer) Request(now Time, r Request) {
	if _, twice := b.requests[r.ID]; twice || r.Class < 0 || r.Class >= len(b.settings.Classes) {
		return
	}
	q := &request{Request: r, class: &b.settings.Classes[r.Class], deadline: now + r.TimeLeft,
		overAllowance: b.exceedsAllowance(r.Tenant, now)}
	b.requests[r.ID] = q
	if !b.shedHeavyClient(q, now) {
		b.sendOrFinish(q, now)
	}
}

// sendOrFinish sends the request's next attempt, or ends the request if none may or should be sent.
func (b *Balancer) sendOrFinish(q *request, now Time) {
	var late float64
	if len(q.attempts) < b.settings.MaxAttempts && !q.bodyConsumed && now < q.clientDeadline(now) {
		var to *endpoint
		if to, late = b.pickEndpoint(q, now); to != nil {
			b.sendAttempt(q, to, now)
			return
		}
		b.creditWarmingUp()
	}
	if b.mayRefuse(q) {
		b.actions.Refuse(q.ID, time.Duration(min(max(late, 0), b.shortestTarget)*float64(time.Second)))
	} else {
		b.actions.Fail(q.ID)
	}
	b.finish(q)
}

func (b *Balancer) sendAttempt(q *request, to *endpoint, now Time) {
	held := float64(to.pendingAnswers()+1) + unseenLoad
	q.pendingAttempts++
	q.attempts = append(q.attempts, attempt{endpoint: to, sentAt: now, load: held, flight: to.addFlight(q, now)})
	// The share is of the least that a cold endpoint can do. Most can do more, and get warm by what they are
	// given, so it is half of what one at the least would fall over at.
	share := max(b.settings.OverloadMultiple/2, 1) / b.capacityInUse
	for _, e := range b.inUse {
		e.turnCredit += share * e.Size * e.warmth * b.zoneWeight[e.zoneIndex]
	}
	to.turnCredit = 0
	var within time.Duration
	if to.condemnedSince > 0 { // a try: if it fails, time is left for another attempt
		within = time.Duration(likelyShare * float64(q.clientDeadline(now)-now))
	}
	b.actions.Send(q.ID, to.ID, within)
}

// maySendTo tells whether the request may be sent to e. Danger: an effect that happens twice. What may have
// run is repeated only as its class allows: never, anywhere, or where repeats are dropped, and in good time.
func (b *Balancer) maySendTo(q *request, e *endpoint, now Time) bool {
	c := q.class
	for i := range q.attempts {
		switch a := &q.attempts[i]; {
		case a.endpoint == e:
			return false
		case a.done && !a.mayHaveExecuted || c.Effect == Idempotent:
		case c.Effect == AtMostOnce || now-a.sentAt >= c.DedupeWindow-time.Second/2,
			c.Scope == ScopeZone && a.endpoint.Zone != e.Zone, c.Scope == ScopeCell && a.endpoint.Cell != e.Cell:
			return false
		}
	}
	return true
}

// mayRefuse tells whether a refusal, which invites a retry anywhere, is safe.
func (b *Balancer) mayRefuse(q *request) bool {
	repeats := q.class.Effect == Idempotent || q.class.Effect == Deduplicated && q.class.Scope == ScopeAll
	return repeats || !slices.ContainsFunc(q.attempts, func(a attempt) bool {
		return !a.done || a.mayHaveExecuted
	})
}

// Result takes in how an attempt ended.
func (b *Balancer) Result(now Time, r Result) {
	q := b.requests[r.ID]
	if q == nil || r.Attempt < 0 || r.Attempt >= len(q.attempts) || q.attempts[r.Attempt].done {
		return
	}
	a := &q.attempts[r.Attempt]
	a.done = true
	a.mayHaveExecuted = r.Outcome != Saturated && r.Outcome != ConnectFailed && r.Outcome != NotSent
	a.endpoint.removeFlight(a.flight, r.Outcome == Served)
	q.pendingAttempts--
	if r.Outcome == Served {
		q.latency = r.Latency
		b.observeClassLatency(q.Class, max(r.Latency.Seconds(), 1e-6))
	}
	b.observeResult(a, r, now)
	b.cancelLost(a.endpoint, now)
	switch {
	case r.Finished || q.finished:
		b.finish(q)
	case q.pendingAttempts == 0:
		b.sendOrFinish(q, now)
	}
}

// clientDeadline is when the client gives up, as far as that is known: while the body is coming its time has
// not begun.
func (q *request) clientDeadline(now Time) Time {
	if q.BodyIncomplete {
		return now + q.TimeLeft
	}
	return q.deadline
}

// finish marks a request as over, calls off what is still out for it, and forgets it once nothing is.
func (b *Balancer) finish(q *request) {
	for i := range q.attempts {
		if !q.attempts[i].done && !q.finished && b.settings.CancelAllowed {
			b.actions.Cancel(q.ID, i)
		}
	}
	if !q.finished && b.hitters != nil {
		b.observeClientWork(q)
	}
	if q.finished = true; q.pendingAttempts == 0 {
		delete(b.requests, q.ID)
	}
}
