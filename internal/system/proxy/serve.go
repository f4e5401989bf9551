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
