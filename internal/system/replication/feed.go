package replication

import (
	"time"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// This file is the sending side of the chain: a link feeds the next one, and learners.

// progress is how far a downstream keeper has come: the next link, or a learner.
type progress struct {
	learner  bool
	follow   uint64 // number of a learner's last call
	known    bool   // match is
	match    uint64 // on its disk, the same as here
	next     uint64
	sentAt   time.Duration
	resendAt time.Duration // when what was sent and not acknowledged counts as lost
	movedAt  time.Duration
	seenAt   time.Duration
	active   bool
	complete bool // it and all links after it are active
	lagging  bool // it was sent a snapshot
}

// sent notes that so many bytes went out, after those that are under way.
func (p *progress) sent(now time.Duration, bytes int) {
	p.resendAt = max(p.resendAt, now+resendAfter) + transfer(bytes)
}

// transfer is how long bytes may take to a keeper on a slow link.
func transfer(bytes int) time.Duration { return time.Duration(bytes) * transferPerMB >> 20 }

// feeds tells whether this link may hand on: it takes part, and knows since its start how far its log is the chain's.
func (c *Core) feeds() bool { return c.isActive() && (c.isHead() || c.joined) }

// push hands on what the downstream keeper lacks.
func (c *Core) push(id ID) {
	p := c.down[id]
	if p == nil {
		p = &progress{movedAt: c.now, sentAt: -resendAfter}
		c.down[id] = p
	}
	if !c.feeds() {
		return
	}
	limit := c.limit(p)
	if !p.known {
		if c.now-p.sentAt >= resendAfter {
			c.sendAppend(id, p, limit, nil, limit)
		}
		return
	}
	if c.now >= p.resendAt && p.match+1 < p.next {
		p.next = p.match + 1
	}
	if p.next <= c.log.base && p.next <= limit {
		c.sendInstall(id, p)
		return
	}
	for underWay := c.log.bytes(p.match+1, p.next-1); p.next <= limit && underWay < windowBytes; {
		entries := c.log.between(p.next, limit, appendBytes)
		c.sendAppend(id, p, p.next-1, entries, limit)
		bytes := c.log.bytes(p.next, p.next+uint64(len(entries))-1)
		p.sent(c.now, bytes)
		p.next += uint64(len(entries))
		underWay += bytes
	}
}

// limit is the last record that may be handed on: on disk here; to learners, committed.
func (c *Core) limit(p *progress) uint64 {
	if p.learner {
		return c.committed
	}
	return c.durable()
}

func (c *Core) sendAppend(id ID, p *progress, prev uint64, entries []*replicationpb.Entry, limit uint64) {
	epoch, ok := c.log.epochAt(prev)
	if !ok {
		return
	}
	p.sentAt = c.now
	c.send(id, &replicationpb.Message{Body: &replicationpb.Message_Append{Append: &replicationpb.Append{
		Epoch: c.reg.view.Epoch, PrevSeq: prev, PrevEpoch: epoch, Entries: entries,
		Start: c.start, End: limit, Committed: c.committed, Learner: p.learner, Follow: p.follow,
	}}})
}

func (c *Core) sendInstall(id ID, p *progress) {
	if p.lagging && c.now < p.resendAt {
		return
	}
	epoch, ok := c.log.epochAt(c.committed)
	if !ok {
		return
	}
	state := c.state.Encode()
	p.sentAt, p.lagging = c.now, true
	p.resendAt = c.now + installAfter + transfer(len(state))
	c.send(id, &replicationpb.Message{Body: &replicationpb.Message_Install{Install: &replicationpb.Install{
		Epoch: c.reg.view.Epoch, Seq: c.committed, SeqEpoch: epoch, State: state, Learner: p.learner,
	}}})
}

func (c *Core) onAck(from ID, m *replicationpb.Ack) {
	p := c.down[from]
	if p == nil || m.GetEpoch() != c.reg.view.Epoch || !c.entered {
		return
	}
	p.seenAt = c.now
	if m.GetMismatch() {
		if !c.feeds() {
			return // what this link holds for sure it does not know yet; it is asked again
		}
		c.rejoin(p, m.GetBase(), m.GetBaseEpoch(), m.GetRuns())
		if limit := c.limit(p); p.next > limit && p.known {
			c.sendAppend(from, p, min(p.next-1, limit), nil, limit)
			return
		}
		c.push(from)
		return
	}
	if m.GetMatched() > p.match || !p.known {
		p.match, p.movedAt = max(p.match, m.GetMatched()), c.now
		p.next = max(p.next, p.match+1)
		p.known, p.lagging = true, false
		p.resendAt = c.now + resendAfter + transfer(c.log.bytes(p.match+1, p.next-1))
	}
	if p.learner {
		c.push(from)
		return
	}
	if m.GetActive() {
		if m.GetComplete() && !p.complete {
			p.complete = true
			c.ack()
			c.completeChanges()
		}
		if !p.active {
			p.active, p.movedAt = true, c.now
		}
		if from == c.next() && c.isActive() {
			c.commitTo(min(m.GetCommitted(), c.durable()))
		}
	}
	c.push(from)
}

// rejoin finds where the logs part.
func (c *Core) rejoin(p *progress, base, baseEpoch uint64, runs []*replicationpb.Run) {
	if joint, ok := c.log.joint(base, baseEpoch, runs); ok {
		p.next, p.match, p.known = joint+1, joint, true
		p.lagging = false
		return
	}
	p.next, p.match, p.known = 0, 0, true // below base: a snapshot
	if c.log.base == 0 {
		p.next = 1
	}
}

func (c *Core) onFollow(from ID, m *replicationpb.Follow) {
	if !c.isActive() || !c.settled() || m.GetEpoch() != c.reg.view.Epoch || c.reg.view.place(from) >= 0 {
		return
	}
	p := c.down[from]
	if p == nil {
		if len(c.down) > maxLearners {
			return
		}
		p = &progress{learner: true, sentAt: -installAfter}
		c.down[from] = p
	}
	p.seenAt, p.follow = c.now, m.GetNumber()
	// Every call tells what the learner has. What is under way to it is not sent again before its time.
	lagging, next := p.lagging, p.next
	c.rejoin(p, m.GetBase(), m.GetBaseEpoch(), m.GetRuns())
	p.lagging = lagging
	if c.now < p.resendAt && p.next > c.log.base {
		p.next = max(p.next, next)
	}
	before := p.sentAt
	c.push(from)
	if p.sentAt != c.now || before == c.now {
		// Nothing new to send: the call is answered all the same, by which the learner knows that it lacks nothing.
		c.sendAppend(from, p, min(p.match, c.committed), nil, c.committed)
	}
}

// stuck is the next link when it has not taken what it was sent for too long.
func (c *Core) stuck() ID {
	id := c.next()
	p := c.down[id]
	if id == "" || p == nil || !c.feeds() {
		return ""
	}
	switch wait := c.now - p.movedAt; {
	case !p.active && wait > stuckActive, p.active && p.match < c.durable() && wait > stuckAfter+transfer(c.log.bytes(p.match+1, c.durable())):
		return id
	}
	return ""
}
