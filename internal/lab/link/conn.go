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

// Conn is the far end of a connection over a link. Read and Write are for one goroutine each.
type Conn struct {
	*net.TCPConn
	link         *Link
	inbound      pipe // from the near end
	outbound     pipe // to it, while the link is not plain
	peerClosed   chan struct{}
	peerClosedAt atomic.Int64 // when the near end ended it; 0: not yet
	closeOnce    sync.Once
	done         chan struct{} // this end is through with it
	forgotten    atomic.Bool
	tasks        sync.WaitGroup
	sending      atomic.Bool // a goroutine empties out
}

// Wrap puts a link in front of an accepted connection. Close, Reset or the link's own faults end it.
func Wrap(tcp *net.TCPConn, link *Link) *Conn {
	conn := &Conn{TCPConn: tcp, link: link, peerClosed: make(chan struct{}), done: make(chan struct{})}
	conn.inbound.init()
	conn.outbound.init()
	link.add(conn)
	conn.tasks.Add(1)
	go conn.receiveLoop()
	return conn
}

// receiveLoop reads what the near end sends, whatever the link's state, so that the moment when it hangs up is known.
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
			// It stays one of the link's until its end is closed. Danger: a held link does not show the far end that the near end
			// hung up, and only a reset has it stop waiting.
			if c.forgotten.Load() {
				c.shutdown()
			}
			return
		}
	}
}

// PeerClosed is closed when the near end has hung up, though a held link may not show it yet.
func (c *Conn) PeerClosed() <-chan struct{} { return c.peerClosed }

// PeerClosedAt is when the near end hung up, in ns of the lab's clock; 0: it has not.
func (c *Conn) PeerClosedAt() int64 { return c.peerClosedAt.Load() }

// ReceivedAt is when the near end sent the last bytes that Read returned.
func (c *Conn) ReceivedAt() int64 { return c.inbound.receivedAt() }

// Read returns what has arrived over the link. The near end's hanging up shows as io.EOF after all it sent.
func (c *Conn) Read(p []byte) (int, error) { return c.inbound.read(p, c.link, ToFar, c.done) }

// Write sends to the near end. It returns before the bytes have crossed a link that is not plain.
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

// sendLoop empties out for the rest of the connection's life.
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

// WaitFlushed waits until all that was written has crossed the link, and tells when that was seen; ok is false where the
// connection ended before.
func (c *Conn) WaitFlushed() (at int64, ok bool) {
	if c.outbound.waitDrained(c.done, c.peerClosed) {
		return clock.Now(), true
	}
	return 0, false
}

// Close ends the connection as soon as what was written has crossed. A forgotten one is left as it is until the near end
// hangs up.
func (c *Conn) Close() error {
	if c.forgotten.Load() {
		return nil
	}
	c.outbound.waitDrained(c.done, c.peerClosed)
	c.shutdown()
	c.tasks.Wait()
	return nil
}

// Reset ends the connection so that the near end sees it reset.
func (c *Conn) Reset() {
	_ = c.SetLinger(0) // fails only where it is closed
	c.shutdown()
}

func (c *Conn) shutdown() {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.TCPConn.Close() // nothing is owed to the near end any more
		c.link.remove(c)
	})
}

// forget has this end see a reset, and the near end nothing at all: it holds a half-open connection.
func (c *Conn) forget() {
	c.forgotten.Store(true)
	c.inbound.closeWithError(errForgotten)
	c.outbound.closeWithError(errForgotten)
}

var errForgotten = errors.New("link: forgotten")
