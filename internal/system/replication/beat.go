package replication

import (
	"maps"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

const (
	// currentFor is how long a majority's word that the epoch is not passed counts, as a part of Config.Suspect.
	currentNum, currentDen = 6, 7

	forgetAfter = 10 * time.Second // of silence, for those who do not vote
	maxPeers    = 64
)

// peer is what this keeper knows of another.
type peer struct {
	member  Member
	life    uint64
	number  uint64
	heardAt time.Duration
	echoAt  time.Duration // when the newest beat that it says it heard was sent; negative: never
	goodAt  time.Duration // from when it has been good without a break; negative: it is not
	beat    *replicationpb.Beat
}

// beat tells everyone how this keeper is.
func (c *Core) beat() {
	c.beatAt = c.now
	c.number++
	c.sentAt[c.number%uint64(len(c.sentAt))] = c.now
	b := &replicationpb.Beat{
		Member: memberPB(c.reg.self), Number: c.number, Life: c.cfg.Life, Epoch: c.epochOn,
		Active: c.activeOn, Sealed: c.sealedOn, Committed: c.committed, DiskBad: c.disk.bad, Leaving: c.leaving,
		Bootstrap: c.cfg.Bootstrap, Stuck: string(c.stuck()),
	}
	if c.reg.next != nil {
		b.Accepted = c.reg.next.Epoch
	}
	addrs := map[string]bool{}
	for _, id := range slices.Sorted(maps.Keys(c.peers)) {
		p := c.peers[id]
		_, voter := c.reg.view.Voter(id)
		if !voter && c.now-p.heardAt > forgetAfter {
			delete(c.peers, id)
			continue
		}
		if c.now-p.heardAt < c.cfg.Suspect {
			b.Echoes = append(b.Echoes, &replicationpb.Echo{Id: string(id), Number: p.number})
		}
		addrs[p.member.Addr] = true
	}
	for _, m := range c.reg.view.Voters {
		addrs[c.addr(m.ID)] = true
	}
	for _, a := range c.cfg.Seeds {
		addrs[a] = true
	}
	delete(addrs, c.reg.self.Addr)
	delete(addrs, "")
	msg := &replicationpb.Message{From: string(c.reg.self.ID), Body: &replicationpb.Message_Beat{Beat: b}}
	for _, a := range slices.Sorted(maps.Keys(addrs)) {
		c.out.Messages = append(c.out.Messages, Envelope{Addr: a, Msg: msg})
	}
	c.follow()
}

func (c *Core) onBeat(from ID, b *replicationpb.Beat) {
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
	p.member, p.life, p.number, p.heardAt, p.beat = m, b.GetLife(), b.GetNumber(), c.now, b
	for _, e := range b.GetEchoes() {
		// An older number than the ring holds says nothing; a later one is of a former life.
		if n := e.GetNumber(); ID(e.GetId()) == c.reg.self.ID && n <= c.number && n+uint64(len(c.sentAt)) > c.number && n > 0 {
			p.echoAt = max(p.echoAt, c.sentAt[n%uint64(len(c.sentAt))])
		}
	}
	if b.GetEpoch() < c.reg.view.Epoch && c.entered {
		c.send(from, &replicationpb.Message{Body: &replicationpb.Message_Chosen{Chosen: &replicationpb.Chosen{View: viewPB(c.reg.view)}}})
	}
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
	return p != nil && c.now-p.heardAt < c.cfg.Suspect && p.echoAt >= 0 && c.now-p.echoAt < c.cfg.Suspect+2*c.cfg.Beat
}

// good tells whether id is fit to be a link.
func (c *Core) good(id ID) bool {
	if id == c.reg.self.ID {
		return !c.disk.bad && !c.leaving && c.err == nil
	}
	return c.alive(id) && !c.peers[id].beat.GetDiskBad() && !c.peers[id].beat.GetLeaving()
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
	return p != nil && slices.ContainsFunc(p.beat.GetEchoes(), func(e *replicationpb.Echo) bool { return ID(e.GetId()) == b })
}

// Current tells whether what this keeper holds can be passed on as new: within the last moments a majority of voters
// said that no later epoch than its own is about, and it is a link, or fed by one.
func (c *Core) Current(now time.Duration) bool {
	c.now = max(c.now, now)
	v := c.reg.view
	if v.Epoch == 0 || !c.entered || c.err != nil {
		return false
	}
	window := c.cfg.Suspect * currentNum / currentDen
	if v.place(c.reg.self.ID) >= 0 {
		if c.activeOn != v.Epoch || !c.settled() {
			return false
		}
	} else if !c.fed || c.now-c.fedAt > window || c.committed < c.told {
		return false
	}
	if c.cfg.hooks.alwaysCurrent {
		return true
	}
	said := map[ID]string{}
	for _, m := range v.Voters {
		if m.ID == c.reg.self.ID {
			if c.reg.next == nil {
				said[m.ID] = m.Addr
			}
			continue
		}
		p := c.peers[m.ID]
		if p != nil && p.echoAt >= 0 && c.now-p.echoAt <= window && p.beat.GetEpoch() == v.Epoch && p.beat.GetAccepted() <= v.Epoch {
			said[m.ID] = m.Addr
		}
	}
	return c.quorum(v, said)
}
