package members

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// runWorker calls OnView and OnUpdate, and queues what is to be gossiped, until the member ends.
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

// notifyView calls OnView, if there is one.
func (o *Options) notifyView(v View) {
	if o.OnView != nil {
		o.OnView(v)
	}
}

// notifyUpdates calls OnUpdate, if there is one.
func (o *Options) notifyUpdates(updates []Update) {
	if o.OnUpdate == nil {
		return
	}
	for _, update := range updates {
		o.OnUpdate(update)
	}
}

// ready is what the worker is to notify and to gossip, as Ready in etcd's raft.
type ready struct {
	view        View
	viewChanged bool // OnView was not yet called for the view's epoch
	viewStale   bool // the view is to be computed again soon
	updates     []Update
	broadcasts  []*broadcast
}

// ready takes what there is to notify and to gossip. If viewDue is set and the view is stale, it computes the view first.
func (m *Members) ready(viewDue bool) (r ready) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// A farewell expires by time alone, so while there is one the view is computed each time.
	farewellsMayExpire := len(m.farewells) > 0 && !m.viewStale
	if viewDue && m.viewStale || farewellsMayExpire {
		m.updateView()
		m.viewStale = false
		m.dropGone()
	}
	r.view, r.viewChanged, r.viewStale = m.view, m.notifiedEpoch != m.view.Epoch, m.viewStale
	m.notifiedEpoch = m.view.Epoch
	r.broadcasts, m.broadcasts = m.broadcasts, nil
	r.updates = m.takeUpdates()
	return r
}

// dropGone drops what is stored of processes that are not in the view any more. m.mu is held.
func (m *Members) dropGone() {
	m.states.retain(func(p process) bool { return p.name == m.options.Name || m.members[p.name] == p.start })
	maps.DeleteFunc(m.budgets, func(name string, _ *byteBudget) bool { return m.members[name] == 0 })
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

// sweep does the periodic work. It drops the payloads of states older than the TTL, whose numbers are kept until their process is gone,
// and the processes that were lost for lostTTL. It gossips the member's own claim again: a member that missed a claim would otherwise
// have another epoch until its next push-pull with a peer, which takes 25 s at 300 members (memberlist scales pushPullInterval with their number).
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
