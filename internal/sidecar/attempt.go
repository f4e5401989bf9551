package sidecar

import (
	"cmp"
	"context"
	"time"

	"gradeusher.example/gradeusher/balance"
)

// Send starts an attempt. It implements balance.Actions, as do the exported methods below.
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
		started.cancel(nil) // an attempt sent after the final answer could take effect without anyone knowing
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

// endsAt is a context that reports a deadline without enforcing it: the attempt's timer does that, which can be stopped.
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
	// A server that rejects the request itself gives the final answer, and its rejection is no evidence against the server:
	// otherwise one client's malformed requests, retried at other servers, would eject a whole fleet of healthy ones.
	if r.requestRejected {
		h.counts.requestsRejected.Add(1)
		h.answer(ongoing, answer{kind: failed})
		r.outcome = balance.Cancelled
	}
	ongoing.inFlight--
	h.reportResult(ongoing, index, r.outcome)
	h.forget(ongoing)
}

// reportResult reports to the Balancer how an attempt ended. Only the first outcome counts.
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

// Cancel cancels an attempt. Its result is posted by the attempt's own goroutine.
func (h *host) Cancel(id balance.RequestID, attempt int) {
	if c := h.calls[id]; c != nil && attempt >= 0 && attempt < len(c.attempts) {
		c.attempts[attempt].cancel(nil)
	}
}

// Refuse answers that the request was refused and that a retry is harmless.
func (h *host) Refuse(id balance.RequestID, after time.Duration) {
	h.finishCall(id, answer{kind: refused, retryAfter: after})
}

// Fail answers that the request failed. The answer does not say whether the request took effect.
func (h *host) Fail(id balance.RequestID) { h.finishCall(id, answer{kind: failed}) }

// Timer starts a timer.
func (h *host) Timer(after time.Duration, token uint64) {
	time.AfterFunc(after, func() { h.post(func() { h.balancer.Timer(h.now, token) }) })
}

// Log writes a log line of the Balancer.
func (h *host) Log(text string) { h.log.Info(text) }
