package link

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"gradeusher.example/gradeusher/internal/lab/clock"
)

const chunkBytes = 16 << 10 // that one read of a socket takes at most

// Conn is the far end of a connection over a link. One goroutine may read and another one write. A goroutine of its own receives until
// the near end closes, and a second one sends once the link was not plain; Close waits for both.
type Conn struct {
	*net.TCPConn
	link         *Link
	inbound      pipe // from the near end
	outbound     pipe // to the near end; unused until the link is not plain for the first time
	peerClosed   chan struct{}
	peerClosedAt atomic.Int64 // ns of the lab's clock; 0: not yet
	closeOnce    sync.Once
	done         chan struct{} // closed when this end has shut the connection down
	forgotten    atomic.Bool
	tasks        sync.WaitGroup
	sending      atomic.Bool // sendLoop runs
}

// Wrap puts a link in front of an accepted connection, which it owns from then on. Close, Reset and Link.Reset end it.
func Wrap(tcp *net.TCPConn, link *Link) *Conn {
	conn := &Conn{TCPConn: tcp, link: link, peerClosed: make(chan struct{}), done: make(chan struct{})}
	conn.inbound.init()
	conn.outbound.init()
	link.add(conn)
	conn.tasks.Add(1)
	go conn.receiveLoop()
	return conn
}

// receiveLoop reads what the near end sends whatever the state of the link, so that the moment of its close is known.
func (c *Conn) receiveLoop() {
	defer c.tasks.Done()
	buf := make([]byte, chunkBytes)
	for {
		n, err := c.TCPConn.Read(buf)
		now := clock.Now()
		if n > 0 && !c.inbound.write(buf[:n], now, c.link.dueAt(now), c.done) {
			return
		}
		if err != nil {
			c.peerClosedAt.Store(now)
			close(c.peerClosed)
			c.inbound.closeWithError(io.EOF)
			// The connection stays registered with the link until it is shut down. Danger: a blocked link does not show the far end
			// that the near end has closed; only a reset ends its read then.
			if c.forgotten.Load() {
				c.shutdown()
			}
			return
		}
	}
}

// PeerClosed is closed once the near end has closed the connection, also where a blocked link does not let Read see it yet.
func (c *Conn) PeerClosed() <-chan struct{} { return c.peerClosed }

// PeerClosedAt is when the near end closed the connection, in ns of the lab's clock; 0: it has not.
func (c *Conn) PeerClosedAt() int64 { return c.peerClosedAt.Load() }

// ReceivedAt is when the near end sent the last bytes that Read returned, in ns of the lab's clock.
func (c *Conn) ReceivedAt() int64 { return c.inbound.receivedAt() }

// Read returns what has arrived over the link: io.EOF after all that the near end sent before it closed, net.ErrClosed after a
// reset by this end.
func (c *Conn) Read(p []byte) (int, error) { return c.inbound.read(p, c.link, ToFar, c.done) }

// Write sends to the near end. Over a link that is not plain it buffers and returns before the bytes have arrived. It blocks while
// the buffer is full, and fails with net.ErrClosed once the connection is shut down.
func (c *Conn) Write(p []byte) (int, error) {
	if state, _ := c.link.State(); state.plain() && !c.sending.Load() {
		return c.TCPConn.Write(p)
	}
	now := clock.Now()
	if !c.outbound.write(p, now, c.link.dueAt(now), c.done) {
		return 0, net.ErrClosed
	}
	if c.sending.CompareAndSwap(false, true) {
		c.tasks.Add(1)
		go c.sendLoop()
	}
	return len(p), nil
}

// sendLoop sends what is buffered until the connection ends.
func (c *Conn) sendLoop() {
	defer c.tasks.Done()
	buf := make([]byte, chunkBytes)
	for {
		n, err := c.outbound.read(buf, c.link, ToNear, c.done)
		if err == nil {
			_, err = c.TCPConn.Write(buf[:n])
		}
		if err != nil {
			return
		}
	}
}

// WaitFlushed waits until all that was written has crossed the link, and returns when that was observed, in ns of the lab's clock; ok is
// false where the connection ended before.
func (c *Conn) WaitFlushed() (at int64, ok bool) {
	if c.outbound.waitDrained(c.done, c.peerClosed) {
		return clock.Now(), true
	}
	return 0, false
}

// Close ends the connection once what was written has crossed the link. A forgotten connection stays half open until the near end
// closes it. The error is always nil.
func (c *Conn) Close() error {
	if c.forgotten.Load() {
		return nil
	}
	c.outbound.waitDrained(c.done, c.peerClosed)
	c.shutdown()
	c.tasks.Wait()
	return nil
}

// Reset ends the connection so that the near end receives a TCP reset.
func (c *Conn) Reset() {
	_ = c.SetLinger(0) // fails only after a close
	c.shutdown()
}

// shutdown closes the socket and ends both loops, once.
func (c *Conn) shutdown() {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.TCPConn.Close() // the near end is sent nothing more
		c.link.remove(c)
	})
}

// forget fails this end's reads and drops its writes, and sends nothing: the connection is half open at the near end.
func (c *Conn) forget() {
	c.forgotten.Store(true)
	c.inbound.closeWithError(errForgotten)
	c.outbound.closeWithError(errForgotten)
}

// errForgotten is what this end reads from a connection that it has lost (Link.Forget).
var errForgotten = errors.New("link: forgotten")
