package framing

import (
	"net"
	"sync/atomic"
	"time"
)

// processStart is what moments are counted from, so that no jump of the wall clock moves them.
var processStart = time.Now()

// ClientConn is a client's connection that ends before a head whose body's end could be read in two ways.
//
// Danger: http.Server lets Transfer-Encoding win over Content-Length, ignores it in HTTP/1.0, joins folded lines and
// takes a bare line feed for a line's end. A peer or a server that reads the same bytes otherwise sees the rest of the
// body as a request, and one that no client sent would run. So heads are checked here, where they are still bytes, and
// http.Server gets no last byte of one that is not plain.
type ClientConn struct {
	*net.TCPConn
	guard        readGuard
	rejected     *atomic.Int64 // counts the connections that were ended here
	readAny      bool          // a byte has been read
	midRequest   atomic.Bool
	requestStart atomic.Int64 // nanoseconds after processStart
}

// NewClientConn guards a connection that requests come on. A head has at most maxHeadBytes bytes; rejected counts the
// connections that were ended for their framing.
func NewClientConn(c *net.TCPConn, maxHeadBytes int, rejected *atomic.Int64) *ClientConn {
	conn := &ClientConn{TCPConn: c, guard: readGuard{tracker: newRequestTracker(maxHeadBytes)}, rejected: rejected}
	conn.requestStart.Store(int64(time.Since(processStart))) // a first request's time begins with its connection
	return conn
}

// MidRequest reports whether part of a request has been read, and not all of it. It is safe for concurrent use.
func (c *ClientConn) MidRequest() bool { return c.midRequest.Load() }

// RequestStart is when the current or the latest request began: when its first byte was read, or, for a connection's first
// request, when the connection was accepted. It is safe for concurrent use.
func (c *ClientConn) RequestStart() time.Time {
	return processStart.Add(time.Duration(c.requestStart.Load()))
}

// Read implements net.Conn. It fails with ErrAmbiguous before the end of a head that is not plain.
func (c *ClientConn) Read(p []byte) (int, error) {
	if c.guard.err != nil {
		return 0, c.guard.err
	}
	count, err := c.TCPConn.Read(p)
	if count > 0 && c.readAny && !c.midRequest.Load() {
		c.requestStart.Store(int64(time.Since(processStart)))
	}
	c.readAny = c.readAny || count > 0
	count, err = c.guard.admit(p[:count], err)
	c.midRequest.Store(c.guard.tracker.midMessage())
	if c.guard.err != nil {
		c.rejected.Add(1)
	}
	return count, err
}

// Write implements net.Conn. Danger: net/http closes a connection where a write fails, and the system would keep unsent data
// for a peer that accepts nothing for as long as that peer likes. So that data is dropped, and the peer gets a reset, which
// also tells it that a response that ends with its connection is not complete.
func (c *ClientConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		_ = c.SetLinger(0)
	}
	return n, err
}
