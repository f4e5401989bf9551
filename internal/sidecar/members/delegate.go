package members

import (
	"net"
	"strconv"

	"github.com/hashicorp/memberlist"
)

// This file implements memberlist's callbacks. memberlist calls some of them under its own lock, so none may call back into memberlist.

var (
	_ memberlist.Delegate      = (*Members)(nil)
	_ memberlist.EventDelegate = (*Members)(nil)
)

// NodeMeta implements memberlist.Delegate, as do the methods up to MergeRemoteState. Members have no metadata.
func (m *Members) NodeMeta(int) []byte { return nil }

// NotifyMsg receives a frame that a peer gossiped or sent.
func (m *Members) NotifyMsg(b []byte) { m.receive(b, true) }

// GetBroadcasts returns frames to gossip, of limit bytes in all at most, each with overhead bytes more.
func (m *Members) GetBroadcasts(overhead, limit int) [][]byte {
	return m.queue.GetBroadcasts(overhead, limit)
}

// LocalState returns all stored claims, and as many of the states within the TTL as fit into maxStateBytes, in random order, for a push-pull with
// a peer that may have missed some. Exchanges bring it the rest.
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
	packed, leftOut := pack(frames)
	m.counts.LeftOut += int64(leftOut)
	return packed
}

// MergeRemoteState merges what LocalState of a peer returned. While this member joins it forwards nothing: what is new to it is known to
// the others.
func (m *Members) MergeRemoteState(b []byte, join bool) {
	if err := unpack(b, func(f []byte) { m.receive(f, !join) }); err != nil {
		m.mu.Lock()
		m.counts.Malformed++
		m.mu.Unlock()
	}
}

// NotifyJoin implements memberlist.EventDelegate, as do the methods after it. It records a process that joined.
func (m *Members) NotifyJoin(n *memberlist.Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.nodes) >= maxMembers {
		m.counts.NonMembers++
		return
	}
	p := parseNodeName(n.Name)
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
	if m.farewells[gone.name].start != gone.start {
		m.markLost(n.Name, gone)
	}
	m.viewStale = true
	wake(m.wakeWorker)
	wake(m.wakeJoiner)
}

// NotifyUpdate does nothing: members have no metadata.
func (m *Members) NotifyUpdate(*memberlist.Node) {}
