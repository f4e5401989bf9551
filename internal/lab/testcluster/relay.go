package testcluster

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"gradeusher.example/gradeusher/internal/lab/link"
)

const (
	relayDialTimeout  = time.Second
	relayBufferBytes  = 16 << 10
	maxRelayedConns   = 2048 // connections of one relay at a time; more are reset
	maxPendingPackets = 1024 // on their way over one relay at a time; more are lost
)

// relay leads connections to an address over a link with faults. A call to one that nobody answers comes up and is reset.
type relay struct {
	listener net.Listener
	to       string
	link     *link.Link
	// pick gives the link of a connection by its first bytes; nil: they all have the same.
	pick      func(first []byte) *link.Link
	open      atomic.Int32
	nearConns sync.Map // link.Conn by the address from which the far end is called
	wait      sync.WaitGroup

	mu                 sync.Mutex
	closed             bool
	awaitingFirstBytes map[*net.TCPConn]bool // connections on which nothing has come yet, where there is pick
	picked             map[*link.Link]bool
}

func newRelay(at, to string, over *link.Link) (*relay, error) {
	return newPickingRelay(at, to, over, nil)
}

// newPickingRelay gives one that leads connections over links that their first bytes tell.
func newPickingRelay(at, to string, over *link.Link, pick func([]byte) *link.Link) (*relay, error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", at)
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, to: to, link: over, pick: pick, awaitingFirstBytes: map[*net.TCPConn]bool{}, picked: map[*link.Link]bool{}}
	r.wait.Go(r.accept)
	return r, nil
}

func (r *relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return // the relay was closed
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok || r.open.Load() >= maxRelayedConns {
			_ = c.Close()
			continue
		}
		r.open.Add(1)
		r.wait.Go(func() {
			defer r.open.Add(-1)
			if over := r.linkOf(tcp); over != nil {
				r.forward(link.Wrap(tcp, over))
			}
		})
	}
}

// linkOf gives the link of a connection, once its first bytes are there where they tell which; nil: it was closed before.
func (r *relay) linkOf(conn *net.TCPConn) *link.Link {
	if r.pick == nil {
		return r.link
	}
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		_ = conn.Close()
		return nil
	}
	r.awaitingFirstBytes[conn] = true
	r.mu.Unlock()
	first := make([]byte, relayBufferBytes)
	n := peek(conn, first)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.awaitingFirstBytes, conn)
	if n <= 0 || r.closed {
		_ = conn.Close()
		return nil
	}
	over := r.pick(first[:n])
	r.picked[over] = true
	return over
}

// peek waits until bytes have come, and gives them without taking them; 0: the connection has ended.
func peek(c *net.TCPConn, p []byte) (n int) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	err = raw.Read(func(fd uintptr) bool {
		var inner error
		n, _, inner = unix.Recvfrom(int(fd), p, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return !errors.Is(inner, unix.EAGAIN) && !errors.Is(inner, unix.EINTR)
	})
	if err != nil {
		return 0
	}
	return n
}

// forward passes bytes both ways until either end is through. Danger: a call that the link holds back must not come up at the
// far end before its first bytes have crossed.
func (r *relay) forward(near *link.Conn) {
	defer func() { _ = near.Close() }() // it may be closed already
	first := make([]byte, relayBufferBytes)
	count, err := near.Read(first)
	if err != nil {
		return
	}
	far, err := (&net.Dialer{Timeout: relayDialTimeout}).DialContext(context.Background(), "tcp4", r.to)
	if err != nil {
		near.Reset()
		return
	}
	defer func() { _ = far.Close() }() // it may be closed already
	r.nearConns.Store(far.LocalAddr().String(), near)
	defer r.nearConns.Delete(far.LocalAddr().String())
	var back sync.WaitGroup
	back.Go(func() {
		_, err := io.Copy(struct{ io.Writer }{near}, struct{ io.Reader }{far}) // not by ways that lead past the link
		if err != nil && !errors.Is(err, net.ErrClosed) {
			near.Reset() // as the far end did
			return
		}
		_ = near.Close() // which ends the other way
	})
	if _, err := far.Write(first[:count]); err == nil {
		_, _ = io.Copy(struct{ io.Writer }{far}, struct{ io.Reader }{near}) // the way back tells how it ended
	}
	_ = far.Close() // which ends the way back
	back.Wait()
}

// sentAgo is how long ago the last bytes that came from an address were sent by the near end; 0: it is not known.
func (r *relay) sentAgo(far string, now int64) time.Duration {
	if near, ok := r.nearConns.Load(far); ok {
		if conn, ok := near.(*link.Conn); ok {
			return max(0, time.Duration(now-conn.ReceivedAt()))
		}
	}
	return 0
}

// close ends the relay and its connections. Those of others over the same link end too.
func (r *relay) close() {
	_ = r.listener.Close()
	r.link.Reset()
	r.mu.Lock()
	r.closed = true
	for c := range r.awaitingFirstBytes {
		_ = c.Close()
	}
	for l := range r.picked {
		l.Reset()
	}
	r.mu.Unlock()
	r.wait.Wait()
}

// packetRelay leads packetRelay to an address over a link with faults, one way.
type packetRelay struct {
	in      net.PacketConn
	out     net.Conn
	link    *link.Link
	pending atomic.Int32
	wait    sync.WaitGroup
}

func newPacketRelay(at, to string, over *link.Link) (*packetRelay, error) {
	in, err := new(net.ListenConfig).ListenPacket(context.Background(), "udp4", at)
	if err != nil {
		return nil, err
	}
	out, err := new(net.Dialer).DialContext(context.Background(), "udp4", to)
	if err != nil {
		_ = in.Close()
		return nil, err
	}
	p := &packetRelay{in: in, out: out, link: over}
	p.wait.Go(p.run)
	return p, nil
}

func (p *packetRelay) run() {
	buf := make([]byte, relayBufferBytes)
	for {
		n, _, err := p.in.ReadFrom(buf)
		if err != nil {
			return // closed
		}
		wait, passes := p.link.DrawPacket()
		if !passes || p.pending.Load() >= maxPendingPackets {
			continue
		}
		if wait <= 0 {
			_, _ = p.out.Write(buf[:n]) // as packets are: nobody learns that one is lost
			continue
		}
		packet := append([]byte(nil), buf[:n]...)
		p.pending.Add(1)
		p.wait.Add(1)
		time.AfterFunc(wait, func() {
			defer p.wait.Done()
			defer p.pending.Add(-1)
			_, _ = p.out.Write(packet)
		})
	}
}

func (p *packetRelay) close() {
	_ = p.in.Close()
	p.wait.Wait()
	_ = p.out.Close()
}
