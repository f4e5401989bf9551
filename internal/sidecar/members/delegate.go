package members

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/memberlist"
)

// This file implements memberlist's callbacks. memberlist calls them under its own lock, so a call back into it would deadlock.

var (
	_ memberlist.Delegate       = (*Members)(nil)
	_ memberlist.EventDelegate  = (*Members)(nil)
	_ memberlist.NamedBroadcast = (*broadcast)(nil)
)

// broadcast is a frame to gossip. A later broadcast of the same name replaces it.
type broadcast struct {
	name    string
	encoded []byte
	age     func() time.Duration // nil: it has none
}

// Name implements memberlist.NamedBroadcast, as do the methods after it.
func (b *broadcast) Name() string { return b.name }

// Invalidates is not asked for broadcasts with a name.
func (b *broadcast) Invalidates(memberlist.Broadcast) bool { return false }

// Message is the frame, with its age as it is sent.
func (b *broadcast) Message() []byte {
	if b.age == nil {
		return b.encoded
	}
	return withAge(b.encoded, b.age())
}

// Finished implements memberlist.Broadcast.
func (b *broadcast) Finished() {}

// queueFrame queues a frame for gossip. m.mu must not be held.
func (m *Members) queueFrame(f frame) {
	b := &broadcast{name: strconv.Itoa(int(f.kind)) + "/" + f.name, encoded: f.encode()}
	b.age = func() time.Duration {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.states.age(f, m.clock())
	}
	m.queue.QueueBroadcast(b)
}

// queueClaim queues the member's own claim for gossip, in place of earlier ones. m.mu is held.
func (m *Members) queueClaim(c claim) {
	m.unsent = append(m.unsent, &broadcast{name: "epoch", encoded: c.encode()})
	wake(m.wakeWorker)
}

// NodeMeta implements memberlist.Delegate, as do the methods after it.
func (m *Members) NodeMeta(int) []byte { return nil }

// NotifyMsg receives a frame.
func (m *Members) NotifyMsg(b []byte) { m.receive(b, true) }

// GetBroadcasts gives frames to send.
func (m *Members) GetBroadcasts(overhead, limit int) [][]byte {
	return m.queue.GetBroadcasts(overhead, limit)
}

// LocalState returns all stored claims and the states within the TTL, for a peer that may have missed some.
func (m *Members) LocalState(bool) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	var frames [][]byte
	for _, c := range m.epochs.storedClaims() {
		frames = append(frames, c.encode())
	}
	now := m.clock()
	for _, f := range m.states.latest {
		if f.forwardedAge = m.states.age(f, now); f.forwardedAge <= m.options.TTL {
			frames = append(frames, f.encode())
		}
	}
	return pack(frames)
}

// MergeRemoteState merges a peer's state. While joining, nothing is forwarded: what is new to this member is known to the others.
func (m *Members) MergeRemoteState(b []byte, join bool) {
	if err := unpack(b, func(f []byte) { m.receive(f, !join) }); err != nil {
		m.mu.Lock()
		m.counts.Malformed++
		m.mu.Unlock()
	}
}

// receive processes a frame from a peer, and forwards it if it is new.
func (m *Members) receive(b []byte, mayForward bool) {
	if m.receiveExchange(b) {
		return
	}
	if c, err := decodeClaim(b); err == nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.epochs.receiveClaim(c) {
			m.view.Epoch = m.epochs.own.epoch()
			m.queueClaim(c)
		}
		return
	}
	if p, err := decodeFarewell(b); err == nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.processLeaves(p) && mayForward {
			m.unsent = append(m.unsent, &broadcast{name: farewellPrefix + p.name, encoded: b})
			wake(m.wakeWorker)
		}
		return
	}
	f, err := decodeUpdate(b)
	m.mu.Lock()
	fresh := m.acceptFrame(f, err)
	young := fresh && m.states.age(f, m.clock()) <= maxGossipAge
	m.mu.Unlock()
	if young && mayForward && m.queue.NumQueued() < maxQueued {
		m.queueFrame(f)
	}
}

// processLeaves records the farewell of a process, and reports whether it is new. m.mu is held. The farewell is needed because
// memberlist does not say whether a process left or died, and only the index of one that left is reserved for its successor.
func (m *Members) processLeaves(p process) bool {
	known := m.members[p.name] == p.start && p.name != m.options.Name
	for name := range m.lost {
		if parse(name) == p {
			known = true
			delete(m.lost, name)
		}
	}
	if !known || m.leaving[p.name].start == p.start {
		return false
	}
	m.leaving[p.name] = leavingProcess{p.start, time.Now()}
	return true
}

// acceptFrame merges a frame and reports whether it is to be notified and forwarded. m.mu is held.
func (m *Members) acceptFrame(received frame, err error) bool {
	now := m.clock()
	switch start, known := m.members[received.name]; {
	case err != nil:
		m.counts.Malformed++
		return false
	case received.name == m.options.Name: // this process's own frame, come back, or one of another process of this member
		m.counts.Duplicates++
		return false
	case !known || received.start != start:
		m.counts.NonMembers++
		return false
	case m.states.isNewer(received) && !m.spendBudget(received, now):
		m.counts.RateLimited++
		return false
	case !m.states.merge(received, now):
		m.counts.Duplicates++
		return false
	case m.states.age(received, now) > m.options.TTL:
		m.counts.Expired++
		return false
	}
	m.counts.Updates++
	m.lastUpdateAt = now
	m.pending[stateKey{received.name, received.kind}] = struct{}{}
	wake(m.wakeWorker)
	return true
}

// NotifyJoin implements memberlist.EventDelegate, as do the methods after it.
func (m *Members) NotifyJoin(n *memberlist.Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.nodes) >= maxMembers {
		m.counts.NonMembers++
		return
	}
	p := parse(n.Name)
	m.peers = nil
	m.nodes[n.Name] = &node{p, net.JoinHostPort(n.Addr.String(), strconv.Itoa(int(n.Port)))}
	delete(m.lost, n.Name)
	m.members[p.name] = max(m.members[p.name], p.start)
	m.viewStale = true
	wake(m.wakeWorker)
}

// NotifyLeave records that a process left, or was declared dead.
func (m *Members) NotifyLeave(n *memberlist.Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	gone := m.nodes[n.Name]
	if gone == nil || n.Name == m.ownNode {
		return
	}
	delete(m.nodes, n.Name)
	m.peers = nil
	if m.leaving[gone.name].start != gone.start {
		m.markLost(n.Name, gone)
	}
	m.viewStale = true
	wake(m.wakeWorker)
	wake(m.wakeJoiner)
}

// NotifyUpdate does nothing: members have no metadata.
func (m *Members) NotifyUpdate(*memberlist.Node) {}

// node returns memberlist's name for a process.
func (p process) node() string { return p.name + separator + strconv.FormatInt(p.start, 36) }

// parse returns the process that a name of memberlist stands for. A name without a start is a member whose process has start 0.
func parse(name string) process {
	if at := strings.LastIndex(name, separator); at > 0 {
		if start, err := strconv.ParseInt(name[at+1:], 36, 64); err == nil && start > 0 {
			return process{name[:at], start}
		}
	}
	return process{name, 0}
}

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
