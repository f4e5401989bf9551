package replication

import (
	"maps"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

const roundTimeout = 1500 * time.Millisecond

// read is a linearizable read asked for here. It rests on two things: the tail's word on what is committed, and a
// majority's, given after the read was asked for, that no later view can have acknowledged anything before.
type read struct {
	id       uint64
	deadline time.Duration
	sentAt   time.Duration
	at       uint64
	ok       bool // at is known
}

// confirmRound asks the voters whether the epoch still stands. Those who come while a round is under way wait for the
// next one, since the voters may have answered before.
type confirmRound struct {
	number  uint64
	epoch   uint64
	since   time.Duration
	sentAt  time.Duration
	said    map[ID]string
	waiters []func(bool)
	queue   []func(bool)
}

// Read asks for the state after all that was acknowledged before. A Completion with id follows within ttl.
func (c *Core) Read(now time.Duration, id uint64, ttl time.Duration) {
	c.advance(now)
	if len(c.reads) >= maxAsked {
		c.out.Completions = append(c.out.Completions, Completion{ID: id, Read: true, Outcome: Refused})
		return
	}
	r := &read{id: id, deadline: c.now + ttl, sentAt: -submitResend}
	c.reads[id] = r
	c.tryRead(r)
	c.settle()
}

func (c *Core) tryRead(r *read) {
	if r.ok || c.now-r.sentAt < submitResend || c.reg.view.Epoch == 0 {
		return
	}
	r.sentAt = c.now
	c.send(c.reg.view.Tail(), &replicationpb.Message{Body: &replicationpb.Message_ReadIndex{ReadIndex: &replicationpb.ReadIndex{
		Id: r.id, Life: c.cfg.Incarnation, Epoch: c.reg.view.Epoch,
	}}})
}

func (c *Core) tickReads() {
	for _, id := range slices.Sorted(maps.Keys(c.reads)) {
		r := c.reads[id]
		if c.now >= r.deadline {
			delete(c.reads, id)
			c.out.Completions = append(c.out.Completions, Completion{ID: id, Read: true, Outcome: Refused})
			continue
		}
		c.tryRead(r)
	}
	rd := &c.round
	if len(rd.waiters) == 0 {
		return
	}
	if c.now-rd.since > roundTimeout {
		w := rd.waiters
		rd.waiters = nil
		for _, f := range w {
			f(false)
		}
		c.nextRound()
	} else if c.now-rd.sentAt >= submitResend {
		c.sendRound()
	}
}

func (c *Core) onReadIndex(from ID, m *replicationpb.ReadIndex) {
	if m.GetEpoch() != c.reg.view.Epoch || !c.isTail() {
		return
	}
	epoch := c.reg.view.Epoch
	c.confirm(func(ok bool) {
		// Below floor there may be records that an earlier tail, or this one in an earlier life, has acknowledged.
		if !ok || !c.isTail() || c.reg.view.Epoch != epoch || !c.settled() {
			return // asked again soon
		}
		c.send(from, &replicationpb.Message{Body: &replicationpb.Message_ReadAt{ReadAt: &replicationpb.ReadAt{
			Id: m.GetId(), Life: m.GetLife(), Seq: c.committed,
		}}})
	})
}

// settled tells whether this link knows to be committed all that may have been acknowledged before it came to its place,
// in its present life.
func (c *Core) settled() bool { return c.committed >= c.readFloor || c.cfg.hooks.noFloor }

func (c *Core) onReadAt(m *replicationpb.ReadAt) {
	if r := c.reads[m.GetId()]; r != nil && c.thisLife(m.GetLife()) && !r.ok {
		r.at, r.ok = m.GetSeq(), true
		c.completeReads()
	}
}

func (c *Core) completeReads() {
	for _, id := range slices.Sorted(maps.Keys(c.reads)) {
		if r := c.reads[id]; r.ok && r.at <= c.committed {
			delete(c.reads, id)
			c.out.Completions = append(c.out.Completions, Completion{ID: id, Read: true, Outcome: Answered, Seq: c.committed, State: c.state})
		}
	}
}

// confirm calls f once a majority of voters has said, asked from now on, that they know of no view after this one and
// have accepted none. A later view is chosen only when a majority has accepted it, so none is yet.
func (c *Core) confirm(f func(bool)) {
	if c.cfg.hooks.blindRead {
		f(true)
		return
	}
	rd := &c.round
	if len(rd.queue) >= maxAsked {
		f(false)
		return
	}
	rd.queue = append(rd.queue, f)
	if len(rd.waiters) == 0 {
		c.nextRound()
	}
}

func (c *Core) nextRound() {
	rd := &c.round
	if len(rd.queue) == 0 {
		return
	}
	rd.waiters, rd.queue = rd.queue, nil
	rd.number++
	rd.epoch, rd.since, rd.said = c.reg.view.Epoch, c.now, map[ID]string{}
	c.sendRound()
	if c.isVoter(c.reg.view) && !c.hasAcceptedLater() {
		c.confirmedBy(c.reg.self.ID)
	}
}

func (c *Core) sendRound() {
	rd := &c.round
	rd.sentAt = c.now
	for _, m := range c.reg.view.Voters {
		if _, ok := rd.said[m.ID]; !ok && m.ID != c.reg.self.ID {
			c.send(m.ID, &replicationpb.Message{Body: &replicationpb.Message_Confirm{Confirm: &replicationpb.Confirm{
				Epoch: rd.epoch, Round: rd.number, Life: c.cfg.Incarnation,
			}}})
		}
	}
}

func (c *Core) failRounds() {
	rd := &c.round
	w := slices.Concat(rd.waiters, rd.queue)
	rd.waiters, rd.queue = nil, nil
	for _, f := range w {
		f(false)
	}
}

// hasAcceptedLater tells whether this voter has accepted a view after the present one. It then vouches for the present one
// no more: the later view may be chosen and acknowledge changes while a majority of the present voters, this one among
// them, has not been told. That majority does not meet the later chain where a link of that is new among the voters, or
// where fewer links than a majority may acknowledge. Scenario "an accepted view" plays it.
func (c *Core) hasAcceptedLater() bool { return c.reg.next != nil && !c.cfg.scripted.confirmAccepted }

func (c *Core) onConfirm(from ID, m *replicationpb.Confirm) {
	if m.GetEpoch() < c.reg.view.Epoch && c.entered {
		c.send(from, &replicationpb.Message{Body: &replicationpb.Message_Chosen{Chosen: &replicationpb.Chosen{View: viewPB(c.reg.view)}}})
	}
	if m.GetEpoch() != c.reg.view.Epoch || c.hasAcceptedLater() || !c.isVoter(c.reg.view) {
		return
	}
	c.send(from, &replicationpb.Message{Body: &replicationpb.Message_Confirmed{Confirmed: &replicationpb.Confirmed{
		Epoch: m.GetEpoch(), Round: m.GetRound(), Life: m.GetLife(),
	}}})
}

func (c *Core) onConfirmed(from ID, m *replicationpb.Confirmed) {
	rd := &c.round
	if c.thisLife(m.GetLife()) && m.GetRound() == rd.number && m.GetEpoch() == rd.epoch && rd.epoch == c.reg.view.Epoch && len(rd.waiters) > 0 {
		c.confirmedBy(from)
	}
}

func (c *Core) confirmedBy(id ID) {
	rd := &c.round
	rd.said[id] = ""
	if !c.quorum(c.reg.view, rd.said) {
		return
	}
	w := rd.waiters
	rd.waiters = nil
	for _, f := range w {
		f(true)
	}
	if len(rd.waiters) == 0 {
		c.nextRound()
	}
}
