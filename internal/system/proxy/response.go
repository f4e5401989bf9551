package proxy

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

const (
	initialBufferBytes = 4 << 10   // bytes of an answer that are held at first, if its length is not known
	maxBufferedBytes   = 256 << 10 // bytes of an answer that are held until it is whole, at the most
	clientWriteTimeout = 10 * time.Second
	relayBufferBytes   = 32 << 10 // bytes of a long answer that are passed on at once
)

var errClientGone = errors.New("the client takes no more")

// bufferedResponse is one that is held whole.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// handleResponse passes on a proper answer, or goes by what it says. It tells whether the request has come to its end.
func (c *clientRequest) handleResponse(choice pick.Choice, attempt *upstreamAttempt, resp *http.Response) bool {
	status := resp.StatusCode
	_, refused := resp.Header[headerNotExecuted]
	switch {
	case refused || status == http.StatusMisdirectedRequest:
		return c.handleRefusal(choice, attempt, resp)
	case isSuccess(status) && isEventStream(resp):
		return c.relayEvents(choice, attempt, resp)
	case c.headSent: // only a stream can go on with one
		attempt.discard()
		c.mayHaveRun = true
		c.reportOutcome(choice, pick.ServerError)
		return false
	}
	buffered := &bufferedResponse{status: status, header: resp.Header}
	var err error
	var complete bool
	if buffered.body, complete, err = c.bufferBody(resp); err != nil {
		return c.handleFailure(choice, attempt, err)
	}
	// Danger: a status that promises more than the server has said is not passed on, nor is one too long to be held.
	promised := promisesNotRun(status) && !c.proxy.options.TestingKnobs.PassUnfoundedPromises
	if !complete && !promised {
		return c.relayUnbuffered(choice, attempt, resp, buffered)
	}
	if complete {
		attempt.finish()
	} else {
		attempt.discard()
	}
	if status < 500 && !promised {
		c.reportOutcome(choice, pick.Served)
		c.proxy.counters.Served.Add(1)
		buffered.sendTo(c)
		return true
	}
	c.mayHaveRun = true
	c.reportOutcome(choice, pick.ServerError)
	if c.fallback = buffered; promised {
		c.fallback = nil
	}
	return false
}

// handleRefusal takes in that the server did not run the request.
func (c *clientRequest) handleRefusal(choice pick.Choice, attempt *upstreamAttempt, resp *http.Response) bool {
	outcome, after := pick.NotExecuted, parseRetryAfter(resp.Header.Get("Retry-After"))
	_, complete, err := c.bufferBody(resp)
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest: // another server lives there
		outcome = pick.Misdirected
		attempt.discard()
		c.proxy.pools.closeIdle(attempt.pool)
	case err == nil && complete:
		attempt.finish()
	default:
		attempt.discard()
	}
	c.retryAfter = max(c.retryAfter, after)
	c.proxy.picker.Done(choice.Ticket, outcome, after)
	return false
}

// bufferBody reads an answer's body to its end, or until it is longer than is held, and tells whether it is whole. What it
// books is given back with the call.
func (c *clientRequest) bufferBody(resp *http.Response) (body []byte, complete bool, err error) {
	if resp.ContentLength > maxBufferedBytes && c.request.Method != http.MethodHead {
		return nil, false, nil
	}
	size := min(max(resp.ContentLength, 0)+1, initialBufferBytes) // one more, so that the end is seen
	if resp.ContentLength > initialBufferBytes && resp.ContentLength <= maxBufferedBytes && c.request.Method != http.MethodHead {
		size = resp.ContentLength + 1
	}
	if resp.ContentLength < 0 {
		size = initialBufferBytes
	}
	for {
		if !c.proxy.memory.reserve(size) {
			return body, false, nil
		}
		c.reservedBytes += size
		body = append(make([]byte, 0, int64(cap(body))+size), body...)
		for len(body) < cap(body) {
			n, err := resp.Body.Read(body[len(body):cap(body)])
			body = body[:len(body)+n]
			if err == io.EOF {
				return body, true, nil
			}
			if err != nil {
				return nil, false, err
			}
		}
		if len(body) > maxBufferedBytes/2 {
			return body, false, nil
		}
		size = int64(len(body))
	}
}

// sendTo passes on an answer that is held whole.
func (a *bufferedResponse) sendTo(proxied *clientRequest) {
	length := int64(len(a.body))
	if proxied.request.Method == http.MethodHead || a.status == http.StatusNoContent || a.status == http.StatusNotModified {
		length = -1
		if text := a.header.Get("Content-Length"); text != "" && a.status != http.StatusNoContent {
			if n, err := strconv.ParseInt(text, 10, 64); err == nil {
				length = n
			}
		}
	}
	proxied.sendHead(a.status, a.header, length)
	if len(a.body) > 0 {
		if err := proxied.writeToClient(a.body); err != nil {
			proxied.abortConn(true)
		}
	}
}

// relayUnbuffered passes on an answer that is too long to be held.
func (c *clientRequest) relayUnbuffered(choice pick.Choice, attempt *upstreamAttempt, resp *http.Response, buffered *bufferedResponse) bool {
	attempt.silenceTimeout = 0
	c.sendHead(buffered.status, buffered.header, resp.ContentLength)
	err := c.writeToClient(buffered.body)
	buffer := make([]byte, relayBufferBytes)
	for err == nil {
		var n int
		n, err = resp.Body.Read(buffer)
		if n > 0 {
			if e := c.writeToClient(buffer[:n]); e != nil {
				err = e
			}
		}
	}
	if err == io.EOF {
		attempt.finish()
		c.reportOutcome(choice, pick.Served)
		c.proxy.counters.Served.Add(1)
		return true
	}
	return c.handleRelayFailure(choice, attempt, err)
}

// handleRelayFailure ends an answer that was cut while it was passed on and cannot go on.
func (c *clientRequest) handleRelayFailure(choice pick.Choice, attempt *upstreamAttempt, err error) bool {
	if !errors.Is(err, errClientGone) {
		c.handleFailure(choice, attempt, err)
		c.proxy.counters.Truncated.Add(1)
		c.abortConn(false)
		return true
	}
	attempt.discard()
	c.reportOutcome(choice, pick.Canceled)
	c.proxy.counters.ClientGone.Add(1)
	c.abortConn(true)
	return true
}
