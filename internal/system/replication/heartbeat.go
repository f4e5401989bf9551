package replication

import (
	"maps"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

const (
	// sentRing is how many heartbeats this keeper remembers the time of; an echo of an older one says nothing.
	sentRing = 512

	forgetAfter = 10 * time.Second // of silence, for those who do not vote
	maxPeers    = 64
)

// peer is what this keeper knows of another.
type peer struct {
	member    Member
	life      uint64
	number    uint64
	heardAt   time.Duration
	echoAt    time.Duration // when the newest heartbeat that it says it heard was sent; negative: never
	goodAt    time.Duration // from when it has been good without a break; negative: it is not
	heartbeat *replicationpb.Heartbeat
}

// firstNumber is where a process begins to number its heartbeats: far from where its former lives did, so that what others
// say of those numbers, under way since then, is no proof that they heard this one.
func firstNumber(life uint64) uint64 {
	const golden = 0x9e3779b97f4a7c15 // odd, with its ones and zeros well mixed
	return life * golden >> 16
}

// heartbeat is what this keeper says of itself, under a number of its own, with the echoes given.
func (c *Core) heartbeat(echoes []*replicationpb.Echo) *replicationpb.Heartbeat {
	c.number++
	c.sentAt[c.number%sentRing] = c.now
	b := &replicationpb.Heartbeat{
		Member: memberPB(c.reg.self), Number: c.number, Life: c.cfg.Incarnation, Epoch: c.epochOn,
		Active: c.activeOn, Sealed: c.sealedOn, Committed: c.committed, DiskBad: c.disk.bad, Leaving: c.leaving,
		Bootstrap: c.cfg.Bootstrap, Stuck: string(c.stuck()), Observer: c.cfg.Observer, Echoes: echoes,
	}
	if c.reg.next != nil {
		b.Accepted = c.reg.next.Epoch
	}
	return b
}

// echoes of the members that have lately been heard. Those of an observer matter to it alone and go into the reply to it.
func (c *Core) echoes() []*replicationpb.Echo {
	var all []*replicationpb.Echo
	for _, id := range slices.Sorted(maps.Keys(c.peers)) {
		if !c.peers[id].heartbeat.GetObserver() {
			all = append(all, c.echo(id)...)
		}
	}
	return all
}

// echo says which heartbeat of a peer was heard last, none where that was long ago.
func (c *Core) echo(id ID) []*replicationpb.Echo {
	p := c.peers[id]
	if c.now-p.heardAt >= c.suspectAfter(p) {
		return nil
	}
	return []*replicationpb.Echo{{Id: string(id), Number: p.number}}
}

// sendHeartbeats tells everyone how this keeper is. Observers are told in reply to their own heartbeats.
func (c *Core) sendHeartbeats() {
	c.heartbeatAt = c.now
	c.forgetPeers()
	body := &replicationpb.Message_Heartbeat{Heartbeat: c.heartbeat(c.echoes())}
	msg := &replicationpb.Message{From: string(c.reg.self.ID), Body: body}
	for _, a := range c.audience() {
		c.out.Messages = append(c.out.Messages, Envelope{Addr: a, Msg: msg})
	}
	c.follow()
}

func (c *Core) forgetPeers() {
	for id, p := range c.peers {
		if _, voter := c.reg.view.Voter(id); !voter && c.now-p.heardAt > forgetAfter {
			delete(c.peers, id)
		}
	}
}

// audience lists the addresses that heartbeats go to: voters, seeds and whoever was heard, but for observers.
func (c *Core) audience() []string {
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
	for _, m := range c.reg.view.Voters {
		addrs[c.addr(m.ID)] = true
	}
	delete(addrs, c.reg.self.Addr)
	delete(addrs, "")
	return slices.Sorted(maps.Keys(addrs))
}

func (c *Core) onHeartbeat(from ID, b *replicationpb.Heartbeat) {
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
		p = &peer{echoAt: -1, goodAt: -1}
		c.peers[from] = p
	case p.life == b.GetLife() && b.GetNumber() <= p.number:
		return // out of order
	case p.life != b.GetLife():
		p.echoAt = -1
	}
	p.member, p.life, p.number, p.heardAt, p.heartbeat = m, b.GetLife(), b.GetNumber(), c.now, b
	for _, e := range b.GetEchoes() {
		// An older number than the ring holds says nothing; a later one is of a former life.
		if n := e.GetNumber(); ID(e.GetId()) == c.reg.self.ID && n <= c.number && n+sentRing > c.number && n > 0 {
			p.echoAt = max(p.echoAt, c.sentAt[n%sentRing])
		}
	}
	if b.GetEpoch() < c.reg.view.Epoch && c.entered {
		c.send(from, &replicationpb.Message{Body: &replicationpb.Message_Chosen{Chosen: &replicationpb.Chosen{View: viewPB(c.reg.view)}}})
	}
	c.replyToObserver(from, b)
	if c.good(from) {
		if p.goodAt < 0 {
			p.goodAt = c.now
		}
	} else {
		p.goodAt = -1
	}
}

