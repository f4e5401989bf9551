package sidecar

import (
	"context"
	"errors"
	"time"

	"gradeusher.example/gradeusher/balance"
)

// answerMargin is subtracted from the client's timeout to leave time for delivering the final answer.
const answerMargin = 5 * time.Millisecond

// answerKind is the kind of a final answer.
type answerKind int

const (
	served answerKind = iota
	refused
	failed
)

// answer is a request's final answer.
type answer struct {
	kind        answerKind
	body        []byte        // served
	contentType string        // served
	retryAfter  time.Duration // refused: how long the client should wait before a retry; 0: not stated
	stream      *answerStream // served: the answer as it arrives, in place of body
}

// call is a client's request, from its arrival until the host is done with it. Only the loop touches the fields below answered.
type call struct {
	message
	class    int
	tenant   int
	client   uint64    // key of the client, with Hitters
	name     string    // name of the client, with Hitters
	reserved int       // bytes of the body that are reserved in the budget
	deadline time.Time // when the final answer is due; zero: the body is still arriving
	answered chan answer

	number       balance.RequestID
	finished     bool        // it has its final answer, or its client has disconnected
	overdueTimer *time.Timer // fires if there is no final answer after the deadline; nil: the body is still arriving
	attempts     []*callAttempt
	inFlight     int
}

// callAttempt is an attempt. Only the loop touches it.
type callAttempt struct {
	endpoint string
	ctx      context.Context
	cancel   context.CancelCauseFunc
	timer    *time.Timer  // ends the attempt; nil: the body is still arriving
	sentAt   balance.Time // when it was sent, or when the body was complete if that was later
	answerAt balance.Time // when its answer began to be streamed; 0: not yet
	reported bool         // the Balancer knows its outcome
}

// serve has the Balancer decide on a request and returns the final answer. It returns false if ctx,
// which lasts as long as the client's connection, ends first.
func (h *host) serve(ctx context.Context, c *call) (answer, bool) {
	c.answered = make(chan answer, 1)
	h.post(func() { h.beginCall(c) })
	select {
	case a := <-c.answered:
		return a, true
	case <-ctx.Done():
		h.post(func() { h.abandon(c, false) })
		return answer{}, false
	}
}

func (h *host) beginCall(started *call) {
	h.counts.requests.Add(1)
	h.lastID++
	started.number = h.lastID
	h.calls[started.number] = started
	r := balance.Request{ID: started.number, Class: started.class, Tenant: started.tenant, TimeLeft: started.timeout, BodyIncomplete: started.rest != nil, Client: started.client}
	if j := h.balancer.HeavyHitters(); j != nil {
		j.SetName(started.client, started.name)
	}
	if !r.BodyIncomplete {
		h.startTimer(started)
		r.TimeLeft = started.deadline.Sub(h.origin) - h.now
	}
	h.balancer.Request(h.now, r)
}

// startTimer starts the timer that abandons a request if it has no answer after its deadline. Without
// it, a request that the Balancer left without an answer would hang until the client gives up.
func (h *host) startTimer(c *call) {
	c.overdueTimer = time.AfterFunc(time.Until(c.deadline)+answerMargin/2, func() { h.post(func() { h.abandon(c, true) }) })
}

// bodyComplete starts the request's deadline once its body has arrived completely.
func (h *host) bodyComplete(ongoing *call) {
	if ongoing.finished {
		return
	}
	now := h.origin.Add(h.now)
	ongoing.deadline = h.shutdown.bound(now.Add(ongoing.timeout))
	h.startTimer(ongoing)
	for _, t := range ongoing.attempts {
		if t.timer == nil {
			t.sentAt = h.now
			t.startTimer(ongoing.deadline)
		}
	}
	h.balancer.BodyComplete(h.now, ongoing.number, ongoing.deadline.Sub(now))
}

// startTimer ends an attempt at the given time, unless its timer is stopped before.
func (t *callAttempt) startTimer(end time.Time) {
	t.timer = time.AfterFunc(time.Until(end), func() { t.cancel(context.DeadlineExceeded) })
}

// answerStarted makes an attempt's answer, which is streamed from now on, the request's final one.
func (h *host) answerStarted(ctx context.Context, ongoing *call, index int, f *answerStream) {
	if ongoing.finished || ctx.Err() != nil {
		f.abandon()
		return
	}
	t := ongoing.attempts[index]
	if t.timer != nil {
		t.timer.Stop()
	}
	t.answerAt = h.now
	h.answer(ongoing, answer{kind: served, stream: f})
	h.balancer.AnswerStarted(h.now, ongoing.number, index)
}

// abandon ends a request whose client has disconnected, or that is overdue.
func (h *host) abandon(ongoing *call, overdue bool) {
	if ongoing.finished {
		return
	}
	if overdue {
		h.log.Warn("request overdue", "class", ongoing.class)
		h.expire(ongoing)
		h.answer(ongoing, answer{kind: failed}) // no effect if there is an answer already
	} else {
		h.counts.gone.Add(1)
		ongoing.finish()
	}
	h.balancer.ClientDisconnected(h.now, ongoing.number)
	h.forget(ongoing)
}

// expire reports the attempts of an overdue request as timed out, without waiting for their results.
// An attempt that is ended at the deadline takes time to return. On a busy machine its timer and the
// request's timer race, and the answer must not depend on which of them fires first.
func (h *host) expire(ongoing *call) {
	for index, t := range ongoing.attempts {
		t.cancel(context.DeadlineExceeded)
		outcome := balance.TimedOut
		if errors.Is(context.Cause(t.ctx), context.Canceled) { // cancelled before, or its result is being posted
			outcome = balance.Cancelled
		}
		h.reportResult(ongoing, index, outcome)
	}
}

// answer gives a request its final answer. Only the first one counts.
func (h *host) answer(c *call, a answer) {
	if c != nil && !c.finished {
		c.finish()
		c.answered <- a
	}
}

// finish marks a request as finished.
func (c *call) finish() {
	c.finished = true
	if c.overdueTimer != nil {
		c.overdueTimer.Stop()
	}
}

// forget removes a request that is finished and has no attempt in flight.
func (h *host) forget(c *call) {
	if c.finished && c.inFlight == 0 {
		delete(h.calls, c.number)
	}
}

func (h *host) finishCall(id balance.RequestID, a answer) {
	if c := h.calls[id]; c != nil {
		h.answer(c, a)
		h.forget(c)
	}
}
