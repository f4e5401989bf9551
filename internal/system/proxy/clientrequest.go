package proxy

import (
	"errors"
	"net/http"
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
		return (c.route.Resumable || c.proxy.options.TestingKnobs.ResumeAnyStream) && c.lastEventID != ""
	}
	return !offered || c.route.Idempotent() || c.proxy.options.TestingKnobs.RetryNonIdempotent
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
	c.watchForSilence(attempt, max(2*c.route.LatencyTarget, c.proxy.options.TestingKnobs.MinSilenceTimeout))
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
