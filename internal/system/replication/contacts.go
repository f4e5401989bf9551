package replication

import (
	"maps"
	"slices"
	"time"
)

// A node that starts without stored state knows only the seeds of its settings. If those have no state either, for example because
// they are observers that were restarted together, none of them knows a voter. Only a node that knows the view can then make contact,
// and until it does, every node that starts with these seeds is cut off from the chain.
//
// contacts holds the addresses at which a node looks for such nodes. The rule is: while a node with a disk holds a view, it sends
// heartbeats to every address that its newest settings name as a seed, and to every address at which a peer has fallen silent within
// lostPeerTTL, until a heartbeat arrives from there. A node without state at such an address learns of its sender by the first of
// these heartbeats, and of the view by the answer to its own.

const (
	// lostPeerInterval is the time between two heartbeats to an address at which a peer has fallen silent.
	lostPeerInterval = time.Second
	// lostPeerTTL is how long the address of a silent peer is remembered.
	lostPeerTTL = 5 * time.Minute
	// maxLostPeers bounds the remembered addresses; the oldest is dropped first. Each needs an outbox, of which a node has maxOutboxes.
	maxLostPeers = 12
)

// contacts are the addresses at which a node looks for others, in addition to those of voters and of peers that it hears from.
type contacts struct {
	seeds       []string   // IP addresses, as the newest settings name them
	lost        []lostPeer // oldest first
	lostAskedAt time.Duration
}

// lostPeer is the address of a peer that was not a voter and has fallen silent.
type lostPeer struct {
	addr string
	at   time.Duration // when that was noticed
}

// addLost remembers the address of a peer that is found to be silent now.
func (c *contacts) addLost(addr string, now time.Duration) {
	if slices.ContainsFunc(c.lost, func(p lostPeer) bool { return p.addr == addr }) {
		return
	}
	c.lost = append(c.lost, lostPeer{addr: addr, at: now})
	c.lost = c.lost[max(0, len(c.lost)-maxLostPeers):]
}

// removeLost forgets an address, from which a heartbeat has arrived.
func (c *contacts) removeLost(addr string) {
	c.lost = slices.DeleteFunc(c.lost, func(p lostPeer) bool { return p.addr == addr })
}

// dueLost returns the addresses of lost peers if heartbeats to them are due, and none otherwise.
func (c *contacts) dueLost(now time.Duration) (addrs []string) {
	if now-c.lostAskedAt < lostPeerInterval {
		return nil
	}
	c.lostAskedAt = now
	c.lost = slices.DeleteFunc(c.lost, func(p lostPeer) bool { return now-p.at > lostPeerTTL })
	for _, p := range c.lost {
		addrs = append(addrs, p.addr)
	}
	return addrs
}

// addressesInContact returns the addresses from which a heartbeat has arrived recently enough. A peer that hears this node, but is not
// heard by it, must consider the contact lost first: a heartbeat that is sent to it unasked would make this node appear alive for a while
// (isAlive).
func (lv *liveness) addressesInContact() map[string]bool {
	inContact := map[string]bool{}
	for _, p := range lv.peers {
		timeout := lv.suspectTimeout(p)
		if p.heartbeat.GetObserver() {
			timeout += echoIntervals * observerSlowdown * lv.cfg.HeartbeatInterval
		}
		if lv.now-p.lastContactAt < timeout {
			inContact[p.member.Addr] = true
		}
	}
	return inContact
}

// rememberLostPeers makes the addresses of peers that have fallen silent contacts. Only a node with a disk does so: what an observer
// remembers may be lost at the same moment as what these peers have forgotten.
func (lv *liveness) rememberLostPeers(inContact map[string]bool) {
	if lv.cfg.Observer || lv.cfg.knobs.ForgetLostPeers {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(lv.peers)) {
		addr := lv.peers[id].member.Addr
		if _, isVoter := lv.acceptor.view.Voter(id); !isVoter && !inContact[addr] {
			lv.contacts.addLost(addr, lv.now)
		}
	}
}

// heartbeatTargets returns the addresses that heartbeats are sent to: voters, peers except observers, and the contacts from which
// nothing is heard. Observers in contact get replies to their own heartbeats instead.
func (lv *liveness) heartbeatTargets(inContact map[string]bool) []string {
	addrs := map[string]bool{}
	for _, addr := range lv.contactAddresses() {
		addrs[addr] = true
	}
	for _, p := range lv.peers {
		if p.heartbeat.GetObserver() && inContact[p.member.Addr] {
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

// contactAddresses returns the seeds, and the addresses of lost peers if heartbeats to those are due. Before the first view, the
// seeds of the start are included, since they vote on it.
func (lv *liveness) contactAddresses() []string {
	addrs := slices.Concat(lv.contacts.seeds, lv.contacts.dueLost(lv.now))
	if lv.acceptor.view.Epoch == 0 {
		addrs = append(addrs, lv.cfg.Seeds...)
	}
	return addrs
}

// SetSeeds replaces the addresses at which this node looks for others, after the settings have changed. The seeds that vote on the first
// view remain those of Config.Seeds, since two quorums of the first view intersect only if all nodes count the same seeds.
func (c *Core) SetSeeds(now time.Duration, seeds []string) {
	c.advance(now)
	c.liveness.contacts.seeds = slices.Clone(seeds)
	c.logEvent("replication: the settings name other seeds; looking for nodes at these")
	c.announce()
	c.flush()
}
