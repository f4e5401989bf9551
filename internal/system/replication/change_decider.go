package replication

import (
	"slices"
	"strings"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

const (
	changeTTL  = 15 * time.Second // how long a duplicate of a change is recognized; longer than any change may be in flight
	maxChanges = 4096
)

// changeDecider is the head's side of changes: it decides on each forwarded change once, by the state after the complete log, appends
// accepted changes, and answers when the record that the verdict depends on is committed.
type changeDecider struct {
	*environment
	changes map[changeKey]*pendingChange
	pending []*pendingChange // decided, the verdict not final yet, ordered by pendingChange.seq

	acceptor     *acceptor
	writer       *diskWriter
	liveness     *liveness
	chain        *chainReplica
	confirmation *readConfirmation
}

// changeKey identifies a change among all that were ever forwarded.
type changeKey struct {
	from                    ID
	incarnation, callNumber uint64 // of the sender
}

// pendingChange is a change that was forwarded to the head.
type pendingChange struct {
	key       changeKey
	verdict   controlstate.Verdict
	seq       uint64 // the verdict is final when this record is committed
	confirmed bool   // the verdict needs no further confirmation of the epoch
	done      bool
	outcome   CallOutcome
	closedAt  time.Duration
}

// handleForward decides on a change, unless it has already been decided.
func (cd *changeDecider) handleForward(from ID, msg *replicationpb.Forward) {
	key := changeKey{from: from, incarnation: msg.GetLife(), callNumber: msg.GetId()}
	if known := cd.changes[key]; known != nil && !cd.cfg.knobs.SkipDeduplication {
		if known.done {
			cd.sendAnswer(known)
		}
		return
	}
	if msg.GetHeadLife() != cd.cfg.Incarnation && !cd.cfg.knobs.AcceptAnyHeadIncarnation {
		return // it was sent to a previous incarnation; its sender learns of the restart from the heartbeats
	}
	if len(cd.changes) >= maxChanges {
		// Not Refused: the key is not kept, so a duplicate of this message may be accepted once there is capacity.
		cd.sendAnswer(&pendingChange{key: key, outcome: Unknown})
		return
	}
	change := &pendingChange{key: key, closedAt: cd.now}
	cd.changes[key] = change
	if !cd.canDecide(from, msg) {
		cd.closeChange(change, Refused)
		return
	}
	cd.decide(change, msg.GetChange())
	if !change.confirmed {
		cd.confirmVerdict(change)
	}
	cd.completeChanges()
}

// canDecide reports whether this node is the head that the change was sent to, in the epoch of the change, can append it, and the
// caller still waits.
func (cd *changeDecider) canDecide(from ID, msg *replicationpb.Forward) bool {
	isSameEpoch := msg.GetEpoch() == cd.acceptor.view.Epoch || cd.cfg.knobs.AcceptForwardsOfEarlierEpochs
	return cd.chain.isHead() && isSameEpoch && cd.canAppend() && cd.isBeforeDeadline(from, msg)
}

// canAppend reports whether a record appended now is likely to be committed, and there is capacity for it.
func (cd *changeDecider) canAppend() bool {
	isFit := cd.liveness.hasUsableDisk() && !cd.liveness.draining
	return isFit && len(cd.pending) < maxPendingCalls && len(cd.acceptor.view.Chain) >= cd.cfg.minChainLength()
}

// isBeforeDeadline reports whether the caller of a forwarded change still waits for it (invariant 6 of the package).
//
// The message states how much time was left when it was sent, and it may have been in flight for long. Let it be sent at s with time
// t left. Its sender had by then received the head's heartbeat h, so s ≥ sent(h), which the head knows by its own clock. The change
// is accepted at n only if n − sent(h) < t; then n < s + t. The cost is the time since h, by which the deadline is effectively
// shortened. This assumes that clocks run at the same rate, not that they agree.
func (cd *changeDecider) isBeforeDeadline(from ID, msg *replicationpb.Forward) bool {
	timeLeft := time.Duration(msg.GetTtlUs()) * time.Microsecond
	if from == cd.self.ID || cd.cfg.knobs.AcceptLateForwards {
		return timeLeft > 0
	}
	sentAt, ok := cd.liveness.sentTime(msg.GetHeard())
	return ok && cd.now-sentAt < timeLeft
}

// decide decides on a change by the state after the complete log, and appends the change if it is accepted. The verdict depends on
// that complete log.
func (cd *changeDecider) decide(change *pendingChange, p *replicationpb.Entry) {
	if cd.tryAppend(change, p) {
		change.confirmed = true // the epoch is confirmed when the record is committed
	}
	change.seq = cd.chain.log.end()
	cd.pending = append(cd.pending, change)
	if cd.cfg.knobs.SkipVerdictConfirmation && change.verdict.Kind != controlstate.Accepted {
		change.seq, change.confirmed = 0, true
	}
}

// tryAppend sets the verdict, and appends the change if it is accepted.
func (cd *changeDecider) tryAppend(change *pendingChange, p *replicationpb.Entry) bool {
	wanted := controlstate.Change{Op: controlstate.Op(p.GetOp()), Base: p.GetBase(), Body: p.GetBody(), Zone: p.GetZone()}
	state := cd.chain.speculativeState()
	if change.verdict = state.Check(wanted); change.verdict.Kind != controlstate.Accepted {
		return false
	}
	rec := wanted.Record(cd.chain.log.end() + 1)
	next, err := state.Apply(rec)
	if err != nil {
		change.verdict = controlstate.Verdict{Kind: controlstate.Invalid, Reason: err.Error()}
		return false
	}
	cd.chain.appendAsHead(entry{epoch: cd.acceptor.view.Epoch, rec: rec}, next)
	return true
}

// confirmVerdict asks the voters for confirmation before a verdict that appends nothing is returned: a deposed head must not decide
// by its state.
func (cd *changeDecider) confirmVerdict(change *pendingChange) {
	cd.confirmation.confirmEpoch(func(confirmed bool) {
		if change.done {
			return
		}
		if change.confirmed = confirmed; !confirmed {
			cd.closeChange(change, Refused)
		}
		cd.completeChanges()
	})
}

func (cd *changeDecider) closeChange(change *pendingChange, outcome CallOutcome) {
	change.done, change.outcome, change.closedAt = true, outcome, cd.now
	cd.sendAnswer(change)
}

func (cd *changeDecider) sendAnswer(change *pendingChange) {
	cd.send(change.key.from, answerMessage(&replicationpb.Answer{
		Id: change.key.callNumber, Life: change.key.incarnation, Outcome: uint32(change.outcome),
		Kind: uint32(change.verdict.Kind), Reason: strings.ToValidUTF8(change.verdict.Reason, "\ufffd"), Seq: change.seq,
	}))
}

// completeChanges answers the changes whose verdict is final.
func (cd *changeDecider) completeChanges() {
	cd.pending = slices.DeleteFunc(cd.pending, func(change *pendingChange) bool {
		if !change.done && cd.isFinal(change) {
			cd.closeChange(change, Answered)
		}
		return change.done
	})
}

// isFinal reports whether the verdict depends only on what is committed. A verdict that appends nothing also needs the complete chain
// to be active: an inactive replica may still hold a log of an old epoch with records that the head lacks.
func (cd *changeDecider) isFinal(change *pendingChange) bool {
	if !change.confirmed || change.seq > cd.chain.commitIndex {
		return false
	}
	return change.verdict.Kind == controlstate.Accepted || cd.chain.isActiveToTail() || cd.cfg.knobs.SkipVerdictConfirmation
}

// abandonChanges ends the changes that a head about to enter another view can no longer answer. A head that remains the head keeps
// its log, so records in it may still be committed.
func (cd *changeDecider) abandonChanges() {
	remainsHead := cd.acceptor.view.Head() == cd.self.ID && cd.acceptor.activeEpoch == cd.acceptor.view.Epoch
	cd.confirmation.failConfirmations()
	cd.pending = slices.DeleteFunc(cd.pending, func(change *pendingChange) bool {
		switch {
		case change.done || remainsHead:
		case change.verdict.Kind == controlstate.Accepted:
			cd.closeChange(change, Unknown)
		default:
			cd.closeChange(change, Refused)
		}
		return change.done
	})
}

// forgetChanges removes the changes that were answered so long ago that no duplicate of them can be accepted any more.
func (cd *changeDecider) forgetChanges() {
	for key, change := range cd.changes {
		if change.done && cd.now-change.closedAt > changeTTL {
			delete(cd.changes, key)
		}
	}
}
