package proxy

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"gradeusher.example/gradeusher/internal/framing"
	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

const (
	maxUnreachedServers    = 4                       // servers that one request finds unreachable before it is given up
	minSilenceTimeout      = 1500 * time.Millisecond // a server may be silent so long before an answer begins
	minEventSilenceTimeout = time.Second             // and so long within a stream
	defaultRetryAfter      = 300 * time.Millisecond  // where nobody has said when there will be room
	minRetryAfter          = 50 * time.Millisecond
	typicalHeadBytes       = 2 << 10 // bytes; most heads fit
	maxJoinedBodyBytes     = 8 << 10 // bytes of a body that goes out in one write with its head
)

// clientRequest is a client's request on its way.
type clientRequest struct {
	proxy      *Proxy
	writer     http.ResponseWriter
	request    *http.Request
	controller *http.ResponseController
	conn       *framing.ClientConn // nil in tests

	attemptID   string // X-Attempt-Id
	target      string // path and query as they came
	route       *config.Route
	pickRequest pick.Request
	body        []byte
	startedAt   time.Time
	deadline    time.Time

	triedServers   []string // servers it was sent to
	mayHaveRun     bool     // some send may have run
	unreachedCount int
	nextChoice     *pick.Choice      // where to go on, from a silent server
	retryAfter     time.Duration     // what servers that did not run it said: come again after it
	fallback       *bufferedResponse // a server's own failure, passed on if nothing better comes
	headSent       bool              // the head of an answer is out
	lastEventID    string            // of the events that are out, "" if it cannot be told
	reservedBytes  int64             // bytes of answers
}

// run sends the request to one server after another until it is answered.
func (c *clientRequest) run() {
	defer func() { c.proxy.memory.release(c.reservedBytes) }()
	for {
		choice := c.chooseServer()
		if choice.Verdict != pick.Send {
			c.concludeUnserved(choice)
			return
		}
		if c.tryServer(choice) {
			return
		}
	}
}

// mayRetry tells whether the request may be sent to one more server, as far as it goes by the request alone.
func (c *clientRequest) mayRetry(offered bool) bool {
	switch {
	case len(c.triedServers) >= max(c.route.MaxTries, 1):
		return false
	case c.headSent:
		return (c.route.Resumable || c.proxy.options.Knobs.ResumeAnyStream) && c.lastEventID != ""
	}
	return !offered || c.route.Idempotent() || c.proxy.options.Knobs.RetryNonIdempotent
}

// chooseServer asks where to send the request next.
func (c *clientRequest) chooseServer() pick.Choice {
	if choice := c.nextChoice; choice != nil {
		c.nextChoice = nil
		return *choice
	}
	c.proxy.picker.awaitContact(c.request.Context())
	left := time.Until(c.deadline)
	if left <= 0 || c.request.Context().Err() != nil || c.unreachedCount >= maxUnreachedServers || !c.mayRetry(c.mayHaveRun) {
		return pick.Choice{Verdict: pick.GiveUp}
	}
	return c.askPicker(left, c.triedServers, c.mayHaveRun)
}

func (c *clientRequest) askPicker(left time.Duration, tried []string, offered bool) pick.Choice {
	c.pickRequest.TimeLeft, c.pickRequest.Age, c.pickRequest.Resumed = left, time.Since(c.startedAt), c.headSent
	return c.proxy.picker.Choose(&c.pickRequest, tried, offered)
}

