package replication

import (
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// changeDecider is the head's side of changes: it decides on each forwarded change once, appends what is accepted to the log,
// and answers when the record that the verdict rests on is committed.
type changeDecider struct {
	*environment
	changes map[changeKey]*pendingChange
	pending []*pendingChange // in the head's log and not yet committed, by number

	acceptor     *acceptor
	writer       *diskWriter
	liveness     *liveness
	chain        *chainReplica
	confirmation *readConfirmation
}

type changeKey struct {
	from                    ID
	incarnation, callNumber uint64
}

// pendingChange is a change that came to the head.
type pendingChange struct {
	key       changeKey
	verdict   controlstate.Verdict
	seq       uint64 // the verdict stands when this is committed
	confirmed bool
	done      bool
	outcome   Outcome
	closedAt  time.Duration
}

func (c *changeDecider) handleForward(from ID, m *replicationpb.Forward) {
	key := changeKey{from: from, incarnation: m.GetLife(), callNumber: m.GetId()}
	if o := c.changes[key]; o != nil && !c.cfg.knobs.SkipDeduplication {
		if o.done {
			c.sendAnswer(o)
		}
		return
	}
	if m.GetHeadLife() != c.cfg.Incarnation && !c.cfg.knobs.AcceptAnyHeadIncarnation {
		return // it was for a former life: its sender notices
	}
	if len(c.changes) >= maxChanges {
		// Not Refused: its key is not kept, so a double of this message may be taken once there is room.
		c.sendAnswer(&pendingChange{key: key, outcome: Unknown})
		return
	}
	o := &pendingChange{key: key, closedAt: c.now}
	c.changes[key] = o
	if !c.canDecide(from, m) {
		c.closeChange(o, Refused)
		return
	}
	c.decide(o, m.GetChange())
	o.seq = c.chain.log.end()
	c.pending = append(c.pending, o)
	if c.cfg.knobs.SkipVerdictConfirmation && o.verdict.Kind != controlstate.Accepted {
		o.seq, o.confirmed = 0, true
	}
	if !o.confirmed {
		// A deposed head must not judge by what it holds.
		c.confirmation.confirmEpoch(func(ok bool) {
			if o.done {
				return
			}
			if o.confirmed = ok; !ok {
				c.closeChange(o, Refused)
			}
			c.completeChanges()
		})
	}
	c.completeChanges()
}

// canDecide tells whether this keeper is the head that the change was sent to, can log it, and its caller still waits.
func (c *changeDecider) canDecide(from ID, m *replicationpb.Forward) bool {
	sameEpoch := m.GetEpoch() == c.acceptor.view.Epoch || c.cfg.knobs.AcceptForwardsOfEarlierEpochs
	canLog := !c.writer.unhealthy && !c.liveness.leaving && len(c.pending) < maxPendingCalls && len(c.acceptor.view.Chain) >= c.cfg.minChainLength()
	return c.chain.isHead() && sameEpoch && canLog && c.isBeforeDeadline(from, m)
}

// decide decides on a change by the state after the whole log, and logs it when it is accepted.
func (c *changeDecider) decide(o *pendingChange, p *replicationpb.Entry) {
	change := controlstate.Change{Op: controlstate.Op(p.GetOp()), Base: p.GetBase(), Body: p.GetBody(), Zone: p.GetZone()}
	o.verdict = c.chain.speculativeState().Check(change)
	if o.verdict.Kind != controlstate.Accepted {
		return
	}
	rec := change.Record(c.chain.log.end() + 1)
	next, err := c.chain.speculativeState().Apply(rec)
	if err != nil {
		o.verdict = controlstate.Verdict{Kind: controlstate.Invalid, Reason: err.Error()}
		return
	}
	c.chain.uncommittedStates = append(c.chain.uncommittedStates, next)
	c.chain.log.entries = append(c.chain.log.entries, entry{epoch: c.acceptor.view.Epoch, rec: rec})
	o.confirmed = true
}

// isBeforeDeadline tells whether the caller of a forwarded change still waits for it. What the message says of the time left counts
// from when it was sent, and it may have been under way for long. It was sent after this head's heartbeat that its sender
// had heard, and when that was this head knows by its own clock. So no change is taken after its caller's deadline, at the
// cost of the time since that heartbeat. It takes that clocks run at one rate, not that they agree.
func (c *changeDecider) isBeforeDeadline(from ID, m *replicationpb.Forward) bool {
	ttl := time.Duration(m.GetTtlUs()) * time.Microsecond
	if from == c.self.ID || c.cfg.knobs.AcceptLateForwards {
		return ttl > 0
	}
	heard := m.GetHeard()
	if heard == 0 || heard > c.liveness.heartbeatNumber || heard+heartbeatHistory <= c.liveness.heartbeatNumber {
		return false
	}
	return c.now-c.liveness.heartbeatSentAt[heard%heartbeatHistory] < ttl
}

func (c *changeDecider) closeChange(o *pendingChange, out Outcome) {
	o.done, o.outcome, o.closedAt = true, out, c.now
	c.sendAnswer(o)
}

func (c *changeDecider) sendAnswer(o *pendingChange) {
	c.send(o.key.from, &replicationpb.Message{Body: &replicationpb.Message_Answer{Answer: &replicationpb.Answer{
		Id: o.key.callNumber, Life: o.key.incarnation, Outcome: uint32(o.outcome), Kind: uint32(o.verdict.Kind), Reason: o.verdict.Reason, Seq: o.seq,
	}}})
}

func (c *changeDecider) completeChanges() {
	c.pending = slices.DeleteFunc(c.pending, func(o *pendingChange) bool {
		if !o.done && o.confirmed && o.seq <= c.chain.commitIndex && (o.verdict.Kind == controlstate.Accepted || c.chain.isActiveToTail() || c.cfg.knobs.SkipVerdictConfirmation) {
			c.closeChange(o, Answered)
		}
		return o.done
	})
}

// abandonChanges ends what a head that is about to enter another view cannot answer any more. A head that remains the head
// keeps its log, so what is in it may still be committed.
func (c *changeDecider) abandonChanges() {
	stays := c.acceptor.view.Head() == c.self.ID && c.acceptor.activeEpoch == c.acceptor.view.Epoch
	c.confirmation.failConfirmations()
	c.pending = slices.DeleteFunc(c.pending, func(o *pendingChange) bool {
		if !o.done && !stays {
			if o.verdict.Kind == controlstate.Accepted {
				c.closeChange(o, Unknown)
			} else {
				c.closeChange(o, Refused)
			}
		}
		return o.done
	})
}

// forgetChanges drops the changes that were answered so long ago that no duplicate of them can be accepted any more.
func (c *changeDecider) forgetChanges() {
	for k, o := range c.changes {
		if o.done && c.now-o.closedAt > changeTTL {
			delete(c.changes, k)
		}
	}
}
