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

// mostRounds bounds how long connections that keep coming hold a planned end up.
const mostRounds = 8

// quietLog drops what net/http says about single connections: the counters tell.
var quietLog = stdlog.New(io.Discard, "", 0)

// handoff is a listener for connections that have been accepted elsewhere.
type handoff struct {
	addr net.Addr
	come chan net.Conn
	done chan struct{}
	once sync.Once
}

func newHandoff(a net.Addr) *handoff {
	return &handoff{addr: a, come: make(chan net.Conn), done: make(chan struct{})}
}

// give hands a connection over, and tells whether it was taken.
func (h *handoff) give(c net.Conn) bool {
	select {
	case h.come <- c:
		return true
	case <-h.done:
		return false
	}
}

func (h *handoff) close() { h.once.Do(func() { close(h.done) }) }

// Accept implements net.Listener.
func (h *handoff) Accept() (net.Conn, error) {
	select {
	case c := <-h.come:
		return c, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *handoff) Close() error {
	h.close()
	return nil
}

// Addr implements net.Listener.
func (h *handoff) Addr() net.Addr { return h.addr }

// Serve takes clients' connections from a TCP listener until Drain has ended or ctx is done, closes the listener, and
// returns when everything that it started has ended. It may be called once. It fails with ErrListener.
func (p *Proxy) Serve(ctx context.Context, l net.Listener) error {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return errors.Mark(errors.Newf("a listener of type %T: give a TCP listener", l), ErrListener)
	}
	f := p.front
	defer close(f.over)
	defer f.stop()
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
		if !f.room(ctx) {
			return nil
		}
		c, err := tcp.AcceptTCP()
		failing := failed
		failed = false
		switch {
		case err == nil:
			taken = true
			if raw, err := c.SyscallConn(); err == nil {
				_ = boundUnacked(raw)
			}
			f.take(framing.NewClientConn(c, mostHead, &p.counters.Rejected))
		case errors.Is(err, os.ErrDeadlineExceeded):
			// Danger: a deadline can pass with connections waiting, and closing the listener resets them.
			if rounds > 0 && !taken || rounds == mostRounds {
				_ = tcp.Close()
				f.wait(ctx)
				return nil
			}
			rounds, taken = rounds+1, false
			if err := tcp.SetDeadline(time.Now().Add(idleMoment)); err != nil {
				return nil
			}
		case errors.Is(err, net.ErrClosed):
			if ctx.Err() != nil {
				return nil
			}
			return errors.Mark(errors.Wrap(err, "the listener was closed by others"), ErrListener)
		default: // descriptors are short, or the client has gone
			if failed = true; !failing {
				p.opt.Log.WithError(err).Warn("proxy: a connection could not be taken")
			}
			pause(ctx, acceptPause)
		}
	}
}

// room waits until one more connection may be taken, and tells whether one may before ctx is done.
func (f *front) room(ctx context.Context) bool {
	for f.count() >= f.most {
		if f.closeOldest(time.Now()) {
			continue
		}
		select {
		case <-ctx.Done():
			return false
		case <-f.changed:
		case <-time.After(sweepDrain): // one may have become idle
		}
	}
	return ctx.Err() == nil
}

func pause(ctx context.Context, d time.Duration) {
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
	f := p.front
	if f.draining.Swap(true) {
		return
	}
	p.opt.Log.WithField("connections", f.count()).Info("proxy: draining")
	began := time.Now()
	f.mu.Lock()
	l := f.listener
	f.mu.Unlock()
	if l == nil {
		return
	}
	// Clients hold the directory's answer for some seconds; new ones are answered as before.
	pause(ctx, p.opt.GracePeriod/4)
	_ = l.SetDeadline(time.Now().Add(p.opt.GracePeriod / 8))
	end := began.Add(p.opt.GracePeriod - min(p.opt.GracePeriod/8, 500*time.Millisecond))
	for ctx.Err() == nil && time.Now().Before(end) {
		f.closeIdle(time.Now())
		select {
		case <-ctx.Done():
		case <-f.over:
			p.opt.Log.Info("proxy: drained")
			return
		case <-time.After(sweepDrain):
		}
	}
	p.opt.Log.WithField("connections", f.count()).Warn("proxy: the time for draining is up")
	_ = l.SetDeadline(time.Now())
	close(f.enough)
	<-f.over
}

// watchStalls has stalls of the process noticed until the returned function is called.
func (p *Proxy) watchStalls(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var watch sync.WaitGroup
	watch.Go(func() { p.policy.watchStalls(ctx) })
	return func() {
		cancel()
		watch.Wait()
	}
}

// wait returns when no connection is left, or none is waited for any more.
func (f *front) wait(ctx context.Context) {
	for f.count() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-f.enough:
			return
		case <-f.changed:
		}
	}
}
