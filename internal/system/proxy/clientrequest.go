package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"gradeusher.example/gradeusher/internal/framing"
	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// maxUnreachedServers bounds how many attempts may find their server unreachable before a request fails.
const maxUnreachedServers = 4

// clientRequest is one request of a client, from reading its head to answering it. It makes attempts at one server after another.
// One goroutine owns it.
type clientRequest struct {
	proxy      *Proxy
	writer     http.ResponseWriter
	request    *http.Request
	controller *http.ResponseController
	conn       *framing.ClientConn // nil if a test calls ServeHTTP directly

	attemptID   string // X-Attempt-Id
	target      string // path and query as received
	route       *config.Route
	identity    identity
	pickRequest pick.Request
	body        []byte
	startedAt   time.Time
	deadline    time.Time

	triedServers   []string          // ids of the servers to which at least one byte was sent; mayRetry explains why the picker counts too
	mayHaveRun     bool              // some attempt may have run; never unset
	unreachedCount int               // attempts of which nothing was sent
	hedge          *hedge            // an attempt at another server, while the current one is silent; nil: there is none
	accepted       *upstreamAttempt  // a hedge whose server has accepted the request; nil: there is none
	keyError       error             // why the key is no longer valid, which rules out further attempts; nil: it is valid or none is needed
	retryAfter     time.Duration     // the longest wait requested by servers that did not execute the request
	fallback       *bufferedResponse // a server's error response, passed on if no other attempt succeeds
	headSent       bool              // the head of a response has been sent to the client
	lastEventID    string            // of the last event that was sent to the client; "": not known
	reservedBytes  int64             // memory for buffered responses
}

// attemptResult says how the request continues after an attempt.
type attemptResult int

const (
	requestDone   attemptResult = iota // the client has been answered, or its connection has ended
	tryNextServer                      // chooseServer decides whether there is another server and whether the request may be sent again
)

// run makes attempts until the client has been answered.
func (c *clientRequest) run(ctx context.Context) {
	defer func() { c.proxy.memory.release(c.reservedBytes) }()
	defer c.cancelHedge()
	for {
		if accepted := c.takeAccepted(ctx); accepted != nil {
			if c.handleResponse(ctx, accepted) == requestDone {
				return
			}
			continue
		}
		choice := c.chooseServer(ctx)
		if choice.Decision != pick.Send {
			c.answerUnserved(choice)
			return
		}
		if c.tryServer(ctx, choice) == requestDone {
			return
		}
	}
}

// mayRetry reports whether the request may be sent to one more server, as far as that depends on the request alone. This check
// keeps a non-idempotent request that may have run from running twice.
//
// The picker also counts the attempts of a pick.Request and applies the same two rules in Pick. Both count, for two reasons. The
// proxy needs the answer where it does not ask the picker: whether a silent server may be abandoned (watchProgress) and whether a
// truncated stream may be resumed. And each of the two checks keeps a request from running twice even if the other one is wrong.
//
// The counts serve different purposes: triedServers are the servers to which at least one byte was sent, the only ones that the
// picker must not choose again for this request; the picker's count includes the attempt in flight, and is decremented if nothing of
// it was sent. Attempts of which nothing was sent are bounded by maxUnreachedServers.
func (c *clientRequest) mayRetry(mayHaveRun bool) bool {
	knobs := &c.proxy.options.knobs
	switch {
	case len(c.triedServers) >= max(c.route.MaxAttempts, 1):
		return false
	case c.headSent:
		return (c.route.Resumable || knobs.ResumeAnyStream) && c.lastEventID != ""
	}
	return !mayHaveRun || c.route.Idempotent() || knobs.RetryNonIdempotent
}

// chooseServer asks the picker where to send the request next.
func (c *clientRequest) chooseServer(ctx context.Context) pick.Result {
	c.proxy.picker.awaitContact(ctx)
	if c.keyError = c.reverifyKey(); c.keyError != nil {
		return pick.Result{Decision: pick.GiveUp}
	}
	timeLeft := time.Until(c.deadline)
	if timeLeft <= 0 || c.clientGone() || c.unreachedCount >= maxUnreachedServers || !c.mayRetry(c.mayHaveRun) {
		return pick.Result{Decision: pick.GiveUp}
	}
	return c.askPicker(timeLeft, c.mayHaveRun)
}

func (c *clientRequest) askPicker(timeLeft time.Duration, mayHaveRun bool) pick.Result {
	c.pickRequest.TimeLeft, c.pickRequest.Age, c.pickRequest.Resumed = timeLeft, time.Since(c.startedAt), c.headSent
	return c.proxy.picker.Pick(&c.pickRequest, c.triedServers, mayHaveRun)
}

// tryServer makes one attempt. It and startHedge are the only places that send a request to a server.
func (c *clientRequest) tryServer(ctx context.Context, choice pick.Result) attemptResult {
	nonIdempotentOnce.Check(!c.mayHaveRun || c.route.Idempotent())
	attempt := c.newAttempt(ctx, choice)
	head, body, recycle := c.encodeRequest(choice)
	sendErr := attempt.send(head, body)
	recycle()
	if errors.Is(sendErr, errNotSent) {
		c.handleNotSent(attempt)
		return tryNextServer
	}
	c.countSend(choice)
	c.watchProgress(ctx, attempt, c.responseTimeout())
	if !c.handleHead(attempt, sendErr, attempt.readHead(c.request.Method)) {
		return tryNextServer
	}
	return c.handleResponse(ctx, attempt)
}

