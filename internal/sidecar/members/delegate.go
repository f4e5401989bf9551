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

// Here is what memberlist calls, and what comes of it. Danger: it calls under its own lock, so nothing here calls it back.

var (
	_ memberlist.Delegate       = (*Members)(nil)
	_ memberlist.EventDelegate  = (*Members)(nil)
	_ memberlist.NamedBroadcast = (*broadcast)(nil)
)

// broadcast is a frame that is passed on. One of the same name takes its place.
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
	return aged(b.encoded, b.age())
}

// Finished implements memberlist.Broadcast.
func (b *broadcast) Finished() {}

// pass has a frame be passed on. The lock is not held.
func (m *Members) pass(f frame) {
	b := &broadcast{name: strconv.Itoa(int(f.kind)) + "/" + f.name, encoded: f.encode()}
	b.age = func() time.Duration {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.states.age(f, m.clock())
	}
	m.queue.QueueBroadcast(b)
}

// say has the own claim be passed on, in place of earlier ones.
func (m *Members) say(c claim) {
	m.owed = append(m.owed, &broadcast{name: "epoch", encoded: c.encode()})
	wake(m.worker)
}

// NodeMeta implements memberlist.Delegate, as do the methods after it.
func (m *Members) NodeMeta(int) []byte { return nil }

// NotifyMsg takes in a frame.
func (m *Members) NotifyMsg(b []byte) { m.take(b, true) }

// GetBroadcasts gives frames to send.
func (m *Members) GetBroadcasts(overhead, limit int) [][]byte {
	return m.queue.GetBroadcasts(overhead, limit)
}

// LocalState gives all that is held and within the bound, for a peer that may have missed some.
func (m *Members) LocalState(bool) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	var frames [][]byte
	for _, c := range m.epochs.all() {
		frames = append(frames, c.encode())
	}
	now := m.clock()
	for _, f := range m.states.held {
		if f.hopped = m.states.age(f, now); f.hopped <= m.o.Bound {
			frames = append(frames, f.encode())
		}
	}
	return pack(frames)
}

// MergeRemoteState takes in what a peer holds. What is new to one that joins is old to the others, and is not passed on.
func (m *Members) MergeRemoteState(b []byte, join bool) {
	if err := unpack(b, func(f []byte) { m.take(f, !join) }); err != nil {
		m.mu.Lock()
		m.counts.Bad++
		m.mu.Unlock()
	}
}

// take takes in a frame from a peer, and passes on what is new.
func (m *Members) take(b []byte, on bool) {
	if m.exchanged(b) {
		return
	}
	if c, err := decodeClaim(b); err == nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.epochs.hear(c) {
			m.view.Epoch = m.epochs.own.epoch()
			m.say(c)
		}
		return
	}
	if p, err := decodeFarewell(b); err == nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.leaves(p) && on {
			m.owed = append(m.owed, &broadcast{name: farewellOf + p.name, encoded: b})
			wake(m.worker)
		}
		return
	}
	f, err := decodeNews(b)
	m.mu.Lock()
	fresh := m.accept(f, err)
	young := fresh && m.states.age(f, m.clock()) <= youngFor
	m.mu.Unlock()
	if young && on && m.queue.NumQueued() < mostQueued {
		m.pass(f)
	}
}

// leaves takes in the farewell of a process, and tells whether that is new. The lock is held. Danger: memberlist does not say
// whether one that is gone has left or died, and the place of one that died is not to be kept.
func (m *Members) leaves(p process) bool {
	known := m.members[p.name] == p.start && p.name != m.o.Name
	for name := range m.lost {
		if parse(name) == p {
			known = true
			delete(m.lost, name)
		}
	}
	if !known || m.left[p.name].start == p.start {
		return false
	}
	m.left[p.name] = parting{p.start, time.Now()}
	return true
}

// accept merges a frame and tells whether it is to be told and passed on. The lock is held.
func (m *Members) accept(f frame, err error) bool {
	now := m.clock()
	switch start, known := m.members[f.name]; {
	case err != nil:
		m.counts.Bad++
		return false
	case f.name == m.o.Name: // the own, come back; or of another process of this member, which is not for this one
		m.counts.Repeats++
		return false
	case !known || f.start != start:
		m.counts.Strangers++
		return false
	case m.states.news(f) && !m.allow(f, now):
		m.counts.Cut++
		return false
	case !m.states.merge(f, now):
		m.counts.Repeats++
		return false
	case m.states.age(f, now) > m.o.Bound:
		m.counts.Old++
		return false
	}
	m.counts.Told++
	m.lively = now
	m.pending[stateKey{f.name, f.kind}] = struct{}{}
	wake(m.worker)
	return true
}