// tryServer sends the request to a server, and tells whether the request has come to its end.
func (c *clientRequest) tryServer(choice pick.Choice) bool {
	nonIdempotentOnce.Check(!c.mayHaveRun || c.route.Idempotent())
	pools := c.proxy.pools
	attempt := &upstreamAttempt{ctx: c.request.Context(), pools: pools, pool: pools.poolOf(choice.Server), attemptID: c.attemptID, deadline: c.deadline, sendDeadline: c.sendDeadline(choice),
		headRequest: c.request.Method == http.MethodHead}
	buf, recycle := getBuffer(typicalHeadBytes + int64(min(len(c.body), maxJoinedBodyBytes)))
	head, body := c.appendHead(buf, choice)
	err := attempt.send(head, body)
	recycle()
	if errors.Is(err, errNotSent) {
		c.unreachedCount++
		if c.request.Context().Err() != nil {
			c.reportOutcome(choice, pick.Canceled)
		} else {
			pools.closeIdle(attempt.pool)
			c.reportOutcome(choice, pick.ConnectFailed)
		}
		return false
	}
	c.proxy.counters.Sends.Add(1)
	if c.triedServers = append(c.triedServers, choice.Server.ID); len(c.triedServers) > 1 {
		c.proxy.counters.Retries.Add(1)
	}
	c.watchForSilence(attempt, max(2*c.route.LatencyTarget, c.proxy.options.minSilenceTimeout))
	resp, early := (*http.Response)(nil), err != nil
	if resp, err = attempt.readHead(c.request.Method); err == nil {
		resp.Close = resp.Close || early // the rest of the request never goes out
		err = c.validateResponse(attempt, resp)
	}
	if err != nil {
		return c.handleFailure(choice, attempt, err)
	}
	c.proxy.picker.Started(choice.Ticket, choice.Server.ID, parseServerHints(resp.Header, resp.Close))
	return c.handleResponse(choice, attempt, resp)
}

// sendDeadline is when a request that was chosen to go out just now must have done so.
func (c *clientRequest) sendDeadline(choice pick.Choice) time.Time {
	if choice.SendWithin > 0 {
		return earlierOf(c.deadline, time.Now().Add(choice.SendWithin))
	}
	return c.deadline
}

