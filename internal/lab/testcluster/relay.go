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
	relayDialTimeout = time.Second
	relayBufferBytes = 16 << 10
	maxRelayedConns  = 2048 // of one relay at a time; more are closed
)

// relay forwards connections to an address over a link with faults. The near end is the one that connects, the far end the one that it
// reaches. If nobody listens at the far end, the near end's connection comes up and is reset.
type relay struct {
	listener net.Listener
	to       string // address of the far end
	link     *link.Link
	// pick returns the link of a connection by its first bytes; nil: all connections go over link.
	pick      func(first []byte) *link.Link
	open      atomic.Int32 // connections
	nearConns sync.Map     // *link.Conn by the local address of the connection to the far end
	wait      sync.WaitGroup
	stop      chan struct{} // closed by close
	onError   func(error)   // is called with errors of accepting that the relay outlives

	mu                 sync.Mutex
	closed             bool
	awaitingFirstBytes map[*net.TCPConn]bool // connections whose link is not picked yet
	picked             map[*link.Link]bool
}

func newRelay(at, to string, over *link.Link, onError func(error)) (*relay, error) {
	return newPickingRelay(at, to, over, nil, onError)
}

// newPickingRelay returns a relay that forwards each connection over the link that pick returns for its first bytes.
func newPickingRelay(at, to string, over *link.Link, pick func([]byte) *link.Link, onError func(error)) (*relay, error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", at)
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, to: to, link: over, pick: pick, stop: make(chan struct{}), onError: onError,
		awaitingFirstBytes: map[*net.TCPConn]bool{}, picked: map[*link.Link]bool{}}
	r.wait.Go(r.accept)
	return r, nil
}

// accept forwards connections until the relay is closed.
func (r *relay) accept() {
	retry := link.Retry{Stop: r.stop, OnError: r.onError}
	for {
		c, err := r.listener.Accept()
		if err != nil {
			if retry.After(err) {
				continue
			}
			return
		}
		retry.Reset()
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

// linkOf returns the link of a connection. Where the link depends on the first bytes, it waits for them, and returns nil if the connection
// ends before.
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

// peek waits until bytes have come, and copies them into p without consuming them. It returns 0 if the connection has ended.
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

// forward passes bytes both ways until either end closes. It connects to the far end only when the first bytes have crossed the link: where
// the link holds them back, the far end must not see a connection either.
func (r *relay) forward(near *link.Conn) {
	defer func() { _ = near.Close() }() // It may be closed already.
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
	defer func() { _ = far.Close() }() // It may be closed already.
	r.nearConns.Store(far.LocalAddr().String(), near)
	defer r.nearConns.Delete(far.LocalAddr().String())
	var back sync.WaitGroup
	back.Go(func() {
		// The structs hide ReadFrom and WriteTo, by which io.Copy would bypass the link.
		_, err := io.Copy(struct{ io.Writer }{near}, struct{ io.Reader }{far})
		if err != nil && !errors.Is(err, net.ErrClosed) {
			near.Reset() // as the far end did
			return
		}
		_ = near.Close() // This ends the other direction.
	})
	if _, err := far.Write(first[:count]); err == nil {
		_, _ = io.Copy(struct{ io.Writer }{far}, struct{ io.Reader }{near}) // The other direction reports how it ended.
	}
	_ = far.Close() // This ends the other direction.
	back.Wait()
}

// sentAgo returns how long before now the near end sent the last bytes of the connection that reaches the far end from an address; 0 if that
// is not known. now is a reading of clock.Now.
func (r *relay) sentAgo(far string, now int64) time.Duration {
	if near, ok := r.nearConns.Load(far); ok {
		if conn, ok := near.(*link.Conn); ok {
			return max(0, time.Duration(now-conn.ReceivedAt()))
		}
	}
	return 0
}

// close ends the relay and its connections. Connections of other relays over the same links are reset too.
func (r *relay) close() {
	close(r.stop)
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