// alive tells whether messages have lately gone both ways between this keeper and id.
func (c *Core) alive(id ID) bool {
	if id == c.reg.self.ID {
		return true
	}
	p := c.peers[id]
	if p == nil || p.echoAt < 0 {
		return false
	}
	suspect := c.suspectAfter(p)
	return c.now-p.heardAt < suspect && c.now-p.echoAt < suspect+2*c.heartbeatInterval()
}

// works tells whether id could be a link.
func (c *Core) works(id ID) bool {
	if id == c.reg.self.ID {
		return !c.disk.bad && c.err == nil && !c.cfg.Observer
	}
	return c.alive(id) && !c.peers[id].heartbeat.GetObserver() && !c.peers[id].heartbeat.GetDiskBad()
}

// good tells whether id is fit to be a link: it works and is not about to leave.
func (c *Core) good(id ID) bool {
	if id == c.reg.self.ID {
		return c.works(id) && !c.leaving
	}
	return c.works(id) && !c.peers[id].heartbeat.GetLeaving()
}

// hears tells whether a has lately heard b, by a's own word.
func (c *Core) hears(a, b ID) bool {
	if a == b {
		return true
	}
	if a == c.reg.self.ID {
		return c.alive(b)
	}
	p := c.peers[a]
	return p != nil && slices.ContainsFunc(p.heartbeat.GetEchoes(), func(e *replicationpb.Echo) bool { return ID(e.GetId()) == b })
}

// Current tells whether what this keeper holds can be passed on as new: within the last moments a majority of voters
// said that no later epoch than its own is about, and it is a link, or fed by one.
func (c *Core) Current(now time.Duration) bool {
	c.advance(now)
	v := c.reg.view
	if v.Epoch == 0 || !c.entered || c.err != nil {
		return false
	}
	window := c.currentFor()
	if v.place(c.reg.self.ID) >= 0 {
		if c.activeOn != v.Epoch || !c.settled() {
			return false
		}
	} else if !c.fed || c.now-c.fedAt > window || c.committed < c.upstreamCommitted {
		return false
	}
	if c.cfg.hooks.alwaysCurrent {
		return true
	}
	said := map[ID]string{}
	for _, m := range v.Voters {
		if m.ID == c.reg.self.ID {
			if !c.hasAcceptedLater() {
				said[m.ID] = m.Addr
			}
			continue
		}
		p := c.peers[m.ID]
		if p == nil || p.echoAt < 0 || c.now-p.echoAt > window || p.heartbeat.GetEpoch() != v.Epoch {
			continue
		}
		if p.heartbeat.GetAccepted() <= v.Epoch || c.cfg.scripted.confirmAccepted {
			said[m.ID] = m.Addr
		}
	}
	return c.quorum(v, said)
}
