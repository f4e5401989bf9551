package sidecar

import (
	"cmp"
	"context"
	"time"

	"gradeusher.example/gradeusher/balance"
)

// Send implements balance.Actions, as do the methods after it. It starts an attempt.
func (h *host) Send(id balance.RequestID, endpoint string, timeout time.Duration) {
	ongoing := h.calls[id]
	if ongoing == nil {
		return
	}
	index, started := len(ongoing.attempts), &callAttempt{endpoint: endpoint, sentAt: h.now}
	started.ctx, started.cancel = context.WithCancelCause(h.ctx)
	ctx := started.ctx
	if !ongoing.deadline.IsZero() {
		end := ongoing.deadline
		if own := h.origin.Add(h.now + timeout); timeout != 0 && own.Before(end) {
			end = own
		}
		started.startTimer(end)
		ctx = endsAt{ctx, end}
	}
	if ongoing.finished {
		started.cancel(nil) // an attempt after the final answer would be an effect that nobody knows of
	}
	ongoing.attempts = append(ongoing.attempts, started)
	ongoing.inFlight++
	go func() {
		r := h.upstream.attempt(ctx, endpoint, &ongoing.message, func(f *answerStream) {
			h.post(func() { h.answerStarted(ctx, ongoing, index, f) })
		})
		started.cancel(nil)
		h.post(func() { h.result(ongoing, index, r) })
	}()
}

// endsAt is a context that says when it ends, while a timer that can be stopped ends it.
type endsAt struct {
	context.Context
	end time.Time
}

// Deadline implements context.Context.
func (c endsAt) Deadline() (time.Time, bool) { return c.end, true }

// result handles the end of an attempt.
func (h *host) result(ongoing *call, index int, r reply) {
	if t := ongoing.attempts[index]; t.timer != nil {
		t.timer.Stop()
	}
	if r.outcome == balance.Served {
		h.answer(ongoing, answer{kind: served, body: r.body, contentType: r.contentType})
	}
	// What a server rejects because of the request is its final answer, and says nothing of the server: one client's nonsense,
	// retried at other servers, would eject a whole fleet of sound ones.
	if r.requestRejected {
		h.counts.requestsRejected.Add(1)
		h.answer(ongoing, answer{kind: failed})
		r.outcome = balance.Cancelled
	}
	ongoing.inFlight--
	h.reportResult(ongoing, index, r.outcome)
	h.forget(ongoing)
}

// reportResult reports how an attempt ended to the Balancer. The first outcome counts.
func (h *host) reportResult(ongoing *call, index int, outcome balance.Outcome) {
	t := ongoing.attempts[index]
	if t.reported {
		return
	}
	t.reported = true
	h.counts.attempts[outcome].Add(1)
	h.balancer.Result(h.now, balance.Result{ID: ongoing.number, Attempt: index, Endpoint: t.endpoint, Outcome: outcome,
		Latency: cmp.Or(t.answerAt, h.now) - t.sentAt, Finished: ongoing.finished})
}

// Cancel ends an attempt. Its result comes from its own goroutine.
func (h *host) Cancel(id balance.RequestID, attempt int) {
	if c := h.calls[id]; c != nil && attempt >= 0 && attempt < len(c.attempts) {
		c.attempts[attempt].cancel(nil)
	}
}

// Refuse answers that a retry does no harm.
func (h *host) Refuse(id balance.RequestID, after time.Duration) {
	h.finishCall(id, answer{kind: refused, retryAfter: after})
}

// Fail answers without a promise.
func (h *host) Fail(id balance.RequestID) { h.finishCall(id, answer{kind: failed}) }

// Timer starts a timer.
func (h *host) Timer(after time.Duration, token uint64) {
	time.AfterFunc(after, func() { h.post(func() { h.balancer.Timer(h.now, token) }) })
}

// Log writes a line of the Balancer.
func (h *host) Log(text string) { h.log.Info(text) }
