package proxy

import (
	"context"
	"time"
)

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

// shutdown ends all that still runs, and waits for it.
func (f *clientListener) shutdown() {
	f.mu.Lock()
	f.stopped = true
	all := f.generations
	f.current = nil
	f.mu.Unlock()
	for _, g := range all {
		g.handoff.shut()
		_ = g.server.Close()
	}
	f.mu.Lock()
	for c := range f.conns { // handed over, and not yet known to its server
		_ = c.Close()
	}
	f.mu.Unlock()
	for f.connCount() > 0 { // a connection is forgotten when its last request has ended
		<-f.connsChanged
	}
	f.serving.Wait()
	f.proxy.pools.close()
}
