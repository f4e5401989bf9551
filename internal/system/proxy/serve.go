package proxy

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/framing"
)

// maxAcceptRounds bounds how long connections that keep coming hold a planned end up.
const maxAcceptRounds = 8

// discardLog drops what net/http says about single connections: the counters tell.
var discardLog = stdlog.New(io.Discard, "", 0)

// handoffListener is a listener for connections that have been accepted elsewhere.
type handoffListener struct {
	address   net.Addr
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

func newHandoffListener(a net.Addr) *handoffListener {
	return &handoffListener{address: a, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// offer hands a connection over, and tells whether it was taken.
func (h *handoffListener) offer(c net.Conn) bool {
	select {
	case h.conns <- c:
		return true
	case <-h.closed:
		return false
	}
}

func (h *handoffListener) shut() { h.closeOnce.Do(func() { close(h.closed) }) }

// Accept implements net.Listener.
func (h *handoffListener) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *handoffListener) Close() error {
	h.shut()
	return nil
}

// Addr implements net.Listener.
func (h *handoffListener) Addr() net.Addr { return h.address }

// Serve takes clients' connections from a TCP listener until Drain has ended or ctx is done, closes the listener, and
// returns when everything that it started has ended. It may be called once. It fails with ErrListener.
func (p *Proxy) Serve(ctx context.Context, listener net.Listener) error {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return errors.Mark(errors.Newf("a listener of type %T: give a TCP listener", listener), ErrListener)
	}
	f := p.clients
	defer close(f.serveDone)
	defer f.shutdown()
	defer tcp.Close()
	f.mu.Lock()
	f.listener = tcp
	f.mu.Unlock()
	if f.draining.Load() { // Drain may not have seen the listener
		return nil
	}
	unwatch := context.AfterFunc(ctx, func() { _ = tcp.Close() })
	defer unwatch()
	defer p.watchStalls(ctx)()
	rounds, taken := 0, false // of looking for connections left waiting, once a planned end has told to stop
	failed := false
	for {
		if !f.awaitCapacity(ctx) {
			return nil
		}
		c, err := tcp.AcceptTCP()
		failing := failed
		failed = false
		switch {
		case err == nil:
			taken = true
			if raw, err := c.SyscallConn(); err == nil {
				_ = setUnackedTimeout(raw)
			}
			f.handOff(framing.NewClientConn(c, maxHeadBytes, &p.counters.Rejected))
		case errors.Is(err, os.ErrDeadlineExceeded):
			// Danger: a deadline can pass with connections waiting, and closing the listener resets them.
			if rounds > 0 && !taken || rounds == maxAcceptRounds {
				_ = tcp.Close()
				f.awaitConnsClosed(ctx)
				return nil
			}
			rounds, taken = rounds+1, false
			if err := tcp.SetDeadline(time.Now().Add(minIdleBeforeClose)); err != nil {
				return nil
			}
		case errors.Is(err, net.ErrClosed):
			if ctx.Err() != nil {
				return nil
			}
			return errors.Mark(errors.Wrap(err, "the listener was closed by others"), ErrListener)
		default: // descriptors are short, or the client has gone
			if failed = true; !failing {
				p.options.Log.WithError(err).Warn("proxy: a connection could not be taken")
			}
			sleep(ctx, acceptBackoff)
		}
	}
}

// awaitCapacity waits until one more connection may be taken, and tells whether one may before ctx is done.
func (f *clientListener) awaitCapacity(ctx context.Context) bool {
	for f.connCount() >= f.maxConns {
		if f.closeLongestIdle(time.Now()) {
			continue
		}
		select {
		case <-ctx.Done():
			return false
		case <-f.connsChanged:
		case <-time.After(drainPollInterval): // one may have become idle
		}
	}
	return ctx.Err() == nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Drain ends Serve as planned work does: from now on every answer announces the end of its connection; connections are
// taken for a part of GraceFor still, as clients learn late that they are to go elsewhere; idle ones are closed; what has
// been read is answered. It returns when no connection is left, or GraceFor is nearly over, or ctx is done; Serve ends
// then. The caller has had readiness and the directory turn clients away before.
func (p *Proxy) Drain(ctx context.Context) {
	f := p.clients
	if f.draining.Swap(true) {
		return
	}
	p.options.Log.WithField("connections", f.connCount()).Info("proxy: draining")
	startedAt := time.Now()
	f.mu.Lock()
	listener := f.listener
	f.mu.Unlock()
	if listener == nil {
		return
	}
	// Clients hold the directory's answer for some seconds; new ones are answered as before.
	sleep(ctx, p.options.GracePeriod/4)
	_ = listener.SetDeadline(time.Now().Add(p.options.GracePeriod / 8))
	end := startedAt.Add(p.options.GracePeriod - min(p.options.GracePeriod/8, 500*time.Millisecond))
	for ctx.Err() == nil && time.Now().Before(end) {
		f.closeIdleConns(time.Now())
		select {
		case <-ctx.Done():
		case <-f.serveDone:
			p.options.Log.Info("proxy: drained")
			return
		case <-time.After(drainPollInterval):
		}
	}
	p.options.Log.WithField("connections", f.connCount()).Warn("proxy: the time for draining is up")
	_ = listener.SetDeadline(time.Now())
	close(f.drainExpired)
	<-f.serveDone
}

// watchStalls has stalls of the process noticed until the returned function is called.
func (p *Proxy) watchStalls(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var watch sync.WaitGroup
	watch.Go(func() { p.picker.watchStalls(ctx) })
	return func() {
		cancel()
		watch.Wait()
	}
}

// awaitConnsClosed returns when no connection is left, or none is waited for any more.
func (f *clientListener) awaitConnsClosed(ctx context.Context) {
	for f.connCount() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-f.drainExpired:
			return
		case <-f.connsChanged:
		}
	}
}
