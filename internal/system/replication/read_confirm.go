package replication

import (
	"maps"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

const confirmTimeout = 1500 * time.Millisecond

// read is a linearizable read asked for here. It rests on two things: the tail's word on what is committed, and a
// majority's, given after the read was asked for, that no later view can have acknowledged anything before.
type read struct {
	id         uint64
	deadline   time.Duration
	sentAt     time.Duration
	readIndex  uint64
	indexKnown bool // at is known
}

// readConfirmation asks the voters whether the epoch still stands. Those who come while a round is under way wait for the
// next one, since the voters may have answered before.
type readConfirmation struct {
	number      uint64
	epoch       uint64
	startedAt   time.Duration
	sentAt      time.Duration
	confirmedBy map[ID]string
	waiters     []func(bool)
	queued      []func(bool)
}

// Read asks for the state after all that was acknowledged before. A Completion with id follows within ttl.
func (c *Core) Read(now time.Duration, id uint64, ttl time.Duration) {
	c.advance(now)
	if c.startRead(id, ttl) {
		c.flush()
	}
}

// startRead takes up a read asked for here; where too many are pending it completes it as Refused and gives false.
func (c *Core) startRead(id uint64, ttl time.Duration) bool {
	if len(c.reads) >= maxPendingCalls {
		c.out.Completions = append(c.out.Completions, Completion{ID: id, Read: true, Outcome: Refused})
		return false
	}
	r := &read{id: id, deadline: c.now + ttl, sentAt: -callResendInterval}
	c.reads[id] = r
	c.sendReadIndex(r)
	return true
}

func (c *Core) sendReadIndex(r *read) {
	if r.indexKnown || c.now-r.sentAt < callResendInterval || c.acceptor.view.Epoch == 0 {
		return
	}
	r.sentAt = c.now
	c.send(c.acceptor.view.Tail(), &replicationpb.Message{Body: &replicationpb.Message_ReadIndex{ReadIndex: &replicationpb.ReadIndex{
		Id: r.id, Life: c.cfg.Incarnation, Epoch: c.acceptor.view.Epoch,
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
		c.sendReadIndex(r)
	}
}

// tickConfirmation ends a round that takes too long, and repeats its messages.
func (c *Core) tickConfirmation() {
	rd := &c.confirmation
	if len(rd.waiters) == 0 {
		return
	}
	if c.now-rd.startedAt > confirmTimeout {
		w := rd.waiters
		rd.waiters = nil
		for _, f := range w {
			f(false)
		}
		c.startRound()
	} else if c.now-rd.sentAt >= callResendInterval {
		c.sendRound()
	}
}

func (c *Core) handleReadIndex(from ID, m *replicationpb.ReadIndex) {
	if m.GetEpoch() != c.acceptor.view.Epoch || !c.isTail() {
		return
	}
	epoch := c.acceptor.view.Epoch
	c.confirmEpoch(func(ok bool) {
		// Below floor there may be records that an earlier tail, or this one in an earlier life, has acknowledged.
		if !ok || !c.isTail() || c.acceptor.view.Epoch != epoch || !c.holdsAcknowledged() {
			return // asked again soon
		}
		c.send(from, &replicationpb.Message{Body: &replicationpb.Message_ReadAt{ReadAt: &replicationpb.ReadAt{
			Id: m.GetId(), Life: m.GetLife(), Seq: c.commitIndex,
		}}})
	})
}

// holdsAcknowledged tells whether this link knows to be committed all that may have been acknowledged before it came to its place,
// in its present life.
func (c *Core) holdsAcknowledged() bool {
	return c.commitIndex >= c.minReadIndex || c.cfg.knobs.SkipMinReadIndex
}

func (c *Core) handleReadAt(m *replicationpb.ReadAt) {
	if r := c.reads[m.GetId()]; r != nil && c.isThisIncarnation(m.GetLife()) && !r.indexKnown {
		r.readIndex, r.indexKnown = m.GetSeq(), true
		c.completeReads()
	}
}

func (c *Core) completeReads() {
	for _, id := range slices.Sorted(maps.Keys(c.reads)) {
		if r := c.reads[id]; r.indexKnown && r.readIndex <= c.commitIndex {
			delete(c.reads, id)
			c.out.Completions = append(c.out.Completions, Completion{ID: id, Read: true, Outcome: Answered, Seq: c.commitIndex, State: c.state})
		}
	}
}

// confirmEpoch calls f once a majority of voters has said, asked from now on, that they know of no view after this one and
// have accepted none. A later view is chosen only when a majority has accepted it, so none is yet.
func (c *Core) confirmEpoch(f func(bool)) {
	if c.cfg.knobs.SkipReadConfirmation {
		f(true)
		return
	}
	rd := &c.confirmation
	if len(rd.queued) >= maxPendingCalls {
		f(false)
		return
	}
	rd.queued = append(rd.queued, f)
	if len(rd.waiters) == 0 {
		c.startRound()
	}
}

func (c *Core) startRound() {
	rd := &c.confirmation
	if len(rd.queued) == 0 {
		return
	}
	rd.waiters, rd.queued = rd.queued, nil
	rd.number++
	rd.epoch, rd.startedAt, rd.confirmedBy = c.acceptor.view.Epoch, c.now, map[ID]string{}
	c.sendRound()
	if c.isVoter(c.acceptor.view) && !c.hasAcceptedLater() {
		c.recordConfirmation(c.self.ID)
	}
}

func (c *Core) sendRound() {
	rd := &c.confirmation
	rd.sentAt = c.now
	for _, m := range c.acceptor.view.Voters {
		if _, ok := rd.confirmedBy[m.ID]; !ok && m.ID != c.self.ID {
			c.send(m.ID, &replicationpb.Message{Body: &replicationpb.Message_Confirm{Confirm: &replicationpb.Confirm{
				Epoch: rd.epoch, Round: rd.number, Life: c.cfg.Incarnation,
			}}})
		}
	}
}

func (c *Core) failConfirmations() {
	rd := &c.confirmation
	w := slices.Concat(rd.waiters, rd.queued)
	rd.waiters, rd.queued = nil, nil
	for _, f := range w {
		f(false)
	}
}

// hasAcceptedLater tells whether this voter has accepted a view after the present one. It then vouches for the present one
// no more: the later view may be chosen and acknowledge changes while a majority of the present voters, this one among
// them, has not been told. That majority does not meet the later chain where a link of that is new among the voters, or
// where fewer links than a majority may acknowledge. Scenario "an accepted view" plays it.
func (c *Core) hasAcceptedLater() bool {
	return c.acceptor.acceptedView != nil && !c.cfg.knobs.ConfirmAfterAccept
}

func (c *Core) handleConfirm(from ID, m *replicationpb.Confirm) {
	if m.GetEpoch() < c.acceptor.view.Epoch && c.viewDurable {
		c.send(from, &replicationpb.Message{Body: &replicationpb.Message_Chosen{Chosen: &replicationpb.Chosen{View: viewPB(c.acceptor.view)}}})
	}
	if m.GetEpoch() != c.acceptor.view.Epoch || c.hasAcceptedLater() || !c.isVoter(c.acceptor.view) {
		return
	}
	c.send(from, &replicationpb.Message{Body: &replicationpb.Message_Confirmed{Confirmed: &replicationpb.Confirmed{
		Epoch: m.GetEpoch(), Round: m.GetRound(), Life: m.GetLife(),
	}}})
}

func (c *Core) handleConfirmed(from ID, m *replicationpb.Confirmed) {
	rd := &c.confirmation
	if c.isThisIncarnation(m.GetLife()) && m.GetRound() == rd.number && m.GetEpoch() == rd.epoch && rd.epoch == c.acceptor.view.Epoch && len(rd.waiters) > 0 {
		c.recordConfirmation(from)
	}
}

func (c *Core) recordConfirmation(id ID) {
	rd := &c.confirmation
	rd.confirmedBy[id] = ""
	if !c.isQuorum(c.acceptor.view, rd.confirmedBy) {
		return
	}
	w := rd.waiters
	rd.waiters = nil
	for _, f := range w {
		f(true)
	}
	if len(rd.waiters) == 0 {
		c.startRound()
	}
}
