package proxy

import (
	"maps"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// picker is what the data plane asks of package pick. It is not safe for concurrent use.
type picker interface {
	UpdateClusterState(now pick.Time, w pick.ClusterState)
	SetLoads(now pick.Time, loads map[string]pick.Load)
	Loads() map[string]pick.Load
	PromptDemands() map[string]pick.Load
	Route(host, path string) *config.Route
	Arrive(now pick.Time, r *pick.Request)
	Choose(now pick.Time, r *pick.Request, tried []string, offered bool) pick.Choice
	ServerLoad(now pick.Time, id string, running, waiting, slots int)
	Started(now pick.Time, ticket uint64)
	FirstEvent(now pick.Time, ticket uint64)
	Done(now pick.Time, ticket uint64, o pick.Outcome, retryAfter time.Duration)
	WarmingUp(now pick.Time, id string, left time.Duration)
	ServerDraining(now pick.Time, id string)
	SetIdleTimeout(id string, told time.Duration)
	Describe(now pick.Time) string
	Stats() pick.Stats
	AwaitsServerList() bool
	Stalled(now pick.Time)
	AwaitsControlPlane() bool
}

// lockedPicker is a picker behind a lock and a monotonic clock. It tells the picker when the process has stood still.
type lockedPicker struct {
	mu      sync.Mutex
	inner   picker
	start   time.Time
	onStall func() // nil: nobody is told
	stalls  stallDetector
}

func newLockedPicker(p picker, onStall func()) *lockedPicker {
	return &lockedPicker{inner: p, start: time.Now(), onStall: onStall}
}

// withLock runs f under the lock.
func (p *lockedPicker) withLock(f func(picker, pick.Time)) {
	if p.runLocked(f) && p.onStall != nil {
		p.onStall()
	}
}

// runLocked runs f under the lock, and tells whether the process had stood still just before.
func (p *lockedPicker) runLocked(f func(picker, pick.Time)) (stalled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Since(p.start)
	if stalled = p.stalls.observeRun(now); stalled {
		p.inner.Stalled(now)
	}
	f(p.inner, now)
	p.stalls.releaseWaiters(p.inner.AwaitsControlPlane())
	return stalled
}

// UpdateClusterState hands on a world whose durations are as of asOf.
func (p *lockedPicker) UpdateClusterState(asOf time.Time, w pick.ClusterState) {
	p.withLock(func(i picker, now pick.Time) {
		w.Age = now - asOf.Sub(p.start)
		i.UpdateClusterState(now, w)
	})
}

func (p *lockedPicker) SetLoads(loads map[string]pick.Load) {
	p.withLock(func(i picker, now pick.Time) { i.SetLoads(now, loads) })
}

// Loads is what this proxy tells the others: what it has outstanding at servers, and its demands.
func (p *lockedPicker) Loads() (loads map[string]pick.Load) {
	p.withLock(func(i picker, _ pick.Time) {
		loads = i.Loads()
		maps.Copy(loads, i.PromptDemands())
	})
	return loads
}

func (p *lockedPicker) Describe() (text string) {
	p.withLock(func(i picker, now pick.Time) { text = i.Describe(now) })
	return text
}

func (p *lockedPicker) AwaitsServerList() (awaits bool) {
	p.withLock(func(i picker, _ pick.Time) { awaits = i.AwaitsServerList() })
	return awaits
}

func (p *lockedPicker) Stats() (s pick.Stats) {
	p.withLock(func(i picker, _ pick.Time) { s = i.Stats() })
	return s
}

func (p *lockedPicker) Route(host, path string) (r *config.Route) {
	p.withLock(func(i picker, _ pick.Time) { r = i.Route(host, path) })
	return r
}

func (p *lockedPicker) Arrive(r *pick.Request) {
	p.withLock(func(i picker, now pick.Time) { i.Arrive(now, r) })
}

func (p *lockedPicker) Choose(r *pick.Request, tried []string, offered bool) (c pick.Choice) {
	p.withLock(func(i picker, now pick.Time) { c = i.Choose(now, r, tried, offered) })
	return c
}

func (p *lockedPicker) FirstEvent(ticket uint64) {
	p.withLock(func(i picker, now pick.Time) { i.FirstEvent(now, ticket) })
}

func (p *lockedPicker) Done(ticket uint64, o pick.Outcome, retryAfter time.Duration) {
	p.withLock(func(i picker, now pick.Time) { i.Done(now, ticket, o, retryAfter) })
}

// Started takes in that the head of a server's answer has come, and what it says about the server.
func (p *lockedPicker) Started(ticket uint64, id string, h serverHints) {
	p.withLock(func(i picker, now pick.Time) {
		i.Started(now, ticket)
		if h.hasLoad {
			i.ServerLoad(now, id, h.running, h.waiting, h.slots)
		}
		if h.warmingUp {
			i.WarmingUp(now, id, h.warmUpLeft)
		}
		i.SetIdleTimeout(id, h.idleTimeout)
		if h.draining {
			i.ServerDraining(now, id)
		}
	})
}
