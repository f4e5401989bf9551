package proxy

import (
	"errors"
	"io"
	"net"
	"net/http"
)

// rejectBody ends a request whose body could not be taken. None of it has been sent to a server.
func (c *clientRequest) rejectBody(status int) {
	counters := &c.proxy.counters
	c.writer.Header().Set("Connection", "close") // the rest of the body is not read
	switch status {
	case http.StatusServiceUnavailable:
		counters.Refused.Add(1)
		c.respondError(status, defaultRetryAfter)
	case statusClientGone:
		counters.ClientGone.Add(1)
		c.abortConn(true)
	default:
		counters.Rejected.Add(1)
		c.respondError(status, 0)
	}
}

// statusClientGone stands for a client that went away.
const statusClientGone = -1

// requestBody is a request's requestBody, held whole.
type requestBody struct {
	memory   *memoryBudget
	maxBytes int64 // bytes; 0: any number
	bytes    []byte
	reserved int64
	recycle  func()
}

// read takes the body in, and tells the status that the request is answered with if it cannot be had; 0: it can.
func (b *requestBody) read(r *http.Request) int {
	if r.ContentLength == 0 {
		return 0
	}
	if !b.reserve(max(r.ContentLength, smallBufferBytes)) {
		return http.StatusServiceUnavailable
	}
	for {
		if len(b.bytes) == cap(b.bytes) {
			if int64(len(b.bytes)) == r.ContentLength {
				return 0
			}
			if !b.reserve(2 * int64(cap(b.bytes))) {
				return http.StatusServiceUnavailable
			}
		}
		n, err := r.Body.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		var timeout net.Error
		switch {
		case b.maxBytes > 0 && int64(len(b.bytes)) > b.maxBytes:
			return http.StatusRequestEntityTooLarge
		case err == io.EOF:
			return 0
		case errors.As(err, &timeout) && timeout.Timeout():
			return http.StatusRequestTimeout
		case err != nil:
			return statusClientGone
		}
	}
}

// reserve makes room for n bytes, and tells whether the budget has it.
func (b *requestBody) reserve(n int64) bool {
	if b.maxBytes > 0 {
		n = min(n, b.maxBytes+1) // one more, to see that it is too long
	}
	if more := n - b.reserved; more > 0 {
		if !b.memory.reserve(more) {
			return false
		}
		b.reserved = n
	}
	next, give := getBuffer(n)
	next = append(next, b.bytes...)
	if b.recycle != nil {
		b.recycle()
	}
	b.bytes, b.recycle = next, give
	return true
}

// release gives the room back. The bytes are not to be used any more.
func (b *requestBody) release() {
	b.memory.release(b.reserved)
	if b.recycle != nil {
		b.recycle()
	}
	*b = requestBody{}
}
