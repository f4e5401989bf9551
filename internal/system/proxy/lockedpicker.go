package proxy

import (
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// lockedPicker adds a lock and a monotonic clock to a picker, and notifies the picker when the process has stalled. It is safe for
// concurrent use.
type lockedPicker struct {
	onStall func() // called after a stall; may be nil

	mu     sync.Mutex
	inner  picker
	start  time.Time // the picker's points in time are relative to it
	stalls stallDetector
}

func newLockedPicker(inner picker, onStall func()) *lockedPicker {
	return &lockedPicker{inner: inner, start: time.Now(), onStall: onStall}
}

// withLock calls the picker under the lock.
func (p *lockedPicker) withLock(call func(inner picker, now pick.Time)) {
	if stalled := p.callLocked(call); stalled && p.onStall != nil {
		p.onStall()
	}
}

// callLocked calls the picker under the lock, and reports whether the process had stalled until just before.
func (p *lockedPicker) callLocked(call func(inner picker, now pick.Time)) (stalled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Since(p.start)
	stalled = p.stalls.observeRun(now, p.inner)
	call(p.inner, now)
	p.stalls.releaseWaiters(p.inner)
	return stalled
}

// UpdateClusterState passes a cluster state to the picker. The durations in the state are relative to asOf.
func (p *lockedPicker) UpdateClusterState(asOf time.Time, state pick.ClusterState) {
	p.withLock(func(inner picker, now pick.Time) {
		state.Age = now - asOf.Sub(p.start)
		inner.UpdateClusterState(now, state)
	})
}

// UpdatePeerLoads replaces the other proxies' requests in flight, by server.
func (p *lockedPicker) UpdatePeerLoads(loads map[string]pick.Load) {
	p.withLock(func(inner picker, now pick.Time) { inner.UpdatePeerLoads(now, loads) })
}

// Loads returns this proxy's requests in flight by server, and its prompt demands.
func (p *lockedPicker) Loads() (loads map[string]pick.Load) {
	p.withLock(func(inner picker, _ pick.Time) { loads = sharedLoads(inner) })
	return loads
}

// sharedLoads returns a proxy's requests in flight by server, together with its prompt demands, in the form that proxies exchange.
func sharedLoads(source loadSource) map[string]pick.Load {
	loads := source.Loads()
	source.PromptDemands().AddTo(loads)
	return loads
}

// Describe returns a description of the picker's state for operators.
func (p *lockedPicker) Describe() (text string) {
	p.withLock(func(inner picker, now pick.Time) { text = inner.Describe(now) })
	return text
}

// AwaitsServerList reports whether the picker waits for a newer server list.
func (p *lockedPicker) AwaitsServerList() (awaits bool) {
	p.withLock(func(inner picker, _ pick.Time) { awaits = inner.AwaitsServerList() })
	return awaits
}

// Stats returns the picker's counters.
func (p *lockedPicker) Stats() (stats pick.Stats) {
	p.withLock(func(inner picker, _ pick.Time) { stats = inner.Stats() })
	return stats
}

// Config returns the newest configuration, or nil if none has been received yet.
func (p *lockedPicker) Config() (newest *config.Config) {
	p.withLock(func(inner picker, _ pick.Time) { newest = inner.Config() })
	return newest
}

// Route returns the route of a request, or nil if there is none, and the configuration that contains it.
func (p *lockedPicker) Route(host, path string) (route *config.Route, by *config.Config) {
	p.withLock(func(inner picker, _ pick.Time) { route, by = inner.Route(host, path), inner.Config() })
	return route, by
}

// RecordRequest reports a request to the picker before the first choice of a server for it.
func (p *lockedPicker) RecordRequest(r *pick.Request) {
	p.withLock(func(inner picker, now pick.Time) { inner.RecordRequest(now, r) })
}

// Pick chooses a server that has not been tried; mayHaveRun is true if an earlier attempt may have run.
func (p *lockedPicker) Pick(r *pick.Request, tried []string, mayHaveRun bool) (choice pick.Result) {
	p.withLock(func(inner picker, now pick.Time) { choice = inner.Pick(now, r, tried, mayHaveRun) })
	return choice
}

// HealthTargets returns the servers whose health is to be checked now.
func (p *lockedPicker) HealthTargets() (targets []pick.HealthTarget) {
	p.withLock(func(inner picker, _ pick.Time) { targets = inner.HealthTargets() })
	return targets
}

// RecordHealth reports a server's answer to a health check that was sent at askedAt: for how much longer it warms up; 0 if it is warm.
func (p *lockedPicker) RecordHealth(id string, askedAt time.Time, left time.Duration) {
	p.withLock(func(inner picker, now pick.Time) { inner.RecordHealth(now, id, askedAt.Sub(p.start), left) })
}

// FirstEvent reports that the first event of a stream was received.
func (p *lockedPicker) FirstEvent(ticket uint64) {
	p.withLock(func(inner picker, now pick.Time) { inner.FirstEvent(now, ticket) })
}

// Done reports how an attempt ended.
func (p *lockedPicker) Done(ticket uint64, outcome pick.AttemptOutcome, retryAfter time.Duration) {
	p.withLock(func(inner picker, now pick.Time) { inner.Done(now, ticket, outcome, retryAfter) })
}

// ResponseStarted reports that the head of a server's response was received, and the hints about the server in it.
func (p *lockedPicker) ResponseStarted(ticket uint64, serverID string, hints serverHints) {
	p.withLock(func(inner picker, now pick.Time) {
		inner.ResponseStarted(now, ticket)
		hints.recordIn(inner, now, serverID)
	})
}
