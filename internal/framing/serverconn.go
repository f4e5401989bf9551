package framing

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// ServerConn is a connection to a server that counts what was written to it, and ends before bytes that no request asked for
// and before a head that can be read in two ways. Danger: a request taken for unwritten that was written runs twice.
type ServerConn struct {
	net.Conn
	guard        readGuard
	writeTimeout atomic.Int64 // of each write, in nanoseconds; 0: none

	mu         sync.Mutex
	written    int64
	shortWrite bool
}

// NewServerConn guards a connection that responses come on. A head has at most maxHeadBytes bytes.
func NewServerConn(c net.Conn, maxHeadBytes int) *ServerConn {
	return &ServerConn{Conn: c, guard: readGuard{tracker: newResponseTracker(maxHeadBytes)}}
}

// Read implements net.Conn. It fails with ErrAmbiguous before a byte that no request asked for and before the end of a head
// that is not plain. Danger: http.Transport takes bytes that follow a response for the next request's response.
func (c *ServerConn) Read(p []byte) (int, error) {
	if c.guard.err != nil {
		return 0, c.guard.err
	}
	n, err := c.Conn.Read(p)
	return c.guard.admit(p[:n], err)
}

// Write implements net.Conn. A response is due from then on.
func (c *ServerConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard.tracker.responseDue.Store(true) // before a response can come
	// Danger: a server that accepts nothing would hold a long body, and its client, without end.
	if timeout := c.writeTimeout.Load(); timeout > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(time.Duration(timeout))); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	c.shortWrite = c.shortWrite || n < len(p)
	return n, err
}

// SetWriteTimeout bounds each later write; 0 removes the bound.
func (c *ServerConn) SetWriteTimeout(timeout time.Duration) {
	if c.writeTimeout.Swap(int64(timeout)) != 0 && timeout == 0 {
		_ = c.SetWriteDeadline(time.Time{}) // that of the last write
	}
}

// SetHeadRequest says whether the next responses are to HEAD requests, and so have no body whatever they say. It has to be
// called before the request is written.
func (c *ServerConn) SetHeadRequest(isHead bool) { c.guard.tracker.headRequest.Store(isHead) }

// Idle reports whether the last response has come completely and nothing has been read after it. Only the reading goroutine
// may call it.
func (c *ServerConn) Idle() bool {
	t := c.guard.tracker
	return c.guard.err == nil && !t.responseDue.Load() && !t.untilClose && t.headBytes == 0 && t.chunkState == notChunked
}

// Written returns how many bytes the system has accepted, and whether it ever accepted only part of a write.
func (c *ServerConn) Written() (bytes int64, shortWrite bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written, c.shortWrite
}
