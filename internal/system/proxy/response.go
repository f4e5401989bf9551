package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

const (
	// initialBufferBytes is the size of a response's first buffer if its length is not known.
	initialBufferBytes = 4 << 10
	// maxBufferedBytes bounds the bytes of a response that are buffered until it is complete.
	maxBufferedBytes = 256 << 10
	// relayBufferBytes is the size of the buffer through which longer responses are forwarded.
	relayBufferBytes = 32 << 10
)

// bufferedResponse is a server's response whose body, or the beginning of it, is in memory.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// handleResponse handles a valid response: it forwards the response, or keeps it as a fallback, or discards it and requests a retry.
func (c *clientRequest) handleResponse(ctx context.Context, attempt *upstreamAttempt) attemptResult {
	resp := attempt.response
	switch {
	case isRefusal(resp):
		c.handleRefusal(attempt)
		return tryNextServer
	case isSuccess(resp.StatusCode) && isEventStream(resp):
		return c.relayEvents(ctx, attempt)
	case c.headSent: // only an event stream can resume one
		attempt.discard()
		c.handleServerError(attempt, nil)
		return tryNextServer
	}
	body, complete, err := c.bufferBody(resp)
	if err != nil {
		c.handleFailure(attempt, err)
		return tryNextServer
	}
	buffered := &bufferedResponse{status: resp.StatusCode, header: resp.Header, body: body}
	// Danger: a not-executed status that the server has not confirmed by X-Not-Executed is not forwarded, even if the response is too
	// long to be buffered.
	unconfirmed := impliesNotExecuted(resp.StatusCode) && !c.proxy.options.knobs.PassUnconfirmedNotExecuted
	if !complete && !unconfirmed {
		return c.relayUnbuffered(attempt, buffered)
	}
	if complete {
		attempt.finish()
	} else {
		attempt.discard()
	}
	switch {
	case unconfirmed:
		c.handleServerError(attempt, nil)
		return tryNextServer
	case resp.StatusCode >= http.StatusInternalServerError:
		c.handleServerError(attempt, buffered)
		return tryNextServer
	}
	c.reportOutcome(attempt, pick.Served)
	c.proxy.counters.Served.Add(1)
	c.sendBuffered(buffered)
	return requestDone
}

// isRefusal reports whether a server states that it did not run the request.
func isRefusal(resp *http.Response) bool {
	return hasNotExecutedHeader(resp) || resp.StatusCode == http.StatusMisdirectedRequest
}

// handleServerError records a response that reports a failure of the server. The fallback replaces the previous one; it may be nil.
func (c *clientRequest) handleServerError(attempt *upstreamAttempt, fallback *bufferedResponse) {
	c.mayHaveRun = true
	c.reportOutcome(attempt, pick.ServerError)
	c.fallback = fallback
}

// handleRefusal records that the server did not run the request.
func (c *clientRequest) handleRefusal(attempt *upstreamAttempt) {
	resp := attempt.response
	outcome, retryAfter := pick.NotExecuted, parseRetryAfter(resp.Header.Get("Retry-After"))
	_, complete, err := c.bufferBody(resp)
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest: // another server uses that address now
		outcome = pick.Misdirected
		attempt.discard()
		c.proxy.pools.closeIdle(attempt.pool)
	case err == nil && complete:
		attempt.finish()
	default:
		attempt.discard()
	}
	c.retryAfter = max(c.retryAfter, retryAfter)
	c.proxy.picker.Done(attempt.choice.Ticket, outcome, retryAfter)
}

// bufferBody reads a response's body until it is complete or too long to be buffered, and reports whether it is complete. The memory
// that it reserves is released when the request ends.
func (c *clientRequest) bufferBody(resp *http.Response) (body []byte, complete bool, err error) {
	hasBody := c.request.Method != http.MethodHead
	if hasBody && resp.ContentLength > maxBufferedBytes {
		return nil, false, nil
	}
	size := firstBufferSize(resp.ContentLength, hasBody)
	for {
		if !c.proxy.memory.reserve(size) {
			return body, false, nil
		}
		c.reservedBytes += size
		body = append(make([]byte, 0, int64(cap(body))+size), body...)
		body, complete, err = fillBuffer(resp.Body, body)
		if complete || err != nil {
			return body, complete, err
		}
		if len(body) > maxBufferedBytes/2 {
			return body, false, nil
		}
		size = int64(len(body))
	}
}

