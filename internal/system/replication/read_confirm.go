package replication

import (
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

const confirmTimeout = 1500 * time.Millisecond

// readConfirmation asks the voters whether the epoch still stands. Those who come while a round is under way wait for the
// next one, since the voters may have answered before.
type readConfirmation struct {
	*environment
	number      uint64
	epoch       uint64
	startedAt   time.Duration
	sentAt      time.Duration
	confirmedBy map[ID]string
	waiters     []func(bool)
	queued      []func(bool)

	acceptor *acceptor
	chain    *chainReplica
}

// tickConfirmation ends a round that takes too long, and repeats its messages.
func (c *readConfirmation) tickConfirmation() {
	if len(c.waiters) == 0 {
		return
	}
	if c.now-c.startedAt > confirmTimeout {
		w := c.waiters
		c.waiters = nil
		for _, f := range w {
			f(false)
		}
		c.startRound()
	} else if c.now-c.sentAt >= callResendInterval {
		c.sendRound()
	}
}

func (c *readConfirmation) handleReadIndex(from ID, m *replicationpb.ReadIndex) {
	if m.GetEpoch() != c.acceptor.view.Epoch || !c.chain.isTail() {
		return
	}
	epoch := c.acceptor.view.Epoch
	c.confirmEpoch(func(ok bool) {
		// Below floor there may be records that an earlier tail, or this one in an earlier life, has acknowledged.
		if !ok || !c.chain.isTail() || c.acceptor.view.Epoch != epoch || !c.chain.holdsAcknowledged() {
			return // asked again soon
		}
		c.send(from, &replicationpb.Message{Body: &replicationpb.Message_ReadAt{ReadAt: &replicationpb.ReadAt{
			Id: m.GetId(), Life: m.GetLife(), Seq: c.chain.commitIndex,
		}}})
	})
}

// holdsAcknowledged tells whether this link knows to be committed all that may have been acknowledged before it came to its place,
// in its present life.
func (c *chainReplica) holdsAcknowledged() bool {
	return c.commitIndex >= c.minReadIndex || c.cfg.knobs.SkipMinReadIndex
}

// confirmEpoch calls f once a majority of voters has said, asked from now on, that they know of no view after this one and
// have accepted none. A later view is chosen only when a majority has accepted it, so none is yet.
func (c *readConfirmation) confirmEpoch(f func(bool)) {
	if c.cfg.knobs.SkipReadConfirmation {
		f(true)
		return
	}
	if len(c.queued) >= maxPendingCalls {
		f(false)
		return
	}
	c.queued = append(c.queued, f)
	if len(c.waiters) == 0 {
		c.startRound()
	}
}

func (c *readConfirmation) startRound() {
	if len(c.queued) == 0 {
		return
	}
	c.waiters, c.queued = c.queued, nil
	c.number++
	c.epoch, c.startedAt, c.confirmedBy = c.acceptor.view.Epoch, c.now, map[ID]string{}
	c.sendRound()
	if c.acceptor.isVoter(c.acceptor.view) && !c.acceptor.hasAcceptedLater() {
		c.recordConfirmation(c.self.ID)
	}
}

func (c *readConfirmation) sendRound() {
	c.sentAt = c.now
	for _, m := range c.acceptor.view.Voters {
		if _, ok := c.confirmedBy[m.ID]; !ok && m.ID != c.self.ID {
			c.send(m.ID, &replicationpb.Message{Body: &replicationpb.Message_Confirm{Confirm: &replicationpb.Confirm{
				Epoch: c.epoch, Round: c.number, Life: c.cfg.Incarnation,
			}}})
		}
	}
}

func (c *readConfirmation) failConfirmations() {
	w := slices.Concat(c.waiters, c.queued)
	c.waiters, c.queued = nil, nil
	for _, f := range w {
		f(false)
	}
}

func (c *readConfirmation) handleConfirm(from ID, m *replicationpb.Confirm) {
	if m.GetEpoch() < c.acceptor.view.Epoch && c.acceptor.viewDurable {
		c.send(from, &replicationpb.Message{Body: &replicationpb.Message_Chosen{Chosen: &replicationpb.Chosen{View: viewPB(c.acceptor.view)}}})
	}
	if m.GetEpoch() != c.acceptor.view.Epoch || c.acceptor.hasAcceptedLater() || !c.acceptor.isVoter(c.acceptor.view) {
		return
	}
	c.send(from, &replicationpb.Message{Body: &replicationpb.Message_Confirmed{Confirmed: &replicationpb.Confirmed{
		Epoch: m.GetEpoch(), Round: m.GetRound(), Life: m.GetLife(),
	}}})
}

func (c *readConfirmation) handleConfirmed(from ID, m *replicationpb.Confirmed) {
	if c.isThisIncarnation(m.GetLife()) && m.GetRound() == c.number && m.GetEpoch() == c.epoch && c.epoch == c.acceptor.view.Epoch && len(c.waiters) > 0 {
		c.recordConfirmation(from)
	}
}

func (c *readConfirmation) recordConfirmation(id ID) {
	c.confirmedBy[id] = ""
	if !c.acceptor.isQuorum(c.acceptor.view, c.confirmedBy) {
		return
	}
	w := c.waiters
	c.waiters = nil
	for _, f := range w {
		f(true)
	}
	if len(c.waiters) == 0 {
		c.startRound()
	}
}
