package replication

import (
	"maps"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

const (
	// heartbeatHistory is how many heartbeats this keeper remembers the time of; an echo of an older one says nothing.
	heartbeatHistory = 512

	peerTTL  = 10 * time.Second // of silence, for those who do not vote
	maxPeers = 64
)

// liveness is what this node knows of its peers by their heartbeats: who is alive, who could be a chain replica, and whether a
// change can reach the chain from here. It suspects a peer by time-out alone; nothing that must be safe rests on that.
type liveness struct {
	*environment
	peers           map[ID]*peer
	heartbeatNumber uint64 // of the last heartbeat sent
	heartbeatSentAt [heartbeatHistory]time.Duration
	lastHeartbeatAt time.Duration
	graceUntil      time.Duration // until then nobody is suspected
	chainReachedAt  time.Duration // when the chain was last reachable; not before graceUntil
	leaving         bool

	acceptor *acceptor
	writer   *diskWriter
	chain    *chainReplica
}

// peer is what this keeper knows of another.
type peer struct {
	member          Member
	incarnation     uint64
	heartbeatNumber uint64
	lastContactAt   time.Duration
	echoedAt        time.Duration // when the newest heartbeat that it says it heard was sent; negative: never
	eligibleSince   time.Duration // from when it has been good without a break; negative: it is not
	heartbeat       *replicationpb.Heartbeat
}

// firstHeartbeatNumber is where a process begins to number its heartbeats: far from where its former lives did, so that what others
// say of those numbers, under way since then, is no proof that they heard this one.
func firstHeartbeatNumber(life uint64) uint64 {
	const golden = 0x9e3779b97f4a7c15 // odd, with its ones and zeros well mixed
	return life * golden >> 16
}

// heartbeat is what this keeper says of itself, under a number of its own, with the echoes given.
func (c *liveness) heartbeat(echoes []*replicationpb.Echo) *replicationpb.Heartbeat {
	c.heartbeatNumber++
	c.heartbeatSentAt[c.heartbeatNumber%heartbeatHistory] = c.now
	b := &replicationpb.Heartbeat{
		Member: memberPB(c.self), Number: c.heartbeatNumber, Life: c.cfg.Incarnation, Epoch: c.acceptor.durableEpoch,
		Active: c.acceptor.durableActive, Sealed: c.acceptor.durableSealed, Committed: c.chain.commitIndex, DiskBad: c.writer.unhealthy, Leaving: c.leaving,
		Bootstrap: c.cfg.Bootstrap, Stuck: string(c.chain.stalledSuccessor()), Observer: c.cfg.Observer, Echoes: echoes,
	}
	if c.acceptor.acceptedView != nil {
		b.Accepted = c.acceptor.acceptedView.Epoch
	}
	return b
}

// echoes of the members that have lately been heard. Those of an observer matter to it alone and go into the reply to it.
func (c *liveness) echoes() []*replicationpb.Echo {
	var all []*replicationpb.Echo
	for _, id := range slices.Sorted(maps.Keys(c.peers)) {
		if !c.peers[id].heartbeat.GetObserver() {
			all = append(all, c.echo(id)...)
		}
	}
	return all
}

// echo says which heartbeat of a peer was heard last, none where that was long ago.
func (c *liveness) echo(id ID) []*replicationpb.Echo {
	p := c.peers[id]
	if c.now-p.lastContactAt >= c.suspectTimeout(p) {
		return nil
	}
	return []*replicationpb.Echo{{Id: string(id), Number: p.heartbeatNumber}}
}

// sendHeartbeats tells everyone how this keeper is. Observers are told in reply to their own heartbeats.
func (c *liveness) sendHeartbeats() {
	c.lastHeartbeatAt = c.now
	c.forgetPeers()
	body := &replicationpb.Message_Heartbeat{Heartbeat: c.heartbeat(c.echoes())}
	msg := &replicationpb.Message{From: string(c.self.ID), Body: body}
	for _, a := range c.heartbeatTargets() {
		c.out.Messages = append(c.out.Messages, Envelope{Addr: a, Msg: msg})
	}
	c.chain.sendFollow()
}

func (c *liveness) forgetPeers() {
	for id, p := range c.peers {
		if _, voter := c.acceptor.view.Voter(id); !voter && c.now-p.lastContactAt > peerTTL {
			delete(c.peers, id)
		}
	}
}

// heartbeatTargets lists the addresses that heartbeats go to: voters, seeds and whoever was heard, but for observers.
func (c *liveness) heartbeatTargets() []string {
	addrs := map[string]bool{}
	for _, a := range c.cfg.Seeds {
		addrs[a] = true
	}
	for _, p := range c.peers {
		if p.heartbeat.GetObserver() {
			delete(addrs, p.member.Addr)
		}
	}
	for _, p := range c.peers {
		if !p.heartbeat.GetObserver() {
			addrs[p.member.Addr] = true
		}
	}
	for _, m := range c.acceptor.view.Voters {
		addrs[c.addressOf(m.ID)] = true
	}
	delete(addrs, c.self.Addr)
	delete(addrs, "")
	return slices.Sorted(maps.Keys(addrs))
}

func (c *liveness) handleHeartbeat(from ID, b *replicationpb.Heartbeat) {
	m := memberOf(b.GetMember())
	if m.ID != from || m.Addr == "" {
		return
	}
	p := c.peers[from]
	switch {
	case p == nil:
		if len(c.peers) >= maxPeers {
			return
		}
		p = &peer{echoedAt: -1, eligibleSince: -1}
		c.peers[from] = p
	case p.incarnation == b.GetLife() && b.GetNumber() <= p.heartbeatNumber:
		return // out of order
	case p.incarnation != b.GetLife():
		p.echoedAt = -1
	}
	p.member, p.incarnation, p.heartbeatNumber, p.lastContactAt, p.heartbeat = m, b.GetLife(), b.GetNumber(), c.now, b
	for _, e := range b.GetEchoes() {
		// An older number than the ring holds says nothing; a later one is of a former life.
		if n := e.GetNumber(); ID(e.GetId()) == c.self.ID && n <= c.heartbeatNumber && n+heartbeatHistory > c.heartbeatNumber && n > 0 {
			p.echoedAt = max(p.echoedAt, c.heartbeatSentAt[n%heartbeatHistory])
		}
	}
	if b.GetEpoch() < c.acceptor.view.Epoch && c.acceptor.viewDurable {
		c.send(from, &replicationpb.Message{Body: &replicationpb.Message_Chosen{Chosen: &replicationpb.Chosen{View: viewPB(c.acceptor.view)}}})
	}
	c.replyToObserver(from, b)
	if c.isEligible(from) {
		if p.eligibleSince < 0 {
			p.eligibleSince = c.now
		}
	} else {
		p.eligibleSince = -1
	}
}

// isAlive tells whether messages have lately gone both ways between this keeper and id.
func (c *liveness) isAlive(id ID) bool {
	if id == c.self.ID {
		return true
	}
	p := c.peers[id]
	if p == nil || p.echoedAt < 0 {
		return false
	}
	suspect := c.suspectTimeout(p)
	return c.now-p.lastContactAt < suspect && c.now-p.echoedAt < suspect+2*c.heartbeatInterval()
}

// isHealthy tells whether id could be a link.
func (c *liveness) isHealthy(id ID) bool {
	if id == c.self.ID {
		return !c.writer.unhealthy && c.err == nil && !c.cfg.Observer
	}
	return c.isAlive(id) && !c.peers[id].heartbeat.GetObserver() && !c.peers[id].heartbeat.GetDiskBad()
}

// isEligible tells whether id is fit to be a link: it works and is not about to leave.
func (c *liveness) isEligible(id ID) bool {
	if id == c.self.ID {
		return c.isHealthy(id) && !c.leaving
	}
	return c.isHealthy(id) && !c.peers[id].heartbeat.GetLeaving()
}

// hasContact tells whether a has lately heard b, by a's own word.
func (c *liveness) hasContact(a, b ID) bool {
	if a == b {
		return true
	}
	if a == c.self.ID {
		return c.isAlive(b)
	}
	p := c.peers[a]
	return p != nil && slices.ContainsFunc(p.heartbeat.GetEchoes(), func(e *replicationpb.Echo) bool { return ID(e.GetId()) == b })
}

func (c *liveness) addressOf(id ID) string {
	if p := c.peers[id]; p != nil {
		return p.member.Addr
	}
	if m, ok := c.acceptor.view.Voter(id); ok {
		return m.Addr
	}
	if c.acceptor.acceptedView != nil {
		if m, ok := c.acceptor.acceptedView.Voter(id); ok {
			return m.Addr
		}
	}
	return ""
}
