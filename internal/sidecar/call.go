package sidecar

import (
	"context"
	"errors"
	"time"

	"gradeusher.example/gradeusher/balance"
)

// answerMargin is kept free before the client's deadline for the way of the final answer.
const answerMargin = 5 * time.Millisecond

// answerKind is a kind of final answer.
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
	retryAfter  time.Duration // refused: the wait before a retry; 0: not said
	stream      *answerStream // served: in place of body, the answer as it comes
}

// call is a client's request while the host has it. The loop alone touches what follows answered.
type call struct {
	message
	class    int
	tenant   int
	client   uint64    // its key, with Hitters
	name     string    // and its name
	reserved int       // bytes of the body
	deadline time.Time // the final answer is due; zero: the body is still coming
	answered chan answer

	number       balance.RequestID
	finished     bool        // has its final answer
	overdueTimer *time.Timer // finds it overdue; nil: the body is still coming
	attempts     []*callAttempt
	inFlight     int
}

// callAttempt is an attempt. The loop alone touches it.
type callAttempt struct {
	endpoint string
	ctx      context.Context
	cancel   context.CancelCauseFunc
	timer    *time.Timer  // of its end; nil: the body is still coming
	sentAt   balance.Time // or when the body had come
	answerAt balance.Time // its answer; 0: not
	reported bool         // the Balancer knows how it ended
}

// serve has the Balancer decide on a request and returns its final answer, or false if ctx, the client's connection,
// ends first.
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

// startTimer abandons a request that has no answer after its deadline. One that the Balancer left without an answer would hang
// until the client gives up.
func (h *host) startTimer(c *call) {
	c.overdueTimer = time.AfterFunc(time.Until(c.deadline)+answerMargin/2, func() { h.post(func() { h.abandon(c, true) }) })
}

// bodyComplete begins a request's time: its body has come.
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

// startTimer ends an attempt at a time, unless its timer is stopped before.
func (t *callAttempt) startTimer(end time.Time) {
	t.timer = time.AfterFunc(time.Until(end), func() { t.cancel(context.DeadlineExceeded) })
}

// answerStarted handles that an attempt's answer is to be forwarded as it comes, which makes it the request's final one.
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

// abandon ends a request that nobody waits for any more, or that is overdue.
func (h *host) abandon(ongoing *call, overdue bool) {
	if ongoing.finished {
		return
	}
	if overdue {
		h.log.Warn("request overdue", "class", ongoing.class)
		h.expire(ongoing)
		h.answer(ongoing, answer{kind: failed}) // unless the Balancer has answered
	} else {
		h.counts.gone.Add(1)
		ongoing.finish()
	}
	h.balancer.ClientDisconnected(h.now, ongoing.number)
	h.forget(ongoing)
}

// expire reports the attempts of an overdue request as timed out, without waiting for their results. An attempt that is ended at
// the deadline takes time to return; its timer and the request's race on a busy machine, and the answer must not depend on which
// of them wins.
func (h *host) expire(ongoing *call) {
	for index, t := range ongoing.attempts {
		t.cancel(context.DeadlineExceeded)
		outcome := balance.TimedOut
		if errors.Is(context.Cause(t.ctx), context.Canceled) { // called off before, or its result is just being posted
			outcome = balance.Cancelled
		}
		h.reportResult(ongoing, index, outcome)
	}
}

// answer gives a request its final answer. The first counts.
func (h *host) answer(c *call, a answer) {
	if c != nil && !c.finished {
		c.finish()
		c.answered <- a
	}
}

// finish marks a request as over.
func (c *call) finish() {
	c.finished = true
	if c.overdueTimer != nil {
		c.overdueTimer.Stop()
	}
}

// forget lets go of a request that has its answer and has nothing out.
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
