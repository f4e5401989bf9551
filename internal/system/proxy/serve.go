package proxy

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/framing"
	"gradeusher.example/gradeusher/internal/system/proxy/healthcheck"
)

const (
	// maxAcceptRounds bounds how long newly arriving connections can postpone the closing of the listener.
	maxAcceptRounds = 8
	// acceptBackoff is the wait after a failed accept.
	acceptBackoff = 20 * time.Millisecond
	// capacityPollInterval is how often a proxy at its connection limit looks for a connection that has become idle.
	capacityPollInterval = 100 * time.Millisecond
)

// ErrListener marks the errors of a listener that cannot be served.
var ErrListener = errors.New("the listener cannot be served; an open TCP listener is required")

// Serve accepts clients' connections from a TCP listener until Drain has ended or ctx is done, then closes the listener, and returns
// when everything that it started has ended. It may be called only once. Its errors match ErrListener by errors.Is.
func (p *Proxy) Serve(ctx context.Context, listener net.Listener) error {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return errors.Mark(errors.Newf("cannot serve a listener of type %T; a TCP listener is required", listener), ErrListener)
	}
	defer close(p.clients.serveDone)
	defer p.clients.shutdown()
	defer func() { _ = tcp.Close() }()
	p.clients.setListener(tcp)
	if p.clients.draining.Load() { // Drain may not have seen the listener
		return nil
	}
	stopWatching := context.AfterFunc(ctx, func() { _ = tcp.Close() })
	defer stopWatching()
	defer p.watchStalls(ctx)()
	defer p.checkHealth(ctx)()
	acceptor := &acceptor{clients: p.clients, listener: tcp}
	return acceptor.run(ctx)
}

// acceptor is the loop that accepts connections. Once the proxy is draining, Drain sets a deadline for the listener.
type acceptor struct {
	clients  *clientListener
	listener *net.TCPListener
	rounds   int  // number of rounds in which waiting connections were still accepted after the deadline set by Drain
	accepted bool // a connection was accepted in the current round
	failing  bool // the last accept failed
	done     bool // no more connections are accepted
}

// run accepts connections until the listener is closed or drained, or ctx is done. Its errors match ErrListener by errors.Is.
func (a *acceptor) run(ctx context.Context) error {
	for !a.done && a.clients.awaitCapacity(ctx) {
		conn, err := a.listener.AcceptTCP()
		wasFailing := a.failing
		a.failing = false
		switch {
		case err == nil:
			a.accept(conn)
		case errors.Is(err, os.ErrDeadlineExceeded):
			a.endRound(ctx)
		case errors.Is(err, net.ErrClosed) && ctx.Err() != nil:
			a.done = true
		case errors.Is(err, net.ErrClosed):
			return errors.Mark(errors.Wrap(err, "the listener was closed unexpectedly while serving"), ErrListener)
		default: // file descriptors have run out, or the client has disconnected
			a.failing = true
			if !wasFailing {
				a.clients.proxy.options.Log.WithError(err).Warn("proxy: a connection could not be accepted")
			}
			sleep(ctx, acceptBackoff)
		}
	}
	return nil
}

// accept starts serving an accepted connection.
func (a *acceptor) accept(conn *net.TCPConn) {
	a.accepted = true
	if raw, err := conn.SyscallConn(); err == nil {
		_ = setUnackedTimeout(raw)
	}
	a.clients.serveConn(framing.NewClientConn(conn, maxHeadBytes, &a.clients.proxy.counters.Rejected))
}

// endRound handles the expiry of the listener's deadline: it starts one more short round of accepting, or ends the accepting. Danger:
// connections may be waiting when the deadline expires, and closing the listener resets them, so it is closed only after a round
// without a new connection, or after maxAcceptRounds.
func (a *acceptor) endRound(ctx context.Context) {
	quietRound := a.rounds > 0 && !a.accepted
	if quietRound || a.rounds == maxAcceptRounds {
		_ = a.listener.Close()
		a.clients.awaitConnsClosed(ctx)
		a.done = true
		return
	}
	a.rounds, a.accepted = a.rounds+1, false
	listenerClosed := a.listener.SetDeadline(time.Now().Add(minIdleBeforeClose)) != nil
	a.done = listenerClosed
}

// awaitCapacity waits until one more connection may be accepted. It returns false if ctx is done first.
func (l *clientListener) awaitCapacity(ctx context.Context) bool {
	for l.conns.count() >= l.maxConns {
		if l.conns.closeLongestIdle() {
			continue
		}
		select {
		case <-ctx.Done():
			return false
		case <-l.conns.changed:
		case <-time.After(capacityPollInterval):
		}
	}
	return ctx.Err() == nil
}

// sleep waits for a duration or until ctx is done.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// watchStalls starts the detection of stalls of the process. The returned function stops it.
func (p *Proxy) watchStalls(ctx context.Context) (stop func()) {
	return inBackground(ctx, p.picker.watchStalls)
}

// checkHealth starts the health checks of servers. The returned function stops them.
func (p *Proxy) checkHealth(ctx context.Context) (stop func()) {
	return inBackground(ctx, healthcheck.New(p.picker, p.options.Log).Run)
}

// inBackground calls run in a goroutine. The returned function cancels its context, and waits until it has ended.
func inBackground(ctx context.Context, run func(context.Context)) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { run(ctx) })
	return func() {
		cancel()
		running.Wait()
	}
}
