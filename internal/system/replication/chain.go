package replication

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

const (
	resendAfter   = 250 * time.Millisecond
	askAfter      = 50 * time.Millisecond // between a link's calls to be fed: after a start of all, each waits for the one before
	installAfter  = time.Second
	stuckAfter    = time.Second
	stuckActive   = 3 * time.Second // to get level after a change of the view
	appendBytes   = 256 << 10
	maxLearners   = maxPeers
	forgetLearner = 2 * time.Second // after its last call
)

// progress is how far a downstream keeper has come: the next link, or a learner.
type progress struct {
	learner  bool
	follow   uint64 // number of a learner's last call
	known    bool   // match is
	match    uint64 // on its disk, the same as here
	next     uint64
	sentAt   time.Duration
	movedAt  time.Duration
	seenAt   time.Duration
	active   bool
	complete bool // it and all links after it are active
	lagging  bool
}

// next is the link after this one, empty at the tail and outside the chain.
func (c *Core) next() ID {
	v := c.reg.view
	if i := v.place(c.reg.self.ID); i >= 0 && i+1 < len(v.Chain) {
		return v.Chain[i+1]
	}
	return ""
}

// prev is the link before this one, empty at the head and outside the chain.
func (c *Core) prev() ID {
	v := c.reg.view
	if i := v.place(c.reg.self.ID); i > 0 {
		return v.Chain[i-1]
	}
	return ""
}

// active tells whether this link takes part: it holds all that was acknowledged before its view.
func (c *Core) isActive() bool {
	return c.entered && c.err == nil && c.reg.view.Epoch > 0 && c.activeOn == c.reg.view.Epoch && c.reg.view.place(c.reg.self.ID) >= 0
}

func (c *Core) isHead() bool { return c.isActive() && c.reg.view.Head() == c.reg.self.ID }

func (c *Core) isTail() bool { return c.isActive() && c.reg.view.Tail() == c.reg.self.ID }

// enter starts this link's part in a view that is on disk.
func (c *Core) enter() error {
	if !c.isActive() {
		return nil
	}
	if c.isHead() {
		// What is on disk is enough: nothing beyond it was handed on.
		c.start, c.readFloor = c.disk.end, max(c.readFloor, c.disk.end)
		c.ahead = nil
		for seq := c.committed + 1; seq <= c.log.end(); seq++ {
			s, err := c.spec().Apply(c.log.at(seq).rec)
			if err != nil {
				return errors.Wrapf(err, "replication: record %d cannot be applied", seq)
			}
			c.ahead = append(c.ahead, s)
		}
	}
	c.written()
	return nil
}

// written follows a change of what is on disk.
func (c *Core) written() {
	c.tryActivate()
	if c.reg.view.Epoch == 0 || !c.entered {
		return
	}
	if c.isActive() {
		c.commitTail()
		if id := c.next(); id != "" {
			c.push(id)
		}
	} else if c.fed {
		c.commitTo(min(c.upstreamCommitted, c.matched, c.disk.end))
	}
	c.ack()
}

// durable is the end of what is on disk and known to be the log of this epoch's chain.
func (c *Core) durable() uint64 {
	if c.isHead() {
		return c.disk.end
	}
	return min(c.matched, c.disk.end)
}

// commitTail commits at the tail. A record that got here went through every link, each of which had it on disk before
// it handed it on; and every link is active, since only an active one hands on.
func (c *Core) commitTail() {
	early := c.cfg.hooks.earlyAck && c.isHead()
	if !c.isTail() && !early || len(c.reg.view.Chain) < c.cfg.links() {
		return
	}
	c.commitTo(c.durable())
}

func (c *Core) commitTo(seq uint64) {
	if seq <= c.committed {
		return
	}
	for s := c.committed + 1; s <= seq; s++ {
		var next State
		if len(c.ahead) > 0 {
			next, c.ahead = c.ahead[0], c.ahead[1:]
		} else {
			var err error
			if next, err = c.state.Apply(c.log.at(s).rec); err != nil {
				c.fail(errors.Wrapf(err, "replication: record %d cannot be applied", s))
				return
			}
		}
		c.state, c.committed = next, s
	}
	c.ackedAt = 0
	c.ack()
	c.completeChanges()
	c.completeReads()
	for _, id := range slices.Sorted(maps.Keys(c.down)) {
		if c.down[id].learner {
			c.push(id)
		}
	}
}

