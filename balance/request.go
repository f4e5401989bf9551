package balance

import (
	"slices"
	"time"
)

const (
	// likelyShare is the share of the remaining time within which the expected latency must lie for an answer to
	// be likely to arrive in time.
	likelyShare = 0.5
	// dedupeMargin is how long before the end of a class's dedupe window duplicates are no longer sent, to leave
	// them time to arrive.
	dedupeMargin = time.Second / 2
	// minLatencySeconds is the minimum latency that an answer adds to the mean time of its class.
	minLatencySeconds = 1e-6
)

// request is a client's request that is not finished or still has attempts in flight.
type request struct {
	Request
	class           *Class
	deadline        Time          // when the client gives up; see clientDeadline
	overAllowance   bool          // it exceeds its tenant's allowance
	finished        bool          // it has got its final answer
	bodyConsumed    bool          // part of its body was forwarded unbuffered, so it cannot be retried
	latency         time.Duration // latency of its answer; 0 if it has none
	pendingAttempts int           // number of attempts without a result
	attempts        []attempt
}

// attempt is one send of a request to an endpoint.
type attempt struct {
	endpoint        *endpoint
	sentAt          Time
	load            float64 // load of the endpoint when it was sent, including this attempt
	flight          *flight
	done            bool
	mayHaveExecuted bool // it is done and may have run
}

// clientDeadline returns when the client gives up, as far as known. While the body of a request is still
// arriving, its time has not started to run.
func (q *request) clientDeadline(now Time) Time {
	if q.BodyIncomplete {
		return now + q.TimeLeft
	}
	return q.deadline
}

// Request handles a client's request. A request whose id is in use or whose class is unknown is ignored.
func (b *Balancer) Request(now Time, r Request) {
	_, inUse := b.requests[r.ID]
	if inUse || r.Class < 0 || r.Class >= len(b.settings.Classes) {
		return
	}
	q := &request{
		Request:       r,
		class:         &b.settings.Classes[r.Class],
		deadline:      now + r.TimeLeft,
		overAllowance: b.exceedsAllowance(r.Tenant, now),
	}
	b.requests[r.ID] = q
	if !b.shedHeavyClient(q, now) {
		b.sendOrFinish(q, now)
	}
}

// sendOrFinish sends the request's next attempt, or gives the final answer if no attempt may or should be
// sent.
func (b *Balancer) sendOrFinish(req *request, now Time) {
	var excessSeconds float64
	if b.mayRetry(req, now) {
		var chosen *endpoint
		chosen, excessSeconds = b.pickEndpoint(req, now)
		if chosen != nil {
			b.sendAttempt(req, chosen, now)
			return
		}
		b.creditWarmingUp()
	}
	if b.mayRefuse(req) {
		wait := min(max(excessSeconds, 0), b.shortestTarget)
		b.actions.Refuse(req.ID, time.Duration(wait*float64(time.Second)))
	} else {
		b.actions.Fail(req.ID)
	}
	b.finish(req)
}

// mayRetry reports whether the request has attempts and time left and its body is still available.
func (b *Balancer) mayRetry(q *request, now Time) bool {
	return len(q.attempts) < b.settings.MaxAttempts && !q.bodyConsumed && now < q.clientDeadline(now)
}

// sendAttempt sends the request to an endpoint, and credits the endpoints in use with their fraction of a
// turn.
func (b *Balancer) sendAttempt(q *request, to *endpoint, now Time) {
	load := float64(to.pendingAnswers()+1) + unseenLoad
	q.pendingAttempts++
	q.attempts = append(q.attempts, attempt{endpoint: to, sentAt: now, load: load, flight: to.addFlight(q, now)})
	b.creditBySend(to)
	var timeout time.Duration
	if to.condemnedSince > 0 { // a probe must leave time for another attempt in case it fails
		timeout = time.Duration(likelyShare * float64(q.clientDeadline(now)-now))
	}
	b.actions.Send(q.ID, to.ID, timeout)
}

// maySendTo reports whether the request may be sent to e. It must not be sent to an endpoint twice, and after
// an attempt that may have run it is sent again only as its class allows.
func (b *Balancer) maySendTo(q *request, e *endpoint, now Time) bool {
	for i := range q.attempts {
		a := &q.attempts[i]
		if a.endpoint == e {
			return false
		}
		harmless := a.done && !a.mayHaveExecuted || q.class.Effect == Idempotent
		if !harmless && !q.class.dropsDuplicate(a, e, now) {
			return false
		}
	}
	return true
}

// dropsDuplicate reports whether e drops the request as a duplicate of an earlier attempt.
func (c *Class) dropsDuplicate(earlier *attempt, e *endpoint, now Time) bool {
	switch {
	case c.Effect == AtMostOnce:
		return false
	case now-earlier.sentAt >= c.DedupeWindow-dedupeMargin:
		return false
	case c.Scope == ScopeZone:
		return earlier.endpoint.Zone == e.Zone
	case c.Scope == ScopeCell:
		return earlier.endpoint.Cell == e.Cell
	}
	return true
}

// mayRefuse reports whether the request can safely be refused. A refusal invites a retry through any sidecar.
func (b *Balancer) mayRefuse(q *request) bool {
	if q.class.Effect == Idempotent || q.class.Effect == Deduplicated && q.class.Scope == ScopeAll {
		return true
	}
	return !slices.ContainsFunc(q.attempts, func(a attempt) bool { return !a.done || a.mayHaveExecuted })
}

// Result handles the end of an attempt. An attempt that is unknown or has already ended is ignored.
func (b *Balancer) Result(now Time, r Result) {
	req, ended := b.pendingAttempt(r.ID, r.Attempt)
	if ended == nil {
		return
	}
	ended.done = true
	ended.mayHaveExecuted = r.Outcome.mayHaveExecuted()
	ended.endpoint.removeFlight(ended.flight, r.Outcome == Served)
	req.pendingAttempts--
	if r.Outcome == Served {
		req.latency = r.Latency
		b.observeClassLatency(req.Class, max(r.Latency.Seconds(), minLatencySeconds))
	}
	b.observeResult(ended, r, now)
	b.cancelLost(ended.endpoint, now)
	switch {
	case r.Finished || req.finished:
		b.finish(req)
	case req.pendingAttempts == 0:
		b.sendOrFinish(req, now)
	}
}

// pendingAttempt returns an attempt that has no result yet, and its request. It returns nil if there is none.
func (b *Balancer) pendingAttempt(id RequestID, index int) (*request, *attempt) {
	q := b.requests[id]
	if q == nil || index < 0 || index >= len(q.attempts) || q.attempts[index].done {
		return nil, nil
	}
	return q, &q.attempts[index]
}

// finish marks a request as finished and cancels its attempts in flight. It deletes the request once it has
// none.
func (b *Balancer) finish(q *request) {
	if !q.finished {
		b.cancelAttempts(q)
		if b.hitters != nil {
			b.observeClientWork(q)
		}
	}
	q.finished = true
	if q.pendingAttempts == 0 {
		delete(b.requests, q.ID)
	}
}

func (b *Balancer) cancelAttempts(q *request) {
	if !b.settings.CancelAllowed {
		return
	}
	for i := range q.attempts {
		if !q.attempts[i].done {
			b.actions.Cancel(q.ID, i)
		}
	}
}

// ClientDisconnected handles that the client has disconnected and needs no answer anymore.
func (b *Balancer) ClientDisconnected(_ Time, id RequestID) {
	if q := b.requests[id]; q != nil && !q.finished {
		b.finish(q)
	}
}
