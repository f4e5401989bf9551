package proxy

import (
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// picker chooses servers; it is implemented by pick.Picker. It is not safe for concurrent use.
//
// It is an interface so that the proxy's tests can say which server comes next and see how each attempt was reported (fakePicker):
// what pick.Picker chooses depends on estimates, and its own tests cover that. It is as wide as the part of pick.Picker that the proxy
// calls, and only lockedPicker calls it.
type picker interface {
	UpdateClusterState(now pick.Time, state pick.ClusterState)
	UpdatePeerLoads(now pick.Time, loads map[string]pick.Load)
	Loads() map[string]pick.Load
	PromptDemands() pick.SharedDemands
	Route(host, path string) *config.Route
	RecordRequest(now pick.Time, r *pick.Request)
	Pick(now pick.Time, r *pick.Request, tried []string, mayHaveRun bool) pick.Result
	ServerLoad(now pick.Time, id string, running, waiting, slots int)
	ResponseStarted(now pick.Time, ticket uint64)
	FirstEvent(now pick.Time, ticket uint64)
	Done(now pick.Time, ticket uint64, outcome pick.AttemptOutcome, retryAfter time.Duration)
	WarmingUp(now pick.Time, id string, timeLeft time.Duration)
	ServerDraining(now pick.Time, id string)
	SetIdleTimeout(id string, timeout time.Duration)
	Describe(now pick.Time) string
	Stats() pick.Stats
	AwaitsServerList() bool
	RecordStall(now pick.Time)
	AwaitsControlPlane() bool
}

// lockedPicker is a picker with a lock and a monotonic clock. It tells the picker when the process has stalled. It is safe for
// concurrent use.
type lockedPicker struct {
	onStall func() // called after a stall; may be nil

	mu     sync.Mutex
	inner  picker
	start  time.Time // the picker's moments are durations after it
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
	stalled = p.stalls.observeRun(now)
	if stalled {
		p.inner.RecordStall(now)
	}
	call(p.inner, now)
	if !p.inner.AwaitsControlPlane() {
		p.stalls.releaseWaiters()
	}
	return stalled
}

// UpdateClusterState hands on a cluster state whose durations are as of the moment asOf.
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

// Loads returns this proxy's requests in flight, by server, and its prompt demands.
func (p *lockedPicker) Loads() (loads map[string]pick.Load) {
	p.withLock(func(inner picker, _ pick.Time) {
		loads = inner.Loads()
		inner.PromptDemands().AddTo(loads)
	})
	return loads
}

// Describe returns a text for operators.
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

// Route returns the route of a request; nil: none.
func (p *lockedPicker) Route(host, path string) (route *config.Route) {
	p.withLock(func(inner picker, _ pick.Time) { route = inner.Route(host, path) })
	return route
}

// RecordRequest tells the picker of a request before its first choice.
func (p *lockedPicker) RecordRequest(r *pick.Request) {
	p.withLock(func(inner picker, now pick.Time) { inner.RecordRequest(now, r) })
}

// Pick chooses a server that has not been tried; mayHaveRun says whether an attempt may have run.
func (p *lockedPicker) Pick(r *pick.Request, tried []string, mayHaveRun bool) (choice pick.Result) {
	p.withLock(func(inner picker, now pick.Time) { choice = inner.Pick(now, r, tried, mayHaveRun) })
	return choice
}

// FirstEvent reports that the first event of a stream has come.
func (p *lockedPicker) FirstEvent(ticket uint64) {
	p.withLock(func(inner picker, now pick.Time) { inner.FirstEvent(now, ticket) })
}

// Done reports how an attempt ended.
func (p *lockedPicker) Done(ticket uint64, outcome pick.AttemptOutcome, retryAfter time.Duration) {
	p.withLock(func(inner picker, now pick.Time) { inner.Done(now, ticket, outcome, retryAfter) })
}

// ResponseStarted reports that the head of a server's response has come, and what it says about the server.
func (p *lockedPicker) ResponseStarted(ticket uint64, serverID string, hints serverHints) {
	p.withLock(func(inner picker, now pick.Time) {
		inner.ResponseStarted(now, ticket)
		if hints.hasLoad {
			inner.ServerLoad(now, serverID, hints.running, hints.waiting, hints.slots)
		}
		if hints.warmingUp {
			inner.WarmingUp(now, serverID, hints.warmUpLeft)
		}
		inner.SetIdleTimeout(serverID, hints.idleTimeout)
		if hints.draining {
			inner.ServerDraining(now, serverID)
		}
	})
}