// NotifyJoin implements memberlist.EventDelegate, as do the methods after it.
func (m *Members) NotifyJoin(n *memberlist.Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.nodes) >= mostMembers {
		m.counts.Strangers++
		return
	}
	p := parse(n.Name)
	m.peers = nil
	m.nodes[n.Name] = &node{p, net.JoinHostPort(n.Addr.String(), strconv.Itoa(int(n.Port)))}
	delete(m.lost, n.Name)
	m.members[p.name] = max(m.members[p.name], p.start)
	m.stale = true
	wake(m.worker)
}

// NotifyLeave takes in that a process left, or is taken for dead.
func (m *Members) NotifyLeave(n *memberlist.Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	gone := m.nodes[n.Name]
	if gone == nil || n.Name == m.own {
		return
	}
	delete(m.nodes, n.Name)
	m.peers = nil
	if m.left[gone.name].start != gone.start {
		m.lose(n.Name, gone)
	}
	m.stale = true
	wake(m.worker)
	wake(m.joiner)
}

// NotifyUpdate has nothing to take in: members have no data of their own here.
func (m *Members) NotifyUpdate(*memberlist.Node) {}

// node is memberlist's name for a process.
func (p process) node() string { return p.name + separator + strconv.FormatInt(p.start, 36) }

// parse is the member and process that memberlist's name means. A foreign one is a member whose process started long ago.
func parse(name string) process {
	if at := strings.LastIndex(name, separator); at > 0 {
		if start, err := strconv.ParseInt(name[at+1:], 36, 64); err == nil && start > 0 {
			return process{name[:at], start}
		}
	}
	return process{name, 0}
}

// work tells of views and news until the member ends. A view changes only settleLeast to settleMost after members did.
// Danger: all that see a change at once would each call the new set by a count of their own; as it is, most hear of the first
// one's before.
func (m *Members) work() {
	defer m.owned.Done()
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	var settled <-chan time.Time
	m.o.changed(m.View())
	for {
		look := false
		select {
		case <-m.worker:
		case <-settled:
			settled, look = nil, true
		case <-tick.C:
			m.sweep()
		case <-m.ctx.Done():
			return
		}
		for _, f := range m.release() {
			m.pass(f)
		}
		t := m.turn(look)
		if t.stale && settled == nil {
			settled = time.After(settleLeast + rand.N(settleMost-settleLeast) + settleEach*time.Duration(t.view.Count))
		}
		for _, b := range t.owed {
			m.queue.QueueBroadcast(b)
		}
		if t.changed {
			m.o.changed(t.view)
		}
		if m.o.Told != nil {
			for _, n := range t.news {
				m.o.Told(n)
			}
		}
	}
}

func (o *Options) changed(v View) {
	if o.Changed != nil {
		o.Changed(v)
	}
}

// turn is what there is to tell and to do.
type turn struct {
	view    View
	changed bool // and is to be told
	news    []News
	owed    []*broadcast
	stale   bool // the view is to be taken again soon
}

// turn takes what there is to tell, and the view again if told to look.
func (m *Members) turn(look bool) (t turn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if look && m.stale || len(m.left) > 0 && !m.stale {
		m.recount()
		m.stale = false
		m.states.keep(func(p process) bool { return p.name == m.o.Name || m.members[p.name] == p.start })
		maps.DeleteFunc(m.budgets, func(name string, _ *budget) bool { return m.members[name] == 0 })
	}
	t.view, t.changed, t.stale = m.view, m.told != m.view.Epoch, m.stale
	m.told = m.view.Epoch
	t.owed, m.owed = m.owed, nil
	now := m.clock()
	for key := range m.pending {
		f, held := m.states.held[key]
		if age := m.states.age(f, now); held && age <= m.o.Bound {
			t.news = append(t.news, News{f.name, f.start, f.seq, f.kind, age, f.payload})
		}
	}
	clear(m.pending)
	slices.SortFunc(t.news, func(x, y News) int { return cmp.Or(strings.Compare(x.Origin, y.Origin), cmp.Compare(x.Kind, y.Kind)) })
	return t
}

// sweep lets go of what is over the bound: its number and start are kept until its origin is gone. And it has the own claim be
// said again now and then: whoever missed a count would else differ until its next exchange, a minute in a large fleet.
func (m *Members) sweep() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	if now >= m.sayAt && len(m.members) > 1 {
		m.sayAt = now + claimEvery/2 + rand.N(claimEvery)
		m.say(m.epochs.own)
	}
	for key, f := range m.states.held {
		if key.name != m.o.Name && f.payload != nil && m.states.age(f, now) > m.o.Bound {
			f.payload = nil
			m.states.held[key] = f
		}
	}
	for name, l := range m.lost {
		if time.Since(l.at) > mourned {
			delete(m.lost, name)
		}
	}
}