// ack tells the link before what is on disk here and what is committed.
func (c *Core) ack() {
	prev := c.prev()
	if prev == "" || !c.joined || !c.entered || c.err != nil {
		return
	}
	c.ackedAt = c.now
	c.send(prev, &replicationpb.Message{Body: &replicationpb.Message_Ack{Ack: &replicationpb.Ack{
		Epoch: c.reg.view.Epoch, Matched: c.durable(), Committed: c.committed, Active: c.isActive(), Complete: c.complete(),
	}}})
}

// complete tells whether this link and all after it are active, so that no log of an old epoch is left among them.
func (c *Core) complete() bool {
	if !c.isActive() || c.isTail() {
		return c.isActive()
	}
	p := c.down[c.next()]
	return p != nil && p.complete
}

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
	if c.now-p.sentAt >= resendAfter && p.match+1 < p.next {
		p.next = p.match + 1
	}
	for n := 0; p.next <= limit && n < 4; n++ {
		if p.next <= c.log.base {
			c.sendInstall(id, p)
			return
		}
		entries := c.log.between(p.next, limit, appendBytes)
		c.sendAppend(id, p, p.next-1, entries, limit)
		p.next += uint64(len(entries))
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
	if c.now-p.sentAt < installAfter && p.lagging {
		return
	}
	epoch, ok := c.log.epochAt(c.committed)
	if !ok {
		return
	}
	p.sentAt, p.lagging = c.now, true
	c.send(id, &replicationpb.Message{Body: &replicationpb.Message_Install{Install: &replicationpb.Install{
		Epoch: c.reg.view.Epoch, Seq: c.committed, SeqEpoch: epoch, State: c.state.Encode(), Learner: p.learner,
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
	// Every call starts anew: it tells what the learner has, so that nothing needs to be remembered to send again.
	lagging := p.lagging
	c.rejoin(p, m.GetBase(), m.GetBaseEpoch(), m.GetRuns())
	p.lagging = lagging
	if p.next <= c.committed {
		c.push(from)
		return
	}
	c.sendAppend(from, p, min(p.next-1, c.committed), nil, c.committed)
}

// stuck is the next link when it has not taken what it was sent for too long.
func (c *Core) stuck() ID {
	id := c.next()
	p := c.down[id]
	if id == "" || p == nil || !c.feeds() {
		return ""
	}
	switch wait := c.now - p.movedAt; {
	case !p.active && wait > stuckActive, p.active && p.match < c.durable() && wait > stuckAfter:
		return id
	}
	return ""
}

func (c *Core) tickChain() {
	if !c.entered {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.down)) {
		if p := c.down[id]; p.learner && c.now-p.seenAt > forgetLearner {
			delete(c.down, id)
		}
	}
	again := resendAfter
	if !c.joined {
		again = askAfter
	}
	if prev := c.prev(); prev != "" && c.now-c.ackedAt >= again {
		if c.ackedAt = c.now; c.joined {
			c.ack()
		} else {
			c.mismatch(prev) // asks to be fed
		}
	}
	if !c.isActive() {
		return
	}
	if id := c.next(); id != "" {
		p := c.down[id]
		if p != nil && (!c.feeds() || p.active && p.match >= c.durable()) {
			p.movedAt = c.now
			if c.committed < c.durable() && c.now-p.sentAt >= resendAfter {
				c.sendAppend(id, p, c.durable(), nil, c.durable()) // its word that it is committed was lost
			}
		} else if p != nil && p.known && !p.active && p.match >= c.durable() && c.now-p.sentAt >= resendAfter {
			c.sendAppend(id, p, c.durable(), nil, c.durable())
		}
		c.push(id)
	}
}
