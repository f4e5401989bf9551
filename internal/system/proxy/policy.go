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
	UpdatePeerLoads(now pick.Time, loads map[string]pick.Load)
	Loads() map[string]pick.Load
	PromptDemands() map[string]pick.Load
	Route(host, path string) *config.Route
	RecordRequest(now pick.Time, r *pick.Request)
	Pick(now pick.Time, r *pick.Request, tried []string, offered bool) pick.Result
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

// policy is a picker behind a lock and a monotonic clock. It tells the picker when the process has stood still.
type policy struct {
	mu      sync.Mutex
	inner   picker
	start   time.Time
	onStall func() // nil: nobody is told
	stalls  stallWatch
}

func newPolicy(p picker, onStall func()) *policy {
	return &policy{inner: p, start: time.Now(), onStall: onStall}
}

// with runs f under the lock.
func (p *policy) with(f func(picker, pick.Time)) {
	if p.run(f) && p.onStall != nil {
		p.onStall()
	}
}

// run runs f under the lock, and tells whether the process had stood still just before.
func (p *policy) run(f func(picker, pick.Time)) (stalled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Since(p.start)
	if stalled = p.stalls.note(now); stalled {
		p.inner.Stalled(now)
	}
	f(p.inner, now)
	p.stalls.settle(p.inner.AwaitsControlPlane())
	return stalled
}

// SetWorld hands on a world whose durations are as of asOf.
func (p *policy) SetWorld(asOf time.Time, w pick.ClusterState) {
	p.with(func(i picker, now pick.Time) {
		w.Age = now - asOf.Sub(p.start)
		i.UpdateClusterState(now, w)
	})
}

func (p *policy) SetLoads(loads map[string]pick.Load) {
	p.with(func(i picker, now pick.Time) { i.UpdatePeerLoads(now, loads) })
}

// Loads is what this proxy tells the others: what it has outstanding at servers, and its demands.
func (p *policy) Loads() (loads map[string]pick.Load) {
	p.with(func(i picker, _ pick.Time) {
		loads = i.Loads()
		maps.Copy(loads, i.PromptDemands())
	})
	return loads
}

func (p *policy) Describe() (text string) {
	p.with(func(i picker, now pick.Time) { text = i.Describe(now) })
	return text
}

func (p *policy) AwaitsList() (awaits bool) {
	p.with(func(i picker, _ pick.Time) { awaits = i.AwaitsServerList() })
	return awaits
}

func (p *policy) Stats() (s pick.Stats) {
	p.with(func(i picker, _ pick.Time) { s = i.Stats() })
	return s
}

func (p *policy) Route(host, path string) (r *config.Route) {
	p.with(func(i picker, _ pick.Time) { r = i.Route(host, path) })
	return r
}

func (p *policy) Arrive(r *pick.Request) {
	p.with(func(i picker, now pick.Time) { i.RecordRequest(now, r) })
}

func (p *policy) Choose(r *pick.Request, tried []string, offered bool) (c pick.Result) {
	p.with(func(i picker, now pick.Time) { c = i.Pick(now, r, tried, offered) })
	return c
}

func (p *policy) FirstEvent(ticket uint64) {
	p.with(func(i picker, now pick.Time) { i.FirstEvent(now, ticket) })
}

func (p *policy) Done(ticket uint64, o pick.Outcome, retryAfter time.Duration) {
	p.with(func(i picker, now pick.Time) { i.Done(now, ticket, o, retryAfter) })
}

// Started takes in that the head of a server's answer has come, and what it says about the server.
func (p *policy) Started(ticket uint64, id string, h hints) {
	p.with(func(i picker, now pick.Time) {
		i.Started(now, ticket)
		if h.loaded {
			i.ServerLoad(now, id, h.running, h.waiting, h.slots)
		}
		if h.cold {
			i.WarmingUp(now, id, h.coldFor)
		}
		i.SetIdleTimeout(id, h.keeps)
		if h.leaving {
			i.ServerDraining(now, id)
		}
	})
}
