package proxy

import (
	"context"
	"net"
	"time"
)

const (
	// acceptGraceDivisor: for one part in so many of the grace period connections are accepted as before, as clients use the
	// directory's former answer for some seconds.
	acceptGraceDivisor = 4
	// lastAcceptGraceDivisor: then they are accepted for one part in so many of the grace period, until none comes.
	lastAcceptGraceDivisor = 8
	// endMarginDivisor and maxEndMargin: so long before the grace period is over the requests that still run are ended.
	endMarginDivisor = 8
	maxEndMargin     = 500 * time.Millisecond
	// drainPollInterval is how often idle connections are looked for.
	drainPollInterval = 100 * time.Millisecond
	// lossSlackDivisor: a connection is closed once it has been idle for one part in so many of Options.LossSlack.
	lossSlackDivisor = 4
)

// Drain is a graceful shutdown of Serve. From now on every response announces the end of its connection; new connections are
// accepted for a part of Options.GracePeriod, as clients learn late that they are to go elsewhere; idle ones are closed; what
// has been read is answered. Drain returns when no connection is left, the grace period is nearly over, or ctx is done; Serve
// ends then. The caller has turned clients away by readiness and directory before.
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

// currentListener is the listener that Serve accepts from; nil: Serve has not begun.
func (l *clientListener) currentListener() *net.TCPListener {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listener
}

// closeIdleUntilDone closes connections as they become idle, and reports whether Serve has ended before the end or ctx is done.
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
	l.conns.closeAll()        // those that were handed over and that no server knows yet
	for l.conns.count() > 0 { // a connection is tracked until its last request has ended
		<-l.conns.changed
	}
	l.serving.Wait()
	l.proxy.pools.close()
}

// stop has no connection served any more, and returns the generations that are to be closed.
func (l *clientListener) stop() []*serverGeneration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	l.current = nil
	return l.generations
}
