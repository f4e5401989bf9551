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
	windowBytes   = 1 << 20     // of records that are under way to a keeper
	transferPerMB = time.Second // what a slow link takes
	maxLearners   = maxPeers
	forgetLearner = 2 * time.Second // after its last call
)

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
