package link

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"gradeusher.example/gradeusher/internal/lab/clock"
)

const (
	mostHeld  = 256 << 10 // bytes of one direction that a connection keeps back; then the sender waits
	chunkSize = 16 << 10
)

// Conn is the far end of a connection over a link. Read and Write are for one goroutine each.
type Conn struct {
	*net.TCPConn
	link   *Link
	in     pipe // from the near end
	out    pipe // to it, while the link is not plain
	gone   chan struct{}
	closed atomic.Int64 // when the near end ended it; 0: not yet
	kill   sync.Once
	dead   chan struct{} // this end is through with it
	forgot atomic.Bool
	wait   sync.WaitGroup
	sends  atomic.Bool // a goroutine empties out
}

// Wrap puts a link in front of an accepted connection. Close, Reset or the link's own faults end it.
func Wrap(c *net.TCPConn, l *Link) *Conn {
	w := &Conn{TCPConn: c, link: l, gone: make(chan struct{}), dead: make(chan struct{})}
	w.in.init()
	w.out.init()
	l.add(w)
	w.wait.Add(1)
	go w.pump()
	return w
}

// pump reads what the near end sends, whatever the link's state, so that the moment when it hangs up is known.
func (c *Conn) pump() {
	defer c.wait.Done()
	buf := make([]byte, chunkSize)
	for {
		n, err := c.TCPConn.Read(buf)
		now := clock.Now()
		if n > 0 && !c.in.put(buf[:n], now, c.link.due(now), c.dead) {
			return
		}
		if err != nil {
			c.closed.Store(now)
			close(c.gone)
			c.in.fail(io.EOF)
			// It stays one of the link's until its end is closed. Danger: a held link does not show the far end that the near end
			// hung up, and only a reset has it stop waiting.
			if c.forgot.Load() {
				c.finish()
			}
			return
		}
	}
}

// PeerClosed is closed when the near end has hung up, though a held link may not show it yet.
func (c *Conn) PeerClosed() <-chan struct{} { return c.gone }

// PeerClosedAt is when the near end hung up, in ns of the lab's clock; 0: it has not.
func (c *Conn) PeerClosedAt() int64 { return c.closed.Load() }

// ReceivedAt is when the near end sent the last bytes that Read returned.
func (c *Conn) ReceivedAt() int64 { return c.in.cameAt() }

// Read returns what has arrived over the link. The near end's hanging up shows as io.EOF after all it sent.
func (c *Conn) Read(p []byte) (int, error) { return c.in.get(p, c.link, ToFar, c.dead) }

// Write sends to the near end. It returns before the bytes have crossed a link that is not plain.
func (c *Conn) Write(p []byte) (int, error) {
	if state, _ := c.link.State(); state.plain() && !c.sends.Load() {
		return c.TCPConn.Write(p)
	}
	now := clock.Now()
	if !c.out.put(p, now, c.link.due(now), c.dead) {
		return 0, net.ErrClosed
	}
	if c.sends.CompareAndSwap(false, true) {
		c.wait.Add(1)
		go c.send()
	}
	return len(p), nil
}

