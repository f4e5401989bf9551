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
func (lv *liveness) heartbeat(echoes []*replicationpb.Echo) *replicationpb.Heartbeat {
	lv.heartbeatNumber++
	lv.heartbeatSentAt[lv.heartbeatNumber%heartbeatHistory] = lv.now
	b := &replicationpb.Heartbeat{
		Member: memberPB(lv.self), Number: lv.heartbeatNumber, Life: lv.cfg.Incarnation, Epoch: lv.acceptor.durableEpoch,
		Active: lv.acceptor.durableActive, Sealed: lv.acceptor.durableSealed, Committed: lv.chain.commitIndex, DiskBad: lv.writer.unhealthy, Leaving: lv.leaving,
		Bootstrap: lv.cfg.Bootstrap, Stuck: string(lv.chain.stalledSuccessor()), Observer: lv.cfg.Observer, Echoes: echoes,
	}
	if lv.acceptor.acceptedView != nil {
		b.Accepted = lv.acceptor.acceptedView.Epoch
	}
	return b
}

// echoes of the members that have lately been heard. Those of an observer matter to it alone and go into the reply to it.
func (lv *liveness) echoes() []*replicationpb.Echo {
	var all []*replicationpb.Echo
	for _, id := range slices.Sorted(maps.Keys(lv.peers)) {
		if !lv.peers[id].heartbeat.GetObserver() {
			all = append(all, lv.echo(id)...)
		}
	}
	return all
}

// echo says which heartbeat of a peer was heard last, none where that was long ago.
func (lv *liveness) echo(id ID) []*replicationpb.Echo {
	p := lv.peers[id]
	if lv.now-p.lastContactAt >= lv.suspectTimeout(p) {
		return nil
	}
	return []*replicationpb.Echo{{Id: string(id), Number: p.heartbeatNumber}}
}

// sendHeartbeats tells everyone how this keeper is. Observers are told in reply to their own heartbeats.
func (lv *liveness) sendHeartbeats() {
	lv.lastHeartbeatAt = lv.now
	lv.forgetPeers()
	body := &replicationpb.Message_Heartbeat{Heartbeat: lv.heartbeat(lv.echoes())}
	msg := &replicationpb.Message{From: string(lv.self.ID), Body: body}
	for _, a := range lv.heartbeatTargets() {
		lv.out.Messages = append(lv.out.Messages, Envelope{Addr: a, Msg: msg})
	}
	lv.chain.sendFollow()
}

func (lv *liveness) forgetPeers() {
	for id, p := range lv.peers {
		if _, voter := lv.acceptor.view.Voter(id); !voter && lv.now-p.lastContactAt > peerTTL {
			delete(lv.peers, id)
		}
	}
}

// heartbeatTargets lists the addresses that heartbeats go to: voters, seeds and whoever was heard, but for observers.
func (lv *liveness) heartbeatTargets() []string {
	addrs := map[string]bool{}
	for _, a := range lv.cfg.Seeds {
		addrs[a] = true
	}
	for _, p := range lv.peers {
		if p.heartbeat.GetObserver() {
			delete(addrs, p.member.Addr)
		}
	}
	for _, p := range lv.peers {
		if !p.heartbeat.GetObserver() {
			addrs[p.member.Addr] = true
		}
	}
	for _, m := range lv.acceptor.view.Voters {
		addrs[lv.addressOf(m.ID)] = true
	}
	delete(addrs, lv.self.Addr)
	delete(addrs, "")
	return slices.Sorted(maps.Keys(addrs))
}

func (lv *liveness) handleHeartbeat(from ID, b *replicationpb.Heartbeat) {
	m := memberOf(b.GetMember())
	if m.ID != from || m.Addr == "" {
		return
	}
	p := lv.peers[from]
	switch {
	case p == nil:
		if len(lv.peers) >= maxPeers {
			return
		}
		p = &peer{echoedAt: -1, eligibleSince: -1}
		lv.peers[from] = p
	case p.incarnation == b.GetLife() && b.GetNumber() <= p.heartbeatNumber:
		return // out of order
	case p.incarnation != b.GetLife():
		p.echoedAt = -1
	}
	p.member, p.incarnation, p.heartbeatNumber, p.lastContactAt, p.heartbeat = m, b.GetLife(), b.GetNumber(), lv.now, b
	for _, e := range b.GetEchoes() {
		// An older number than the ring holds says nothing; a later one is of a former life.
		if n := e.GetNumber(); ID(e.GetId()) == lv.self.ID && n <= lv.heartbeatNumber && n+heartbeatHistory > lv.heartbeatNumber && n > 0 {
			p.echoedAt = max(p.echoedAt, lv.heartbeatSentAt[n%heartbeatHistory])
		}
	}
	lv.acceptor.sendNewerView(from, b.GetEpoch())
	lv.replyToObserver(from, b)
	if lv.isEligible(from) {
		if p.eligibleSince < 0 {
			p.eligibleSince = lv.now
		}
	} else {
		p.eligibleSince = -1
	}
}

// isAlive tells whether messages have lately gone both ways between this keeper and id.
func (lv *liveness) isAlive(id ID) bool {
	if id == lv.self.ID {
		return true
	}
	p := lv.peers[id]
	if p == nil || p.echoedAt < 0 {
		return false
	}
	suspect := lv.suspectTimeout(p)
	return lv.now-p.lastContactAt < suspect && lv.now-p.echoedAt < suspect+2*lv.heartbeatInterval()
}

// isHealthy tells whether id could be a link.
func (lv *liveness) isHealthy(id ID) bool {
	if id == lv.self.ID {
		return !lv.writer.unhealthy && lv.err == nil && !lv.cfg.Observer
	}
	return lv.isAlive(id) && !lv.peers[id].heartbeat.GetObserver() && !lv.peers[id].heartbeat.GetDiskBad()
}

// isEligible tells whether id is fit to be a link: it works and is not about to leave.
func (lv *liveness) isEligible(id ID) bool {
	if id == lv.self.ID {
		return lv.isHealthy(id) && !lv.leaving
	}
	return lv.isHealthy(id) && !lv.peers[id].heartbeat.GetLeaving()
}

// hasContact tells whether a has lately heard b, by a's own word.
func (lv *liveness) hasContact(a, b ID) bool {
	if a == b {
		return true
	}
	if a == lv.self.ID {
		return lv.isAlive(b)
	}
	p := lv.peers[a]
	return p != nil && slices.ContainsFunc(p.heartbeat.GetEchoes(), func(e *replicationpb.Echo) bool { return ID(e.GetId()) == b })
}

func (lv *liveness) addressOf(id ID) string {
	if p := lv.peers[id]; p != nil {
		return p.member.Addr
	}
	if m, ok := lv.acceptor.view.Voter(id); ok {
		return m.Addr
	}
	if lv.acceptor.acceptedView != nil {
		if m, ok := lv.acceptor.acceptedView.Voter(id); ok {
			return m.Addr
		}
	}
	return ""
}
