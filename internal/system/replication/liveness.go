package replication

import (
	"maps"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

const (
	// heartbeatHistory is the number of heartbeats whose send times this node remembers; an echo of an older one proves nothing.
	heartbeatHistory = 512
	// echoIntervals is how many heartbeat intervals an echo may be older than the heartbeat that carries it.
	echoIntervals = 2

	peerTTL  = 10 * time.Second // without contact, for peers that are not voters
	maxPeers = 64
)

// liveness is what this node knows of its peers from their heartbeats: which are alive, which could be a chain replica, and whether a
// change can reach the chain from here. Each heartbeat echoes the numbers of those received, so that both directions are known to
// work. A peer is suspected by timeout alone; no safety property depends on that.
type liveness struct {
	*environment
	peers               map[ID]*peer
	heartbeatNumber     uint64                          // of the last heartbeat sent
	heartbeatSentAt     [heartbeatHistory]time.Duration // by number modulo heartbeatHistory
	lastHeartbeatSentAt time.Duration
	graceUntil          time.Duration // no peer is suspected until then
	chainReachedAt      time.Duration // when the chain was last reachable; not before graceUntil
	draining            bool          // this node is about to leave
	contacts            contacts

	acceptor *acceptor
	writer   *diskWriter
	replica  replicaStatus
}

// replicaStatus is what heartbeats report about this node's replica.
type replicaStatus interface {
	isHead() bool
	committed() uint64    // index of the newest record known to be committed
	stalledSuccessor() ID // the successor if it does not acknowledge what it is sent, otherwise empty
}

// peer is what this node knows of another node.
type peer struct {
	member          Member
	incarnation     uint64
	heartbeatNumber uint64 // of its newest heartbeat
	lastContactAt   time.Duration
	echoedAt        time.Duration // when this node sent the newest heartbeat that the peer has echoed; negative: never
	eligibleSince   time.Duration // since when it has been continuously eligible; negative: it is not eligible
	heartbeat       *replicationpb.Heartbeat
}

// isEligibleFor reports whether the peer has been eligible for at least d.
func (p *peer) isEligibleFor(d, now time.Duration) bool {
	return p.eligibleSince >= 0 && now-p.eligibleSince >= d
}

// firstHeartbeatNumber returns the number from which an incarnation counts its heartbeats. It is far from the numbers of previous
// incarnations, so that an echo of a previous incarnation's heartbeat that is still in flight is not mistaken for one of this
// incarnation's.
func firstHeartbeatNumber(incarnation uint64) uint64 {
	const golden = 0x9e3779b97f4a7c15 // odd, with well-mixed ones and zeros
	return incarnation * golden >> 16
}

// startGrace prevents peers from being suspected, and counts the chain as reachable, until the given time.
func (lv *liveness) startGrace(until time.Duration) {
	lv.graceUntil, lv.chainReachedAt = until, until
}

// sentTime returns when the heartbeat with the number was sent. It returns false if it is not one of the last heartbeatHistory
// heartbeats of this incarnation.
func (lv *liveness) sentTime(number uint64) (time.Duration, bool) {
	if number == 0 || number > lv.heartbeatNumber || number+heartbeatHistory <= lv.heartbeatNumber {
		return 0, false
	}
	return lv.heartbeatSentAt[number%heartbeatHistory], true
}

// newHeartbeat returns this node's next heartbeat, with the given echoes. It reports only state that is on disk.
func (lv *liveness) newHeartbeat(echoes []*replicationpb.Echo) *replicationpb.Heartbeat {
	lv.heartbeatNumber++
	lv.heartbeatSentAt[lv.heartbeatNumber%heartbeatHistory] = lv.now
	heartbeat := &replicationpb.Heartbeat{
		Member: memberPB(lv.self), Number: lv.heartbeatNumber, Life: lv.cfg.Incarnation,
		Epoch: lv.acceptor.durableViewEpoch, Active: lv.acceptor.durableActiveEpoch, Sealed: lv.acceptor.durableSealedEpoch,
		Committed: lv.replica.committed(), DiskBad: lv.writer.unhealthy, Leaving: lv.draining, Bootstrap: lv.cfg.Bootstrap,
		Stuck: string(lv.replica.stalledSuccessor()), Observer: lv.cfg.Observer, Echoes: echoes,
	}
	if lv.acceptor.acceptedView != nil {
		heartbeat.Accepted = lv.acceptor.acceptedView.Epoch
	}
	return heartbeat
}

// echoes returns the echoes of members with recent contact. Those of an observer matter only to the observer and are sent in the
// reply to it.
func (lv *liveness) echoes() []*replicationpb.Echo {
	var all []*replicationpb.Echo
	for _, id := range slices.Sorted(maps.Keys(lv.peers)) {
		if !lv.peers[id].heartbeat.GetObserver() {
			all = append(all, lv.echo(id)...)
		}
	}
	return all
}

// echo returns the echo of a peer's newest heartbeat, or none if the peer has timed out.
func (lv *liveness) echo(id ID) []*replicationpb.Echo {
	p := lv.peers[id]
	if lv.now-p.lastContactAt >= lv.suspectTimeout(p) {
		return nil
	}
	return []*replicationpb.Echo{{Id: string(id), Number: p.heartbeatNumber}}
}

// sendHeartbeats sends this node's state to all members. Observers get replies to their own heartbeats instead.
func (lv *liveness) sendHeartbeats() {
	lv.lastHeartbeatSentAt = lv.now
	inContact := lv.addressesInContact()
	lv.rememberLostPeers(inContact)
	lv.forgetPeers()
	message := heartbeatMessage(lv.newHeartbeat(lv.echoes()))
	message.From = string(lv.self.ID)
	for _, addr := range lv.heartbeatTargets(inContact) {
		lv.out.Messages = append(lv.out.Messages, Envelope{Addr: addr, Msg: message})
	}
}

// forgetPeers removes the peers without recent contact that are not voters.
func (lv *liveness) forgetPeers() {
	for id, p := range lv.peers {
		if _, isVoter := lv.acceptor.view.Voter(id); !isVoter && lv.now-p.lastContactAt > peerTTL {
			delete(lv.peers, id)
		}
	}
}

// handleHeartbeat updates what is known of a peer.
func (lv *liveness) handleHeartbeat(from ID, heartbeat *replicationpb.Heartbeat) {
	member := memberOf(heartbeat.GetMember())
	if member.ID != from || member.Addr == "" {
		return
	}
	p := lv.peerOf(from, heartbeat)
	if p == nil {
		return
	}
	p.member, p.incarnation, p.heartbeatNumber, p.lastContactAt, p.heartbeat = member, heartbeat.GetLife(), heartbeat.GetNumber(), lv.now, heartbeat
	lv.contacts.removeLost(member.Addr)
	lv.observeEchoes(p)
	lv.acceptor.sendNewerView(from, heartbeat.GetEpoch())
	lv.replyToObserver(from, heartbeat)
	if !lv.isEligible(from) {
		p.eligibleSince = -1
	} else if p.eligibleSince < 0 {
		p.eligibleSince = lv.now
	}
}

// peerOf returns the peer that sent a heartbeat, or nil if the heartbeat arrived out of order or there are too many peers.
func (lv *liveness) peerOf(id ID, m *replicationpb.Heartbeat) *peer {
	p := lv.peers[id]
	switch {
	case p == nil && len(lv.peers) >= maxPeers:
		return nil
	case p == nil:
		p = &peer{echoedAt: -1, eligibleSince: -1}
		lv.peers[id] = p
	case p.incarnation != m.GetLife():
		p.echoedAt = -1
	case m.GetNumber() <= p.heartbeatNumber:
		return nil
	}
	return p
}

// observeEchoes records which of this node's heartbeats the peer has received.
func (lv *liveness) observeEchoes(p *peer) {
	for _, echo := range p.heartbeat.GetEchoes() {
		if ID(echo.GetId()) != lv.self.ID {
			continue
		}
		if sentAt, ok := lv.sentTime(echo.GetNumber()); ok {
			p.echoedAt = max(p.echoedAt, sentAt)
		}
	}
}

// isAlive reports whether messages have recently been delivered in both directions between this node and id.
func (lv *liveness) isAlive(id ID) bool {
	if id == lv.self.ID {
		return true
	}
	p := lv.peers[id]
	if p == nil || p.echoedAt < 0 {
		return false
	}
	timeout := lv.suspectTimeout(p)
	return lv.now-p.lastContactAt < timeout && lv.now-p.echoedAt < timeout+echoIntervals*lv.heartbeatInterval()
}

// isLost reports whether there has been no contact with a voter for longer than replaceVoterTimeout.
func (lv *liveness) isLost(m Member) bool {
	p := lv.peers[m.ID]
	return m.ID != lv.self.ID && !lv.isAlive(m.ID) && (p == nil || lv.now-p.lastContactAt > replaceVoterTimeout)
}

// isHealthy reports whether id could be a chain replica: it is alive and its disk works.
func (lv *liveness) isHealthy(id ID) bool {
	if id == lv.self.ID {
		return !lv.writer.unhealthy && lv.err == nil && !lv.cfg.Observer
	}
	return lv.isAlive(id) && !lv.peers[id].heartbeat.GetObserver() && !lv.peers[id].heartbeat.GetDiskBad()
}

// isEligible reports whether id may become a chain replica: it is healthy and not about to leave.
func (lv *liveness) isEligible(id ID) bool {
	if id == lv.self.ID {
		return lv.isHealthy(id) && !lv.draining
	}
	return lv.isHealthy(id) && !lv.peers[id].heartbeat.GetLeaving()
}

// canStay reports whether this node may propose views and decide on changes: its disk is healthy, or it is slow while the disks of so
// many voters are unhealthy that the others could not form a chain. In that case no other node would be any faster.
func (lv *liveness) hasUsableDisk() bool {
	if !lv.writer.unhealthy {
		return true
	}
	return !lv.cfg.knobs.FixedTimeouts && !lv.writer.lastWriteFailed && lv.countHealthyVoters() < lv.cfg.minChainLength()
}

// countHealthyVoters counts the voters that could be chain replicas or, before the first view, the seeds that could be initial
// voters.
func (lv *liveness) countHealthyVoters() (n int) {
	if lv.acceptor.view.Epoch > 0 {
		for _, m := range lv.acceptor.view.Voters {
			if lv.isHealthy(m.ID) {
				n++
			}
		}
		return n
	}
	if lv.isHealthy(lv.self.ID) {
		n++
	}
	for id, p := range lv.peers {
		if slices.Contains(lv.cfg.Seeds, p.member.Addr) && lv.isHealthy(id) {
			n++
		}
	}
	return n
}

// hasUnhealthyVoter reports whether a peer that is alive reports an unhealthy disk.
func (lv *liveness) hasUnhealthyVoter() bool {
	for id, p := range lv.peers {
		if p.heartbeat.GetDiskBad() && lv.isAlive(id) {
			return true
		}
	}
	return false
}

// countSeedsAlive counts the seeds that are alive, including this node if it is a seed.
func (lv *liveness) countSeedsAlive() (n int) {
	if slices.Contains(lv.cfg.Seeds, lv.self.Addr) {
		n++
	}
	for id, p := range lv.peers {
		if slices.Contains(lv.cfg.Seeds, p.member.Addr) && p.member.Addr != lv.self.Addr && lv.isAlive(id) {
			n++
		}
	}
	return n
}

// receivesFrom reports whether receiver, according to its own heartbeats, has recently received messages from sender.
func (lv *liveness) receivesFrom(receiver, sender ID) bool {
	if receiver == sender {
		return true
	}
	if receiver == lv.self.ID {
		return lv.isAlive(sender)
	}
	p := lv.peers[receiver]
	return p != nil && slices.ContainsFunc(p.heartbeat.GetEchoes(), func(e *replicationpb.Echo) bool { return ID(e.GetId()) == sender })
}

// haveContact reports whether messages have recently been delivered in both directions between a and b.
func (lv *liveness) haveContact(a, b ID) bool { return lv.receivesFrom(a, b) && lv.receivesFrom(b, a) }

// hasMajorityAlive reports whether a majority of the voters is alive.
func (lv *liveness) hasMajorityAlive(voters []Member) bool {
	alive := 0
	for _, m := range voters {
		if lv.isAlive(m.ID) {
			alive++
		}
	}
	return alive > len(voters)/2
}

// lastHeartbeatNumberFrom returns the number of the newest heartbeat of a peer, or 0 if there was none.
func (lv *liveness) lastHeartbeatNumberFrom(id ID) uint64 {
	if p := lv.peers[id]; p != nil {
		return p.heartbeatNumber
	}
	return 0
}

// headIncarnation returns the incarnation of the head. It returns false if the head is not alive or not in the current epoch.
func (lv *liveness) headIncarnation() (uint64, bool) {
	head := lv.acceptor.view.Head()
	if head == lv.self.ID {
		return lv.cfg.Incarnation, lv.replica.isHead()
	}
	p := lv.peers[head]
	if p == nil || !lv.isAlive(head) || p.heartbeat.GetEpoch() != lv.acceptor.view.Epoch {
		return 0, false
	}
	return p.incarnation, true
}

// addressOf returns the address of a node from its heartbeat or from the views, or an empty address if it is not known.
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
