package proxy

import (
	"context"
	"net"
	"time"
)

const (
	// acceptGraceDivisor: connections are accepted as before for 1/acceptGraceDivisor of the grace period, because clients use the
	// directory's previous answer for some seconds.
	acceptGraceDivisor = 4
	// lastAcceptGraceDivisor: after that, they are accepted for another 1/lastAcceptGraceDivisor of the grace period, and then until
	// no more arrive.
	lastAcceptGraceDivisor = 8
	// endMarginDivisor and maxEndMargin: requests that are still running are ended 1/endMarginDivisor of the grace period before its
	// end, but at most maxEndMargin before it.
	endMarginDivisor = 8
	maxEndMargin     = 500 * time.Millisecond
	// drainPollInterval is the interval between scans for idle connections.
	drainPollInterval = 100 * time.Millisecond
	// lossSlackDivisor: a connection is closed once it has been idle for 1/lossSlackDivisor of Options.LossSlack.
	lossSlackDivisor = 4
)

// Drain shuts Serve down gracefully. From now on every response announces that its connection will be closed; new connections are
// accepted for a part of Options.GracePeriod, because clients learn late that they should use another proxy; idle connections are
// closed; requests that have been read are answered. Drain returns when no connection is left, the grace period is nearly over, or
// ctx is done; Serve then returns. The caller must already have directed clients elsewhere through readiness and the directory.
func (p *Proxy) Drain(ctx context.Context) {
	clients := p.clients
	if alreadyDraining := clients.draining.Swap(true); alreadyDraining {
		return
	}
	p.options.Log.WithField("connections", clients.conns.count()).Info("proxy: draining")
	gracePeriod := p.options.GracePeriod
	end := time.Now().Add(gracePeriod - min(gracePeriod/endMarginDivisor, maxEndMargin))
	listener := clients.currentListener()
	if listener == nil {
		return
	}
	sleep(ctx, gracePeriod/acceptGraceDivisor)
	_ = listener.SetDeadline(time.Now().Add(gracePeriod / lastAcceptGraceDivisor))
	if clients.closeIdleUntilDone(ctx, end) {
		p.options.Log.Info("proxy: drained")
		return
	}
	p.options.Log.WithField("connections", clients.conns.count()).Warn("proxy: the grace period for draining is over")
	_ = listener.SetDeadline(time.Now())
	close(clients.drainExpired)
	<-clients.serveDone
}

// currentListener returns the listener that Serve accepts from, or nil if Serve was not called yet.
func (l *clientListener) currentListener() *net.TCPListener {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listener
}

// closeIdleUntilDone closes connections as they become idle, and reports whether Serve ended before the given end and before ctx was
// done.
func (l *clientListener) closeIdleUntilDone(ctx context.Context, end time.Time) bool {
	minIdle := min(minIdleBeforeClose, l.proxy.options.LossSlack/lossSlackDivisor)
	for ctx.Err() == nil && time.Now().Before(end) {
		l.conns.closeIdle(minIdle)
		select {
		case <-ctx.Done():
		case <-l.serveDone:
			return true
		case <-time.After(drainPollInterval):
		}
	}
	return false
}

// awaitConnsClosed returns when no connection is left, the time for draining is up, or ctx is done.
func (l *clientListener) awaitConnsClosed(ctx context.Context) {
	for l.conns.count() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-l.drainExpired:
			return
		case <-l.conns.changed:
		}
	}
}

// shutdown ends all connections and servers, and waits for them.
func (l *clientListener) shutdown() {
	for _, generation := range l.stop() {
		generation.handoff.shut()
		_ = generation.server.Close()
	}
	l.conns.closeAll()        // covers connections that were handed over and that no HTTP server has registered yet
	for l.conns.count() > 0 { // a connection is tracked until its last request has ended
		<-l.conns.changed
	}
	l.serving.Wait()
	l.proxy.pools.close()
}

// stop prevents further connections from being served, and returns the generations to close.
func (l *clientListener) stop() []*serverGeneration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	l.current = nil
	return l.generations
}