func earlierOf(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// watchForSilence has a silent server left, where the request may go on elsewhere.
func (c *clientRequest) watchForSilence(attempt *upstreamAttempt, timeout time.Duration) {
	if attempt.silenceTimeout = 0; c.mayRetry(true) {
		attempt.silenceTimeout = timeout
		attempt.abandon = func() bool {
			left := time.Until(c.deadline)
			if left <= 0 || !c.mayRetry(true) {
				return false
			}
			choice := c.askPicker(left, c.triedServers, true)
			if choice.Verdict != pick.Send {
				return false
			}
			c.nextChoice = &choice
			return true
		}
	}
}

// validateResponse tells whether a head is that of a server's answer to this request.
func (c *clientRequest) validateResponse(attempt *upstreamAttempt, resp *http.Response) error {
	id, ok := resp.Header[headerAttemptID]
	mismatched := len(id) > 1 || ok && id[0] != c.attemptID
	// Danger: a surplus answer to an earlier request may lie where this one's is due; only its id tells. The first answer on
	// a connection can be no such one.
	mismatched = mismatched || !ok && (!attempt.freshConn || isSuccess(resp.StatusCode))
	mismatched = mismatched && !c.proxy.options.Knobs.SkipAttemptIDCheck
	if isSuccess(resp.StatusCode) {
		_, refused := resp.Header[headerNotExecuted] // a success that did not run: neither is believed
		mismatched = mismatched || refused || resp.Header.Get(headerServerSeal) == "" && !c.proxy.options.Knobs.SkipSealCheck || resp.Header.Get("Content-Encoding") != ""
	}
	if mismatched {
		c.proxy.counters.Mismatch.Add(1)
		return errInvalidResponse
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !attempt.headRequest && !c.proxy.options.Knobs.AcceptUnframed {
		c.proxy.counters.Unframed.Add(1) // its end would be that of the connection, whole or not
		return errInvalidResponse
	}
	return nil
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// promisesNotRun tells whether a status promises that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// handleFailure takes in that a send brought no answer, or none to its end.
func (c *clientRequest) handleFailure(choice pick.Choice, attempt *upstreamAttempt, err error) bool {
	attempt.discard()
	c.mayHaveRun = true
	switch {
	case c.request.Context().Err() != nil:
		c.reportOutcome(choice, pick.Canceled)
	case errors.Is(err, errServerSilent):
		c.proxy.counters.Abandoned.Add(1)
		c.proxy.pools.closeIdleUnlessContacted(attempt.pool, attempt.sentAt)
		c.reportOutcome(choice, pick.TimedOut)
	case errors.Is(err, errDeadlinePassed) && c.proxy.pools.now()-max(time.Duration(attempt.pool.lastContact.Load()), attempt.sentAt) < minSilenceTimeout:
		c.reportOutcome(choice, pick.Canceled) // late, but alive for all that is known
	case errors.Is(err, errDeadlinePassed):
		c.proxy.pools.closeIdleUnlessContacted(attempt.pool, attempt.sentAt)
		c.reportOutcome(choice, pick.TimedOut)
	default:
		c.proxy.pools.closeIdleUnlessContacted(attempt.pool, attempt.sentAt)
		c.reportOutcome(choice, pick.ConnectionLost)
	}
	return false
}

func (c *clientRequest) reportOutcome(choice pick.Choice, o pick.Outcome) {
	c.proxy.picker.Done(choice.Ticket, o, 0)
}

// concludeUnserved answers a request that goes to no further server.
func (c *clientRequest) concludeUnserved(choice pick.Choice) {
	counters := &c.proxy.counters
	switch {
	case c.request.Context().Err() != nil:
		counters.ClientGone.Add(1)
		c.abortConn(true)
	case c.headSent:
		counters.Truncated.Add(1)
		c.abortConn(false)
	case c.fallback != nil:
		counters.Served.Add(1)
		c.fallback.sendTo(c)
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

// respondError answers for the system itself.
func (c *clientRequest) respondError(status int, retryAfter time.Duration) {
	if promisesNotRun(status) {
		if retryAfter <= 0 {
			retryAfter = defaultRetryAfter
		}
		if left := time.Until(c.deadline); left > 0 {
			retryAfter = min(retryAfter, left/3)
		}
		c.writer.Header().Set("Retry-After", formatRetryAfter(max(retryAfter, minRetryAfter)))
	}
	c.proxy.respond(c.writer, c.attemptID, status)
}

// abortConn breaks the answer off so that it cannot look complete. What still waits for the client goes out; for one that is gone
// it is dropped.
func (c *clientRequest) abortConn(clientGone bool) {
	if c.conn == nil || c.proxy.options.Knobs.KeepTruncatedConns {
		return
	}
	if clientGone || c.request.ProtoMinor == 0 {
		_ = c.conn.SetLinger(0) // where the connection's end is the answer's, a reset says that it is not whole
	}
	_ = c.conn.Close()
}

// appendHead appends the request as the server gets it, and tells what of the body follows in a write of its own.
func (c *clientRequest) appendHead(b []byte, choice pick.Choice) (head, rest []byte) {
	b = append(b, c.request.Method...)
	b = append(b, ' ')
	b = append(b, c.target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, c.request.Host...)
	b = append(b, "\r\n"...)
	names := connectionHeaders(c.request.Header)
	for name, values := range c.request.Header {
		switch name {
		case "Content-Length", "Expect", headerTimeLeft, headerTargetInstance, "Priority", "Host":
			continue
		case headerLastEventID:
			if c.headSent {
				continue
			}
		}
		if isForwarded(name, names) {
			for _, v := range values {
				b = appendField(b, name, v)
			}
		}
	}
	left := max(time.Until(c.deadline).Milliseconds(), 1)
	b = appendField(b, headerTimeLeft, strconv.FormatInt(left, 10))
	b = appendField(b, headerTargetInstance, choice.Server.ID)
	b = appendField(b, "Priority", strconv.Itoa(choice.Priority))
	if c.headSent && c.lastEventID != "" {
		b = appendField(b, headerLastEventID, c.lastEventID)
	}
	if len(c.body) > 0 || c.request.ContentLength != 0 || c.request.Header["Content-Length"] != nil {
		b = appendField(b, "Content-Length", strconv.Itoa(len(c.body)))
	}
	b = append(b, "\r\n"...)
	if len(c.body) <= maxJoinedBodyBytes {
		return append(b, c.body...), nil
	}
	return b, c.body
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}
