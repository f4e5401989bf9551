package proxy

import (
	"net/http"
	"strconv"
	"time"
)

// respond answers for the system itself.
func (p *Proxy) respond(w http.ResponseWriter, id string, status int) {
	h := w.Header()
	if id != "" {
		h.Set(headerAttemptID, id)
	}
	h.Set("Content-Length", "0")
	p.announceClose(h)
	w.WriteHeader(status)
}

// announceClose announces the end of the connection, where a planned end has begun.
func (p *Proxy) announceClose(h http.Header) {
	if p.clients.draining.Load() {
		h.Set("Connection", "close")
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
	if c.conn == nil || c.proxy.options.TestingKnobs.KeepTruncatedConns {
		return
	}
	if clientGone || c.request.ProtoMinor == 0 {
		_ = c.conn.SetLinger(0) // where the connection's end is the answer's, a reset says that it is not whole
	}
	_ = c.conn.Close()
}

// sendHead passes on the head of an answer; length -1: not told.
func (c *clientRequest) sendHead(status int, from http.Header, length int64) {
	c.headSent = true
	to := c.writer.Header()
	names := connectionHeaders(from)
	for name, values := range from {
		if name != "Content-Length" && isForwarded(name, names) {
			to[name] = values
		}
	}
	for _, name := range []string{"Date", "Content-Type"} { // net/http would make them up
		if _, ok := from[name]; !ok {
			to[name] = nil
		}
	}
	if length >= 0 {
		to.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.proxy.announceClose(to)
	c.writer.WriteHeader(status)
}

// writeToClient passes bytes on at once. A client that takes none for long is given up.
func (c *clientRequest) writeToClient(b []byte) error {
	_ = c.controller.SetWriteDeadline(time.Now().Add(c.proxy.options.TestingKnobs.ClientWriteTimeout))
	if _, err := c.writer.Write(b); err != nil {
		return errClientGone
	}
	if c.controller.Flush() != nil {
		return errClientGone
	}
	return nil
}
