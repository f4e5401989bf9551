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

func (cd *changeDecider) handleForward(from ID, m *replicationpb.Forward) {
	key := changeKey{from: from, incarnation: m.GetLife(), callNumber: m.GetId()}
	if o := cd.changes[key]; o != nil && !cd.cfg.knobs.SkipDeduplication {
		if o.done {
			cd.sendAnswer(o)
		}
		return
	}
	if m.GetHeadLife() != cd.cfg.Incarnation && !cd.cfg.knobs.AcceptAnyHeadIncarnation {
		return // it was for a former life: its sender notices
	}
	if len(cd.changes) >= maxChanges {
		// Not Refused: its key is not kept, so a double of this message may be taken once there is room.
		cd.sendAnswer(&pendingChange{key: key, outcome: Unknown})
		return
	}
	o := &pendingChange{key: key, closedAt: cd.now}
	cd.changes[key] = o
	if !cd.canDecide(from, m) {
		cd.closeChange(o, Refused)
		return
	}
	cd.decide(o, m.GetChange())
	o.seq = cd.chain.log.end()
	cd.pending = append(cd.pending, o)
	if cd.cfg.knobs.SkipVerdictConfirmation && o.verdict.Kind != controlstate.Accepted {
		o.seq, o.confirmed = 0, true
	}
	if !o.confirmed {
		// A deposed head must not judge by what it holds.
		cd.confirmation.confirmEpoch(func(ok bool) {
			if o.done {
				return
			}
			if o.confirmed = ok; !ok {
				cd.closeChange(o, Refused)
			}
			cd.completeChanges()
		})
	}
	cd.completeChanges()
}

// canDecide tells whether this keeper is the head that the change was sent to, can log it, and its caller still waits.
func (cd *changeDecider) canDecide(from ID, m *replicationpb.Forward) bool {
	sameEpoch := m.GetEpoch() == cd.acceptor.view.Epoch || cd.cfg.knobs.AcceptForwardsOfEarlierEpochs
	canLog := !cd.writer.unhealthy && !cd.liveness.leaving && len(cd.pending) < maxPendingCalls && len(cd.acceptor.view.Chain) >= cd.cfg.minChainLength()
	return cd.chain.isHead() && sameEpoch && canLog && cd.isBeforeDeadline(from, m)
}

// decide decides on a change by the state after the whole log, and logs it when it is accepted.
func (cd *changeDecider) decide(o *pendingChange, p *replicationpb.Entry) {
	change := controlstate.Change{Op: controlstate.Op(p.GetOp()), Base: p.GetBase(), Body: p.GetBody(), Zone: p.GetZone()}
	o.verdict = cd.chain.speculativeState().Check(change)
	if o.verdict.Kind != controlstate.Accepted {
		return
	}
	rec := change.Record(cd.chain.log.end() + 1)
	next, err := cd.chain.speculativeState().Apply(rec)
	if err != nil {
		o.verdict = controlstate.Verdict{Kind: controlstate.Invalid, Reason: err.Error()}
		return
	}
	cd.chain.uncommittedStates = append(cd.chain.uncommittedStates, next)
	cd.chain.log.entries = append(cd.chain.log.entries, entry{epoch: cd.acceptor.view.Epoch, rec: rec})
	o.confirmed = true
}

// isBeforeDeadline tells whether the caller of a forwarded change still waits for it. What the message says of the time left counts
// from when it was sent, and it may have been under way for long. It was sent after this head's heartbeat that its sender
// had heard, and when that was this head knows by its own clock. So no change is taken after its caller's deadline, at the
// cost of the time since that heartbeat. It takes that clocks run at one rate, not that they agree.
func (cd *changeDecider) isBeforeDeadline(from ID, m *replicationpb.Forward) bool {
	ttl := time.Duration(m.GetTtlUs()) * time.Microsecond
	if from == cd.self.ID || cd.cfg.knobs.AcceptLateForwards {
		return ttl > 0
	}
	heard := m.GetHeard()
	if heard == 0 || heard > cd.liveness.heartbeatNumber || heard+heartbeatHistory <= cd.liveness.heartbeatNumber {
		return false
	}
	return cd.now-cd.liveness.heartbeatSentAt[heard%heartbeatHistory] < ttl
}

func (cd *changeDecider) closeChange(o *pendingChange, out Outcome) {
	o.done, o.outcome, o.closedAt = true, out, cd.now
	cd.sendAnswer(o)
}

func (cd *changeDecider) sendAnswer(o *pendingChange) {
	cd.send(o.key.from, answerMessage(&replicationpb.Answer{
		Id: o.key.callNumber, Life: o.key.incarnation, Outcome: uint32(o.outcome), Kind: uint32(o.verdict.Kind), Reason: o.verdict.Reason, Seq: o.seq,
	}))
}

func (cd *changeDecider) completeChanges() {
	cd.pending = slices.DeleteFunc(cd.pending, func(o *pendingChange) bool {
		if !o.done && o.confirmed && o.seq <= cd.chain.commitIndex && (o.verdict.Kind == controlstate.Accepted || cd.chain.isActiveToTail() || cd.cfg.knobs.SkipVerdictConfirmation) {
			cd.closeChange(o, Answered)
		}
		return o.done
	})
}

// abandonChanges ends what a head that is about to enter another view cannot answer any more. A head that remains the head
// keeps its log, so what is in it may still be committed.
func (cd *changeDecider) abandonChanges() {
	stays := cd.acceptor.view.Head() == cd.self.ID && cd.acceptor.activeEpoch == cd.acceptor.view.Epoch
	cd.confirmation.failConfirmations()
	cd.pending = slices.DeleteFunc(cd.pending, func(o *pendingChange) bool {
		if !o.done && !stays {
			if o.verdict.Kind == controlstate.Accepted {
				cd.closeChange(o, Unknown)
			} else {
				cd.closeChange(o, Refused)
			}
		}
		return o.done
	})
}

// forgetChanges drops the changes that were answered so long ago that no duplicate of them can be accepted any more.
func (cd *changeDecider) forgetChanges() {
	for k, o := range cd.changes {
		if o.done && cd.now-o.closedAt > changeTTL {
			delete(cd.changes, k)
		}
	}
}