// send empties out for the rest of the connection's life.
func (c *Conn) send() {
	defer c.wait.Done()
	buf := make([]byte, chunkSize)
	for {
		n, err := c.out.get(buf, c.link, ToNear, c.dead)
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
	if c.out.drained(c.dead, c.gone) {
		return clock.Now(), true
	}
	return 0, false
}

// Close ends the connection as soon as what was written has crossed. A forgotten one is left as it is until the near end
// hangs up.
func (c *Conn) Close() error {
	if c.forgot.Load() {
		return nil
	}
	c.out.drained(c.dead, c.gone)
	c.finish()
	c.wait.Wait()
	return nil
}

// Reset ends the connection so that the near end sees it reset.
func (c *Conn) Reset() {
	_ = c.SetLinger(0) // fails only where it is closed
	c.finish()
}

func (c *Conn) finish() {
	c.kill.Do(func() {
		close(c.dead)
		_ = c.TCPConn.Close() // nothing is owed to the near end any more
		c.link.remove(c)
	})
}

// forget has this end see a reset, and the near end nothing at all: it holds a half-open connection.
func (c *Conn) forget() {
	c.forgot.Store(true)
	c.in.fail(errForgotten)
	c.out.fail(errForgotten)
}

var errForgotten = errors.New("link: forgotten")

// pipe is one direction of a connection: bytes kept back until they are due and the link lets them pass.
type pipe struct {
	mu      sync.Mutex
	chunks  []chunk
	size    int
	ended   error         // after all chunks
	filled  chan struct{} // a token: something came
	emptied chan struct{} // a token: something went
	came    int64         // of the last bytes gotten
	sending bool          // a chunk was gotten and may not be written yet
}

type chunk struct {
	data []byte
	came int64
	due  int64
}

func (p *pipe) init() { p.filled, p.emptied = make(chan struct{}, 1), make(chan struct{}, 1) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// put keeps a copy of data back. It waits while the pipe is full, and tells false when dead ends that.
func (p *pipe) put(data []byte, came, due int64, dead <-chan struct{}) bool {
	for {
		p.mu.Lock()
		if p.ended != nil && p.ended != io.EOF {
			p.mu.Unlock()
			return true // nobody wants it
		}
		if p.size < mostHeld {
			if n := len(p.chunks); n > 0 {
				due = max(due, p.chunks[n-1].due)
			}
			p.chunks = append(p.chunks, chunk{append([]byte(nil), data...), came, due})
			p.size += len(data)
			p.mu.Unlock()
			signal(p.filled)
			return true
		}
		p.mu.Unlock()
		select {
		case <-p.emptied:
		case <-dead:
			return false
		}
	}
}

// fail ends the pipe: with io.EOF after what it holds, else at once.
func (p *pipe) fail(err error) {
	p.mu.Lock()
	if p.ended == nil || err != io.EOF {
		p.ended = err
	}
	if err != io.EOF {
		p.chunks, p.size = nil, 0
	}
	p.mu.Unlock()
	signal(p.filled)
	signal(p.emptied)
}

func (p *pipe) cameAt() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.came
}

// get takes what is due and allowed, and waits for it.
func (p *pipe) get(buf []byte, l *Link, d Direction, dead <-chan struct{}) (int, error) {
	for {
		state, changed := l.State()
		p.mu.Lock()
		p.sending = false
		if len(p.chunks) == 0 && p.ended == nil {
			p.mu.Unlock()
			signal(p.emptied)
			select {
			case <-p.filled:
				continue
			case <-dead:
				return 0, net.ErrClosed
			}
		}
		if state.Hold[d] && (p.ended == nil || p.ended == io.EOF) {
			p.mu.Unlock()
			select {
			case <-changed:
				continue
			case <-p.filled:
				continue
			case <-dead:
				return 0, net.ErrClosed
			}
		}
		if len(p.chunks) == 0 {
			err := p.ended
			p.mu.Unlock()
			return 0, err
		}
		first := &p.chunks[0]
		if left := clock.Until(first.due); left > 0 {
			p.mu.Unlock()
			if !sleep(left, dead) {
				return 0, net.ErrClosed
			}
			continue
		}
		if state.Rate > 0 {
			buf = buf[:min(len(buf), max(1, state.Rate/trickles))]
		}
		n := copy(buf, first.data)
		p.came, p.sending = first.came, true
		if first.data = first.data[n:]; len(first.data) == 0 {
			p.chunks = p.chunks[1:]
		}
		p.size -= n
		p.mu.Unlock()
		signal(p.emptied)
		if state.Rate > 0 && !sleep(time.Duration(n)*time.Second/time.Duration(state.Rate), dead) {
			return 0, net.ErrClosed
		}
		return n, nil
	}
}

const trickles = 20 // pieces a second in which a slow link passes bytes

func sleep(d time.Duration, dead <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-dead:
		return false
	}
}

// drained waits until nothing is kept back. It tells false when stop or gone ends that.
func (p *pipe) drained(stop, gone <-chan struct{}) bool {
	for {
		p.mu.Lock()
		empty := len(p.chunks) == 0 && !p.sending
		p.mu.Unlock()
		if empty {
			return true
		}
		select {
		case <-p.emptied:
		case <-stop:
			return false
		case <-gone:
			return false
		}
	}
}
