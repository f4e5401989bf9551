package framing

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// ServerConn is a connection to a server that knows what was written to it, and ends before bytes that nobody asked for
// and before a head that can be read in two ways. Danger: a request taken for unwritten that was written runs twice.
type ServerConn struct {
	net.Conn
	mu           sync.Mutex
	written      int64
	shortWrite   bool         // a write fell short, and with it the request it was for
	writeTimeout atomic.Int64 // the longest that a write may take, in nanoseconds; 0: any time

	tracker boundaryTracker // of the answers
	readErr error
}

// NewServerConn guards a connection that answers come on. Their heads have mostHead bytes at most.
func NewServerConn(c net.Conn, maxHeadBytes int) *ServerConn {
	return &ServerConn{Conn: c, tracker: boundaryTracker{isResponse: true, contentLength: -1, maxHeadBytes: maxHeadBytes}}
}

// Read implements net.Conn. Danger: http.Transport takes bytes that follow an answer for the next request's, where one
// waits for the connection. So none that nobody asked for get there, nor a head that can be read in two ways.
func (c *ServerConn) Read(p []byte) (int, error) {
	if c.readErr != nil {
		return 0, c.readErr
	}
	n, err := c.Conn.Read(p)
	if plain := c.tracker.consume(p[:n]); plain < n {
		c.readErr = ErrAmbiguous
		if plain == 0 {
			return 0, c.readErr
		}
		return plain, nil
	}
	return n, err
}

// Write implements net.Conn. An answer is due from then on.
func (c *ServerConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.responseDue.Store(true) // before an answer can come
	// Danger: a server that takes nothing would hold a long body, and its client, for good.
	if d := c.writeTimeout.Load(); d > 0 {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(time.Duration(d))); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	c.shortWrite = c.shortWrite || n < len(p)
	return n, err
}

// SetWriteTimeout bounds each later write; 0 takes the bound away.
func (c *ServerConn) SetWriteTimeout(timeout time.Duration) {
	if c.writeTimeout.Swap(int64(timeout)) != 0 && timeout == 0 {
		_ = c.SetWriteDeadline(time.Time{}) // of a write before
	}
}

// SetHeadRequest tells whether the next answers are to HEAD requests, and so have no body whatever they say. It has to be told
// before the request is written.
func (c *ServerConn) SetHeadRequest(isHead bool) { c.tracker.headRequest.Store(isHead) }

// Idle tells whether the last answer has come whole with nothing after it, so far as has been read. Only the reader may ask.
func (c *ServerConn) Idle() bool {
	return c.readErr == nil && !c.tracker.responseDue.Load() && !c.tracker.untilClose && c.tracker.headBytes == 0 && c.tracker.chunkState == notChunked
}

// Written tells how many bytes have been written, and whether a write fell short.
func (c *ServerConn) Written() (bytes int64, shortWrite bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written, c.shortWrite
}