// encodeRequest returns the head of the request for a server, and what is left of its body to be sent after it. The caller calls recycle
// once they have been sent.
func (c *clientRequest) encodeRequest(choice pick.Result) (head, body []byte, recycle func()) {
	buffer, recycle := getBuffer(typicalHeadBytes + int64(min(len(c.body), maxJoinedBodyBytes)))
	head, body = c.appendHead(buffer, choice)
	return head, body, recycle
}

// handleHead records the result of sending the request, at least a part of it, and of reading the response's head. It reports whether the
// response is valid.
func (c *clientRequest) handleHead(attempt *upstreamAttempt, sendErr, headErr error) (valid bool) {
	err := headErr
	if err == nil {
		attempt.response.Close = attempt.response.Close || sendErr != nil // the rest of the request is never sent
		err = c.validateResponse(attempt)
	}
	if err != nil {
		c.handleFailure(attempt, err)
		return false
	}
	resp := attempt.response
	c.proxy.picker.ResponseStarted(attempt.choice.Ticket, attempt.choice.Server.ID, parseServerHints(resp.Header, resp.Close))
	return true
}

// responseTimeout returns how long a server may be silent before its response.
func (c *clientRequest) responseTimeout() time.Duration {
	return c.proxy.options.Timeouts.response(c.route.LatencyTarget)
}

func (c *clientRequest) newAttempt(ctx context.Context, choice pick.Result) *upstreamAttempt {
	sendDeadline := c.deadline
	if choice.SendWithin > 0 {
		sendDeadline = earlierOf(c.deadline, time.Now().Add(choice.SendWithin))
	}
	return &upstreamAttempt{
		ctx:          ctx,
		choice:       choice,
		pools:        c.proxy.pools,
		pool:         c.proxy.pools.poolOf(choice.Server),
		attemptID:    c.attemptID,
		deadline:     c.deadline,
		sendDeadline: sendDeadline,
		headRequest:  c.request.Method == http.MethodHead,
	}
}

func earlierOf(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// countSend records that the request was written to a server, completely or partly.
func (c *clientRequest) countSend(choice pick.Result) {
	c.proxy.counters.Sends.Add(1)
	c.triedServers = append(c.triedServers, choice.Server.ID)
	if len(c.triedServers) > 1 {
		c.proxy.counters.Retries.Add(1)
	}
}

// watchProgress offers the request to another server after a silence of the attempt's server that is longer than the timeout, if the
// request may be retried. The attempt is abandoned once another server has accepted the request.
func (c *clientRequest) watchProgress(ctx context.Context, attempt *upstreamAttempt, timeout time.Duration) {
	if !c.mayRetry(true) {
		attempt.progressTimeout = 0
		return
	}
	attempt.progressTimeout = timeout
	attempt.abandon = func() bool { return c.handleServerTimeout(ctx, attempt) }
	attempt.resumed = c.cancelHedge
}

// handleNotSent records an attempt of which no byte was sent.
func (c *clientRequest) handleNotSent(attempt *upstreamAttempt) {
	c.unreachedCount++
	if c.clientGone() {
		c.reportOutcome(attempt, pick.Canceled)
		return
	}
	c.proxy.pools.closeIdle(attempt.pool)
	c.reportOutcome(attempt, pick.ConnectFailed)
}

// handleFailure records an attempt that received no valid response or only part of one.
func (c *clientRequest) handleFailure(attempt *upstreamAttempt, err error) {
	attempt.discard()
	c.mayHaveRun = true
	outcome := c.failureOutcome(attempt, err)
	if outcome == pick.TimedOut && errors.Is(err, errServerTimedOut) {
		c.proxy.counters.Abandoned.Add(1)
	}
	if outcome != pick.Canceled {
		c.proxy.pools.closeIdleUnlessContacted(attempt.pool, attempt.sentAt)
	}
	c.reportOutcome(attempt, outcome)
}

// failureOutcome returns the outcome to report to the picker for a failed attempt.
func (c *clientRequest) failureOutcome(attempt *upstreamAttempt, err error) pick.AttemptOutcome {
	switch {
	case c.clientGone():
		return pick.Canceled
	case errors.Is(err, errServerTimedOut):
		return pick.TimedOut
	case errors.Is(err, errDeadlinePassed):
		if attempt.sinceLastContact() < defaultMinResponseTimeout {
			return pick.Canceled // late, but presumed alive: it sent something recently
		}
		return pick.TimedOut
	}
	return pick.ConnectionLost
}

func (c *clientRequest) reportOutcome(attempt *upstreamAttempt, outcome pick.AttemptOutcome) {
	c.proxy.picker.Done(attempt.choice.Ticket, outcome, 0)
}

// clientGone reports whether the client has closed its connection.
func (c *clientRequest) clientGone() bool { return c.request.Context().Err() != nil }

// answerUnserved answers a request that is not sent to any further server.
func (c *clientRequest) answerUnserved(choice pick.Result) {
	counters := &c.proxy.counters
	switch {
	case c.clientGone():
		counters.ClientGone.Add(1)
		c.abortConn(dropUnsent)
	case c.headSent:
		counters.Truncated.Add(1)
		c.abortConn(deliverUnsent)
	case c.keyError != nil && !c.mayHaveRun:
		counters.Revoked.Add(1)
		c.rejectUnauthenticated(c.keyError)
	case c.fallback != nil:
		counters.Served.Add(1)
		c.sendBuffered(c.fallback)
	case !c.mayHaveRun:
		counters.Refused.Add(1)
		c.respondError(http.StatusServiceUnavailable, max(choice.RetryAfter, c.retryAfter))
	case time.Until(c.deadline) <= 0:
		counters.TimedOut.Add(1)
		c.respondError(http.StatusGatewayTimeout, 0)
	default:
		counters.Failed.Add(1)
		c.respondError(http.StatusBadGateway, 0)
	}
}
