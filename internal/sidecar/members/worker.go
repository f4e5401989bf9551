package members

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// runWorker notifies of views and updates until the member ends. A view changes minViewDelay to maxViewDelay, and a further delay
// for each member, after the members did. The delay is random because members that saw a change at the same time would each claim
// a count of their own for the new set; with it, most of them receive the first one's claim before.
func (m *Members) runWorker() {
	defer m.goroutines.Done()
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	var viewTimer <-chan time.Time
	m.options.viewChanged(m.View())
	for {
		viewDue := false
		select {
		case <-m.wakeWorker:
		case <-viewTimer:
			viewTimer, viewDue = nil, true
		case <-tick.C:
			m.dropExpired()
		case <-m.ctx.Done():
			return
		}
		for _, f := range m.releaseDelayed() {
			m.queueFrame(f)
		}
		r := m.ready(viewDue)
		if r.viewStale && viewTimer == nil {
			viewTimer = time.After(minViewDelay + rand.N(maxViewDelay-minViewDelay) + viewDelayPerMember*time.Duration(r.view.Count))
		}
		for _, b := range r.broadcasts {
			m.queue.QueueBroadcast(b)
		}
		if r.viewChanged {
			m.options.viewChanged(r.view)
		}
		if m.options.OnUpdate != nil {
			for _, update := range r.updates {
				m.options.OnUpdate(update)
			}
		}
	}
}

func (o *Options) viewChanged(v View) {
	if o.OnView != nil {
		o.OnView(v)
	}
}

// ready is what the worker has to notify and to send.
type ready struct {
	view        View
	viewChanged bool // the view's epoch has not been notified yet
	viewStale   bool // the view is to be computed again soon
	updates     []Update
	broadcasts  []*broadcast
}

// ready takes what there is to notify and to send, and computes the view again if that is due and it is stale.
func (m *Members) ready(viewDue bool) (r ready) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if viewDue && m.viewStale || len(m.farewells) > 0 && !m.viewStale {
		m.updateView()
		m.viewStale = false
		m.states.retain(func(p process) bool { return p.name == m.options.Name || m.members[p.name] == p.start })
		maps.DeleteFunc(m.budgets, func(name string, _ *byteBudget) bool { return m.members[name] == 0 })
	}
	r.view, r.viewChanged, r.viewStale = m.view, m.notifiedEpoch != m.view.Epoch, m.viewStale
	m.notifiedEpoch = m.view.Epoch
	r.broadcasts, m.broadcasts = m.broadcasts, nil
	now := m.clock()
	for key := range m.pending {
		f, stored := m.states.latest[key]
		if age := m.states.age(f, now); stored && age <= m.options.TTL {
			r.updates = append(r.updates, Update{f.name, f.start, f.seq, f.kind, age, f.payload})
		}
	}
	clear(m.pending)
	slices.SortFunc(r.updates, func(x, y Update) int { return cmp.Or(strings.Compare(x.Origin, y.Origin), cmp.Compare(x.Kind, y.Kind)) })
	return r
}

// dropExpired drops the payloads of states older than the TTL; their numbers and starts are kept until the origin is gone. It also
// repeats the member's own claim periodically: a member that missed a count would otherwise differ until its next push-pull with
// a peer, which takes a minute in a large fleet.
func (m *Members) dropExpired() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	if now >= m.nextClaim && len(m.members) > 1 {
		m.nextClaim = now + claimInterval/2 + rand.N(claimInterval)
		m.queueClaim(m.epochs.own)
	}
	for key, f := range m.states.latest {
		if key.name != m.options.Name && f.payload != nil && m.states.age(f, now) > m.options.TTL {
			f.payload = nil
			m.states.latest[key] = f
		}
	}
	for name, l := range m.lost {
		if time.Since(l.lostAt) > lostTTL {
			delete(m.lost, name)
		}
	}
}
