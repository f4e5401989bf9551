package proxy

import (
	"errors"
	"io"
	"net"
	"net/http"
)

// Reasons why a request's body could not be read. In each case nothing of the request has been sent to a server.
var (
	errBodyTooLong = errors.New("the request body exceeds the configured limit; send a shorter one")
	errBodyTimeout = errors.New("the request body did not arrive before the deadline")
	errNoMemory    = errors.New("the memory for buffering bodies is exhausted; send the request again later")
)

// rejectBody answers a request whose body could not be read.
func (c *clientRequest) rejectBody(err error) {
	counters := &c.proxy.counters
	c.writer.Header().Set("Connection", "close") // the rest of the body is not read
	switch {
	case errors.Is(err, errNoMemory):
		counters.Refused.Add(1)
		c.respondError(http.StatusServiceUnavailable, defaultRetryAfter)
	case errors.Is(err, errBodyTooLong):
		counters.Rejected.Add(1)
		c.respondError(http.StatusRequestEntityTooLarge, 0)
	case errors.Is(err, errBodyTimeout):
		counters.Rejected.Add(1)
		c.respondError(http.StatusRequestTimeout, 0)
	default:
		counters.ClientGone.Add(1)
		c.abortConn(dropUnsent)
	}
}

// requestBody is the body of a request. It is buffered completely so that it can be sent more than once.
type requestBody struct {
	memory   *memoryBudget
	maxBytes int64 // 0: no limit
	bytes    []byte
	reserved int64  // number of bytes reserved in memory
	recycle  func() // returns the buffer to its pool; nil: there is no buffer
}

// read buffers the body. It fails with errBodyTooLong, errBodyTimeout, errNoMemory or errClientGone.
func (b *requestBody) read(r *http.Request) error {
	if r.ContentLength == 0 {
		return nil
	}
	if !b.grow(max(r.ContentLength, smallBufferBytes)) {
		return errNoMemory
	}
	for {
		if len(b.bytes) == cap(b.bytes) {
			if int64(len(b.bytes)) == r.ContentLength {
				return nil
			}
			if !b.grow(2 * int64(cap(b.bytes))) {
				return errNoMemory
			}
		}
		count, err := r.Body.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+count]
		if b.maxBytes > 0 && int64(len(b.bytes)) > b.maxBytes {
			return errBodyTooLong
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return bodyError(err)
		}
	}
}

// bodyError maps the error of a failed read of a request's body to errBodyTimeout or errClientGone.
func bodyError(err error) error {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return errBodyTimeout
	}
	return errClientGone
}

// grow moves the body to a buffer of size bytes. It returns false if there is no memory for it.
func (b *requestBody) grow(size int64) bool {
	if b.maxBytes > 0 {
		size = min(size, b.maxBytes+1) // one extra byte, to detect that the body is too long
	}
	if more := size - b.reserved; more > 0 {
		if !b.memory.reserve(more) {
			return false
		}
		b.reserved = size
	}
	buffer, recycle := getBuffer(size)
	buffer = append(buffer, b.bytes...)
	if b.recycle != nil {
		b.recycle()
	}
	b.bytes, b.recycle = buffer, recycle
	return true
}

// release returns the memory to the budget. The bytes must not be used afterwards.
func (b *requestBody) release() {
	b.memory.release(b.reserved)
	if b.recycle != nil {
		b.recycle()
	}
	*b = requestBody{}
}
