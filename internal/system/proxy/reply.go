package proxy

import (
	"errors"
	"net/http"
	"strconv"
	"time"
)

const (
	// defaultRetryAfter is the Retry-After of responses for which neither the picker nor a server has specified a wait: there is no
	// configuration yet, there is no memory for the body, the body arrived too slowly, or no further attempt is allowed. It differs from
	// pick's constant of the same name, which is longer and covers another case: the picker was asked and knows of no server that could
	// accept the request.
	defaultRetryAfter = 300 * time.Millisecond
	// minRetryAfter is the minimum Retry-After. It has the value of pick's constant of the same name, and also applies to the waits that
	// servers asked for and to defaultRetryAfter, which the picker has not bounded.
	minRetryAfter = 50 * time.Millisecond
	// retryAfterDivisor: the Retry-After is at most 1/retryAfterDivisor of the time that the client has left.
	retryAfterDivisor = 3
	// unknownLength stands for a body whose length is not announced.
	unknownLength = -1
)

// errClientGone means that the client has closed its connection or accepts no more bytes.
var errClientGone = errors.New("the client connection is closed or accepts no more bytes")

// respond answers a request with a status chosen by the proxy and no body.
func (p *Proxy) respond(w http.ResponseWriter, attemptID string, status int) {
	header := w.Header()
	if attemptID != "" {
		header.Set(headerAttemptID, attemptID)
	}
	header.Set("Content-Length", "0")
	p.announceClose(header)
	w.WriteHeader(status)
}

// announceClose announces in a response that its connection will be closed, if the proxy is draining.
func (p *Proxy) announceClose(header http.Header) {
	if p.clients.draining.Load() {
		header.Set("Connection", "close")
	}
}

// respondError answers with a status chosen by the proxy. A not-executed status is sent with a Retry-After; 0 stands for the default.
func (c *clientRequest) respondError(status int, retryAfter time.Duration) {
	if impliesNotExecuted(status) {
		if retryAfter <= 0 {
			retryAfter = defaultRetryAfter
		}
		if timeLeft := time.Until(c.deadline); timeLeft > 0 {
			retryAfter = min(retryAfter, timeLeft/retryAfterDivisor)
		}
		c.writer.Header().Set("Retry-After", formatRetryAfter(max(retryAfter, minRetryAfter)))
	}
	c.proxy.respond(c.writer, c.attemptID, status)
}

// unsentBytes says what happens to the bytes in the client connection's send buffer when the connection is aborted.
type unsentBytes int

const (
	deliverUnsent unsentBytes = iota
	dropUnsent                // for a client that has disconnected
)

// abortConn closes the client's connection in the middle of a response, so that the response cannot look complete.
func (c *clientRequest) abortConn(unsent unsentBytes) {
	if c.conn == nil || c.proxy.options.knobs.KeepTruncatedConns {
		return
	}
	// If the end of the connection marks the end of the response, only a reset shows the client that the response is truncated.
	endsWithConn := c.request.ProtoMinor == 0
	if unsent == dropUnsent || endsWithConn {
		_ = c.conn.SetLinger(0)
	}
	_ = c.conn.Close()
}

// sendHead forwards the head of a response, with the given length in bytes as Content-Length, or without one for unknownLength.
func (c *clientRequest) sendHead(status int, from http.Header, length int64) {
	c.headSent = true
	header := c.writer.Header()
	named := connectionHeaders(from)
	for name, values := range from {
		if name != "Content-Length" && isForwarded(name, named) {
			header[name] = values
		}
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := from[name]; !ok {
			header[name] = nil // net/http would add its own
		}
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.proxy.announceClose(header)
	c.writer.WriteHeader(status)
}

// writeToClient writes bytes to the client and flushes them. It fails with errClientGone, also if the client accepts none for too long.
func (c *clientRequest) writeToClient(data []byte) error {
	_ = c.controller.SetWriteDeadline(time.Now().Add(c.proxy.options.Timeouts.ClientWrite))
	if _, err := c.writer.Write(data); err != nil {
		return errors.Join(errClientGone, err)
	}
	if err := c.controller.Flush(); err != nil {
		return errors.Join(errClientGone, err)
	}
	return nil
}
