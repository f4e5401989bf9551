package framing

import (
	"net"
	"sync/atomic"
	"time"
)

// processStart is what moments are counted from, so that no jump of the time of day moves them.
var processStart = time.Now()

// ClientConn is a client's connection that ends before a head whose body's end could be read in two ways.
//
// Danger: http.Server lets Transfer-Encoding win over Content-Length, ignores it in HTTP/1.0, joins folded lines and
// takes a bare line feed for a line's end. A peer or a server that reads the same bytes otherwise sees the rest of the
// body as a request, and one that no client sent would run. So heads are checked here, where they are still bytes, and
// http.Server gets no last byte of one that is not plain.
type ClientConn struct {
	*net.TCPConn
	tracker      boundaryTracker
	readErr      error
	readAny      bool         // has been read
	midRequest   atomic.Bool  // part of a request has been read, and not all of it
	requestStart atomic.Int64 // when the request that is coming, or came last, began: nanoseconds after start

	rejected *atomic.Int64 // counts the connections ended here
}

// NewClientConn guards a connection that requests come on. Heads have mostHead bytes at most; improper counts the
// connections that were ended for their framing.
func NewClientConn(c *net.TCPConn, maxHeadBytes int, rejected *atomic.Int64) *ClientConn {
	conn := &ClientConn{TCPConn: c, tracker: boundaryTracker{contentLength: -1, maxHeadBytes: maxHeadBytes}, rejected: rejected}
	conn.requestStart.Store(int64(time.Since(processStart))) // a first request's time begins with its connection
	return conn
}

// MidRequest tells whether part of a request has been read, and not all of it. Any goroutine may ask.
func (c *ClientConn) MidRequest() bool { return c.midRequest.Load() }

// RequestStart is when the request that is coming, or came last, began: when its first byte was read, or for a connection's first
// request, when the connection was taken. Any goroutine may ask.
func (c *ClientConn) RequestStart() time.Time {
	return processStart.Add(time.Duration(c.requestStart.Load()))
}

// Read implements net.Conn. It fails with ErrAmbiguous before the end of a head that is not plain.
func (c *ClientConn) Read(p []byte) (int, error) {
	if c.readErr != nil {
		return 0, c.readErr
	}
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.readAny && !c.midRequest.Load() {
		c.requestStart.Store(int64(time.Since(processStart)))
	}
	c.readAny = c.readAny || n > 0
	plain := c.tracker.consume(p[:n])
	c.midRequest.Store(c.tracker.headBytes > 0 || c.tracker.bodyRemaining > 0 || c.tracker.chunkState != notChunked)
	if plain < n {
		c.readErr = ErrAmbiguous
		c.rejected.Add(1)
		if plain == 0 {
			return 0, c.readErr
		}
		return plain, nil
	}
	return n, err
}

// Write implements net.Conn. Danger: net/http closes a connection where a write fails, and a peer that takes nothing would
// have the system hold what waits for it for as long as it likes. So that is dropped, and the peer gets a reset, which also
// says that an answer whose end is the connection's is not whole.
func (c *ClientConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		_ = c.SetLinger(0)
	}
	return n, err
}
