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
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	var settled <-chan time.Time
	m.options.viewChanged(m.View())
	for {
		look := false
		select {
		case <-m.wakeWorker:
		case <-settled:
			settled, look = nil, true
		case <-tick.C:
			m.dropExpired()
		case <-m.ctx.Done():
			return
		}
		for _, f := range m.releaseDelayed() {
			m.queueFrame(f)
		}
		t := m.turn(look)
		if t.stale && settled == nil {
			settled = time.After(minViewDelay + rand.N(maxViewDelay-minViewDelay) + viewDelayPerMember*time.Duration(t.view.Count))
		}
		for _, b := range t.owed {
			m.queue.QueueBroadcast(b)
		}
		if t.changed {
			m.options.viewChanged(t.view)
		}
		if m.options.OnUpdate != nil {
			for _, n := range t.updates {
				m.options.OnUpdate(n)
			}
		}
	}
}

func (o *Options) viewChanged(v View) {
	if o.OnView != nil {
		o.OnView(v)
	}
}

// turn is what the worker has to notify and to send.
type turn struct {
	view    View
	changed bool // the view's epoch has not been notified yet
	updates []Update
	owed    []*broadcast
	stale   bool // the view is to be computed again soon
}

// turn takes what there is to notify, and computes the view again if look is set and it is stale.
func (m *Members) turn(look bool) (t turn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if look && m.viewStale || len(m.leaving) > 0 && !m.viewStale {
		m.updateView()
		m.viewStale = false
		m.states.retain(func(p process) bool { return p.name == m.options.Name || m.members[p.name] == p.start })
		maps.DeleteFunc(m.budgets, func(name string, _ *byteBudget) bool { return m.members[name] == 0 })
	}
	t.view, t.changed, t.stale = m.view, m.notifiedEpoch != m.view.Epoch, m.viewStale
	m.notifiedEpoch = m.view.Epoch
	t.owed, m.unsent = m.unsent, nil
	now := m.clock()
	for key := range m.pending {
		f, stored := m.states.latest[key]
		if age := m.states.age(f, now); stored && age <= m.options.TTL {
			t.updates = append(t.updates, Update{f.name, f.start, f.seq, f.kind, age, f.payload})
		}
	}
	clear(m.pending)
	slices.SortFunc(t.updates, func(x, y Update) int { return cmp.Or(strings.Compare(x.Origin, y.Origin), cmp.Compare(x.Kind, y.Kind)) })
	return t
}

// dropExpired drops the payloads of states older than the TTL; their numbers and starts are kept until the origin is gone. It also
// repeats the member's own claim periodically: a member that missed a count would otherwise differ until its next push-pull with
// a peer, which takes a minute in a large fleet.
func (m *Members) dropExpired() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	if now >= m.claimAt && len(m.members) > 1 {
		m.claimAt = now + claimInterval/2 + rand.N(claimInterval)
		m.queueClaim(m.epochs.own)
	}
	for key, f := range m.states.latest {
		if key.name != m.options.Name && f.payload != nil && m.states.age(f, now) > m.options.TTL {
			f.payload = nil
			m.states.latest[key] = f
		}
	}
	for name, l := range m.lost {
		if time.Since(l.at) > lostTTL {
			delete(m.lost, name)
		}
	}
}