// firstBufferSize returns the size in bytes of the first buffer for a response: one byte more than its length, so that the end is
// detected. A negative length means that it is not known.
func firstBufferSize(length int64, hasBody bool) int64 {
	switch {
	case length < 0:
		return initialBufferBytes
	case hasBody && length > initialBufferBytes:
		return length + 1
	}
	return min(length+1, initialBufferBytes)
}

// fillBuffer reads until the buffer is full or the source ends, and reports whether the source has ended.
func fillBuffer(source io.Reader, buffer []byte) (filled []byte, ended bool, err error) {
	for len(buffer) < cap(buffer) {
		count, err := source.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+count]
		if errors.Is(err, io.EOF) {
			return buffer, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return buffer, false, nil
}

// sendBuffered forwards a response that is buffered completely.
func (c *clientRequest) sendBuffered(buffered *bufferedResponse) {
	c.sendHead(buffered.status, buffered.header, c.announcedLength(buffered))
	if len(buffered.body) == 0 {
		return
	}
	if err := c.writeToClient(buffered.body); err != nil {
		c.abortConn(dropUnsent)
	}
}

// announcedLength returns the Content-Length with which a buffered response is forwarded, or unknownLength for none. A response to
// HEAD and a 304 have no body but may announce the length that the corresponding 200 would have (RFC 9110, section 8.6).
func (c *clientRequest) announcedLength(buffered *bufferedResponse) int64 {
	switch {
	case buffered.status == http.StatusNoContent:
		return unknownLength
	case c.request.Method != http.MethodHead && buffered.status != http.StatusNotModified:
		return int64(len(buffered.body))
	}
	length, err := strconv.ParseInt(buffered.header.Get("Content-Length"), 10, 64)
	if err != nil {
		return unknownLength
	}
	return length
}

// relayUnbuffered forwards a response that is too long to be buffered and of which only the beginning was buffered.
func (c *clientRequest) relayUnbuffered(attempt *upstreamAttempt, beginning *bufferedResponse) attemptResult {
	attempt.progressTimeout = 0
	c.sendHead(beginning.status, beginning.header, attempt.response.ContentLength)
	err := c.writeToClient(beginning.body)
	if err == nil {
		err = c.relayBody(attempt.response.Body)
	}
	if err != nil {
		return c.handleRelayFailure(attempt, err)
	}
	return c.finishRelay(attempt)
}

// relayBody forwards bytes until the source ends. It fails with errClientGone and with the errors of the source.
func (c *clientRequest) relayBody(source io.Reader) error {
	buffer := make([]byte, relayBufferBytes)
	for {
		count, err := source.Read(buffer)
		if count > 0 {
			if err := c.writeToClient(buffer[:count]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// finishRelay ends an attempt whose response was sent to the client completely.
func (c *clientRequest) finishRelay(attempt *upstreamAttempt) attemptResult {
	attempt.finish()
	c.reportOutcome(attempt, pick.Served)
	c.proxy.counters.Served.Add(1)
	return requestDone
}

// handleRelayFailure ends a response that was truncated while it was forwarded and cannot be resumed.
func (c *clientRequest) handleRelayFailure(attempt *upstreamAttempt, err error) attemptResult {
	if !errors.Is(err, errClientGone) {
		c.handleFailure(attempt, err)
		c.proxy.counters.Truncated.Add(1)
		c.abortConn(deliverUnsent)
		return requestDone
	}
	attempt.discard()
	c.reportOutcome(attempt, pick.Canceled)
	c.proxy.counters.ClientGone.Add(1)
	c.abortConn(dropUnsent)
	return requestDone
}
