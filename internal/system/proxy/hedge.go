package proxy

import (
	"context"
	"errors"
	"time"

	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// longAgo, as a deadline, ends a read at once.
var longAgo = time.Unix(1, 0)

// hedge is an attempt at another server while the server of the current attempt is silent. The current attempt stays until the other
// server has accepted the request: if that one refuses it, cannot be reached or fails, the silent server may still go on. If the silent
// server goes on first, the hedge is canceled. Only requests that may run more than once are hedged (mayRetry).
//
// A goroutine sends the request and reads the head of the response. It owns the attempt until ended is closed; everything else is done
// by the goroutine of the clientRequest.
type hedge struct {
	attempt *upstreamAttempt
	cancel  context.CancelFunc // ends the attempt; the end of the client's request does the same
	done    chan struct{}      // closed when the errors below are set
	ended   chan struct{}      // closed when the goroutine has ended
	sendErr error              // of upstreamAttempt.send
	headErr error              // of upstreamAttempt.readHead
}

// handleServerTimeout is called when the server of an attempt has been silent for too long, and when a hedge has its result. It reports
// whether another server has accepted the request.
func (c *clientRequest) handleServerTimeout(ctx context.Context, silent *upstreamAttempt) (accepted bool) {
	if c.hedge != nil && c.completeHedge(ctx) {
		return true
	}
	c.startHedge(ctx, silent)
	return false
}

// startHedge offers the request to another server, if there is one.
func (c *clientRequest) startHedge(ctx context.Context, silent *upstreamAttempt) {
	silent.wake = nil
	choice, ok := c.chooseHedge()
	if !ok {
		return
	}
	nonIdempotentOnce.Check(c.route.Idempotent())
	attemptCtx, cancel := context.WithCancel(ctx)
	started := &hedge{attempt: c.newAttempt(attemptCtx, choice), cancel: cancel, done: make(chan struct{}), ended: make(chan struct{})}
	started.attempt.progressTimeout = c.responseTimeout()
	started.attempt.abandon = func() bool { return true }
	head, body, recycle := c.encodeRequest(choice)
	method, silentConn := c.request.Method, silent.conn
	go func() {
		defer close(started.ended)
		started.sendErr = started.attempt.send(head, body)
		recycle()
		if !errors.Is(started.sendErr, errNotSent) {
			started.headErr = started.attempt.readHead(method)
		}
		close(started.done)
		_ = silentConn.SetReadDeadline(longAgo) // wakes up the read of the silent attempt, if there is one
	}()
	c.hedge, silent.wake = started, started.done
}

// chooseHedge chooses a server for a hedge. ok is false if there is none.
func (c *clientRequest) chooseHedge() (choice pick.Result, ok bool) {
	timeLeft := time.Until(c.deadline)
	if timeLeft <= 0 || c.unreachedCount >= maxUnreachedServers || !c.mayRetry(true) || c.reverifyKey() != nil {
		return pick.Result{}, false
	}
	choice = c.askPicker(timeLeft, true)
	return choice, choice.Decision == pick.Send
}

// completeHedge waits for the result of the hedge, records it, and reports whether the server has accepted the request; the attempt is
// then c.accepted.
func (c *clientRequest) completeHedge(ctx context.Context) (accepted bool) {
	completed := c.hedge
	c.hedge = nil
	<-completed.ended
	attempt := completed.attempt
	if errors.Is(completed.sendErr, errNotSent) {
		c.handleNotSent(attempt)
		return false
	}
	c.countSend(attempt.choice)
	if !c.handleHead(attempt, completed.sendErr, completed.headErr) {
		return false
	}
	resp := attempt.response
	switch {
	case isRefusal(resp):
		c.handleRefusal(attempt)
		return false
	case !isSuccess(resp.StatusCode) || c.headSent && !isEventStream(resp):
		attempt.discard()
		c.handleServerError(attempt, c.fallback)
		return false
	}
	c.accepted = attempt
	c.watchProgress(ctx, attempt, c.responseTimeout())
	return true
}

// cancelHedge ends a hedge that has no result yet, or whose result is not wanted any more: the silent server goes on, or the request has
// ended.
func (c *clientRequest) cancelHedge() {
	canceled := c.hedge
	if canceled == nil {
		return
	}
	c.hedge = nil
	canceled.cancel()
	<-canceled.ended
	if !errors.Is(canceled.sendErr, errNotSent) {
		c.countSend(canceled.attempt.choice)
		c.mayHaveRun = true
	}
	canceled.attempt.discard()
	c.reportOutcome(canceled.attempt, pick.Canceled)
}

// takeAccepted returns the hedge whose server has accepted the request in place of a silent one, or nil if there is none. It waits for a
// hedge in progress, since the attempt beside which it was made has ended.
func (c *clientRequest) takeAccepted(ctx context.Context) *upstreamAttempt {
	if c.hedge != nil {
		c.completeHedge(ctx)
	}
	accepted := c.accepted
	c.accepted = nil
	return accepted
}
