package members

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// runWorker notifies of views and updates until the member ends.
func (m *Members) runWorker() {
	defer m.goroutines.Done()
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	var viewTimer <-chan time.Time
	m.options.notifyView(m.View())
	for {
		viewDue := false
		select {
		case <-m.wakeWorker:
		case <-viewTimer:
			viewTimer, viewDue = nil, true
		case <-tick.C:
			m.sweep()
		case <-m.ctx.Done():
			return
		}
		for _, f := range m.releaseDelayed() {
			m.queueFrame(f)
		}
		r := m.ready(viewDue)
		if r.viewStale && viewTimer == nil {
			viewTimer = time.After(viewDelay(r.view.Count))
		}
		for _, b := range r.broadcasts {
			m.queue.QueueBroadcast(b)
		}
		if r.viewChanged {
			m.options.notifyView(r.view)
		}
		m.options.notifyUpdates(r.updates)
	}
}

// viewDelay returns how long after a change of the members their view is computed: between minViewDelay and maxViewDelay, and
// viewDelayPerMember for each. It is random because members that saw a change at the same time would each claim a count of their own
// for the new set; with it, most of them receive the first one's claim before.
func viewDelay(members int) time.Duration {
	return minViewDelay + rand.N(maxViewDelay-minViewDelay) + viewDelayPerMember*time.Duration(members)
}

func (o *Options) notifyView(v View) {
	if o.OnView != nil {
		o.OnView(v)
	}
}

func (o *Options) notifyUpdates(updates []Update) {
	if o.OnUpdate == nil {
		return
	}
	for _, update := range updates {
		o.OnUpdate(update)
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
	// A farewell expires by time alone, so while there is one the view is computed each time.
	farewellsMayExpire := len(m.farewells) > 0 && !m.viewStale
	if viewDue && m.viewStale || farewellsMayExpire {
		m.updateView()
		m.viewStale = false
		m.states.retain(func(p process) bool { return p.name == m.options.Name || m.members[p.name] == p.start })
		maps.DeleteFunc(m.budgets, func(name string, _ *byteBudget) bool { return m.members[name] == 0 })
	}
	r.view, r.viewChanged, r.viewStale = m.view, m.notifiedEpoch != m.view.Epoch, m.viewStale
	m.notifiedEpoch = m.view.Epoch
	r.broadcasts, m.broadcasts = m.broadcasts, nil
	r.updates = m.takeUpdates()
	return r
}

// takeUpdates returns the pending updates within the TTL, by origin and kind, and clears what is pending. m.mu is held.
func (m *Members) takeUpdates() []Update {
	var updates []Update
	now := m.clock()
	for key := range m.pending {
		f, stored := m.states.latest[key]
		if age := m.states.age(f, now); stored && age <= m.options.TTL {
			updates = append(updates, Update{Origin: f.name, Start: f.start, Seq: f.seq, Kind: f.kind, Age: age, Payload: f.payload})
		}
	}
	clear(m.pending)
	slices.SortFunc(updates, func(x, y Update) int {
		return cmp.Or(strings.Compare(x.Origin, y.Origin), cmp.Compare(x.Kind, y.Kind))
	})
	return updates
}

// sweep drops the payloads of states older than the TTL; their numbers and starts are kept until the origin is gone. It also
// repeats the member's own claim periodically: a member that missed a count would otherwise differ until its next push-pull with
// a peer, which takes a minute in a large fleet.
func (m *Members) sweep() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	if now >= m.nextClaim && len(m.members) > 1 {
		m.nextClaim = now + claimInterval/2 + rand.N(claimInterval)
		m.queueClaim(m.epochs.own)
	}
	m.states.dropPayloads(m.options.Name, now, m.options.TTL)
	for name, l := range m.lost {
		if time.Since(l.lostAt) > lostTTL {
			delete(m.lost, name)
		}
	}
}
