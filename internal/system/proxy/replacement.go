package proxy

import (
	"context"
	"errors"
	"time"

	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// longAgo, as a deadline, ends a read at once.
var longAgo = time.Unix(1, 0)

// replacement is an attempt at another server while the server of the current attempt is silent. The current attempt stays until the
// other server has accepted the request: if that one refuses it, cannot be reached or fails, the silent server may still go on. If the
// silent server goes on first, the replacement is withdrawn. Only requests that may run more than once are replaced (mayRetry).
//
// A goroutine sends the request and reads the head of the response. It owns the attempt until ended is closed; everything else is done
// by the goroutine of the clientRequest.
type replacement struct {
	attempt *upstreamAttempt
	cancel  context.CancelFunc
	done    chan struct{} // closed when the errors below are set
	ended   chan struct{} // closed when the goroutine has ended
	sendErr error         // of upstreamAttempt.send
	headErr error         // of upstreamAttempt.readHead
}

// superviseSilence is called when the server of an attempt has been silent for too long, and when a replacement has its result. It
// reports whether another server has accepted the request.
func (c *clientRequest) superviseSilence(ctx context.Context, silent *upstreamAttempt) (accepted bool) {
	if c.replacement != nil {
		select {
		case <-c.replacement.done:
		default:
			return false
		}
		if c.settleReplacement(ctx) {
			return true
		}
	}
	c.startReplacement(ctx, silent)
	return false
}

// startReplacement offers the request to another server, if there is one.
func (c *clientRequest) startReplacement(ctx context.Context, silent *upstreamAttempt) {
	silent.wake = nil
	choice, ok := c.chooseReplacement()
	if !ok {
		return
	}
	nonIdempotentOnce.Check(c.route.Idempotent() || c.headSent)
	attemptCtx, cancel := context.WithCancel(ctx)
	c.cancels = append(c.cancels, cancel)
	started := &replacement{attempt: c.newAttempt(attemptCtx, choice), cancel: cancel, done: make(chan struct{}), ended: make(chan struct{})}
	started.attempt.progressTimeout = c.proxy.options.Timeouts.response(c.route.LatencyTarget)
	started.attempt.abandon = func() bool { return true }
	buffer, recycle := getBuffer(typicalHeadBytes + int64(min(len(c.body), maxJoinedBodyBytes)))
	head, body := c.appendHead(buffer, choice)
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
	c.replacement, silent.wake = started, started.done
}

// chooseReplacement chooses a server that replaces a silent one. ok is false if there is none.
func (c *clientRequest) chooseReplacement() (choice pick.Result, ok bool) {
	timeLeft := c.timeLeft()
	if timeLeft <= 0 || c.unreachedCount >= maxUnreachedServers || !c.mayRetry(true) || c.reverifyKey() != nil {
		return pick.Result{}, false
	}
	choice = c.askPicker(timeLeft, true)
	return choice, choice.Decision == pick.Send
}

// settleReplacement waits for the result of the replacement, records it, and reports whether the server has accepted the request; the
// attempt is then c.accepted.
func (c *clientRequest) settleReplacement(ctx context.Context) (accepted bool) {
	settled := c.replacement
	c.replacement = nil
	<-settled.ended
	attempt := settled.attempt
	if errors.Is(settled.sendErr, errNotSent) {
		c.handleNotSent(attempt)
		return false
	}
	c.countSend(attempt.choice)
	err := settled.headErr
	if err == nil {
		attempt.response.Close = attempt.response.Close || settled.sendErr != nil // the rest of the request is never sent
		err = c.validateResponse(attempt)
	}
	if err != nil {
		c.handleFailure(attempt, err)
		return false
	}
	return c.considerResponse(ctx, attempt)
}

// considerResponse records the head of a replacement's valid response, and reports whether the server has accepted the request.
func (c *clientRequest) considerResponse(ctx context.Context, attempt *upstreamAttempt) (accepted bool) {
	resp := attempt.response
	c.proxy.picker.ResponseStarted(attempt.choice.Ticket, attempt.choice.Server.ID, parseServerHints(resp.Header, resp.Close))
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
	c.watchProgress(ctx, attempt, c.proxy.options.Timeouts.response(c.route.LatencyTarget))
	return true
}

// withdrawReplacement ends a replacement that has no result yet, or whose result is not wanted any more: the silent server goes on, or
// the request has ended.
func (c *clientRequest) withdrawReplacement() {
	withdrawn := c.replacement
	if withdrawn == nil {
		return
	}
	c.replacement = nil
	withdrawn.cancel()
	<-withdrawn.ended
	if !errors.Is(withdrawn.sendErr, errNotSent) {
		c.countSend(withdrawn.attempt.choice)
		c.mayHaveRun = true
	}
	withdrawn.attempt.discard()
	c.reportOutcome(withdrawn.attempt, pick.Canceled)
}

// takeAccepted returns the attempt whose server has accepted the request in place of a silent one, or nil if there is none. It waits for a
// replacement in progress, since the attempt that it was to replace has ended.
func (c *clientRequest) takeAccepted(ctx context.Context) *upstreamAttempt {
	if c.replacement != nil {
		c.settleReplacement(ctx)
	}
	accepted := c.accepted
	c.accepted = nil
	return accepted
}

// endReplacements ends what is left of replacements when the request has ended.
func (c *clientRequest) endReplacements() {
	c.withdrawReplacement()
	for _, cancel := range c.cancels {
		cancel()
	}
}
