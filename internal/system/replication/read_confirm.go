package replication

import (
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

const confirmTimeout = 1500 * time.Millisecond

// readConfirmation asks the voters in rounds whether the epoch is still current (invariant 5 of the package). A request that arrives
// during a round waits for the next one, since the voters may have answered before it arrived.
type readConfirmation struct {
	*environment
	number      uint64 // of the round, 0 before the first
	epoch       uint64 // that the round asks about
	startedAt   time.Duration
	sentAt      time.Duration
	confirmedBy voterSet
	waiters     []func(confirmed bool) // for the current round; empty: no round is in progress
	queued      []func(confirmed bool) // for the next round

	acceptor *acceptor
	chain    *chainReplica
}

// confirmEpoch calls then with true once a majority of the voters, asked after this call, has confirmed that they know of no view
// after this one and have accepted none. A later view is chosen only when a majority has accepted it, so none has been chosen yet. It
// calls then with false if the epoch ends or the round times out.
func (rc *readConfirmation) confirmEpoch(then func(confirmed bool)) {
	if rc.cfg.knobs.SkipReadConfirmation {
		then(true)
		return
	}
	if len(rc.queued) >= maxPendingCalls {
		then(false)
		return
	}
	rc.queued = append(rc.queued, then)
	if len(rc.waiters) == 0 {
		rc.startRound()
	}
}

// startRound asks the voters on behalf of the queued requests.
func (rc *readConfirmation) startRound() {
	if len(rc.queued) == 0 {
		return
	}
	rc.waiters, rc.queued = rc.queued, nil
	rc.number++
	rc.epoch, rc.startedAt, rc.confirmedBy = rc.acceptor.view.Epoch, rc.now, voterSet{}
	rc.sendRound()
	if rc.acceptor.isVoter(rc.acceptor.view) && !rc.acceptor.hasAcceptedLater() {
		rc.recordConfirmation(rc.self.ID)
	}
}

// sendRound asks the voters that have not confirmed yet.
func (rc *readConfirmation) sendRound() {
	rc.sentAt = rc.now
	for _, m := range rc.acceptor.view.Voters {
		if _, ok := rc.confirmedBy[m.ID]; !ok && m.ID != rc.self.ID {
			rc.send(m.ID, confirmMessage(&replicationpb.Confirm{Epoch: rc.epoch, Round: rc.number, Life: rc.cfg.Incarnation}))
		}
	}
}

// tickConfirmation ends a round that takes too long, or resends its messages.
func (rc *readConfirmation) tickConfirmation() {
	if len(rc.waiters) == 0 {
		return
	}
	if rc.now-rc.startedAt > confirmTimeout {
		rc.endRound(false)
		rc.startRound()
	} else if rc.now-rc.sentAt >= callResendInterval {
		rc.sendRound()
	}
}

// endRound reports the result to those who wait for the round.
func (rc *readConfirmation) endRound(confirmed bool) {
	waiters := rc.waiters
	rc.waiters = nil
	for _, then := range waiters {
		then(confirmed)
	}
}

// failConfirmations fails the current round and the queued requests when the epoch ends.
func (rc *readConfirmation) failConfirmations() {
	rc.waiters, rc.queued = slices.Concat(rc.waiters, rc.queued), nil
	rc.endRound(false)
}

// handleConfirm confirms an epoch as a voter.
func (rc *readConfirmation) handleConfirm(from ID, m *replicationpb.Confirm) {
	ac := rc.acceptor
	ac.sendNewerView(from, m.GetEpoch())
	if m.GetEpoch() != ac.view.Epoch || ac.hasAcceptedLater() || !ac.isVoter(ac.view) {
		return
	}
	rc.send(from, confirmedMessage(&replicationpb.Confirmed{Epoch: m.GetEpoch(), Round: m.GetRound(), Life: m.GetLife()}))
}

func (rc *readConfirmation) handleConfirmed(from ID, m *replicationpb.Confirmed) {
	if len(rc.waiters) > 0 && rc.isForCurrentRound(m) && rc.epoch == rc.acceptor.view.Epoch {
		rc.recordConfirmation(from)
	}
}

// isForCurrentRound reports whether a confirmation answers the round in progress.
func (rc *readConfirmation) isForCurrentRound(m *replicationpb.Confirmed) bool {
	return rc.isThisIncarnation(m.GetLife()) && m.GetRound() == rc.number && m.GetEpoch() == rc.epoch
}

// recordConfirmation ends the round once a majority of the voters has confirmed.
func (rc *readConfirmation) recordConfirmation(id ID) {
	rc.confirmedBy[id] = ""
	if !rc.acceptor.isQuorum(rc.acceptor.view, rc.confirmedBy) {
		return
	}
	rc.endRound(true)
	if len(rc.waiters) == 0 {
		rc.startRound()
	}
}

// handleReadIndex answers a read as the tail, with the commit index, once the epoch is confirmed. If it does not answer, the reader
// asks again.
func (rc *readConfirmation) handleReadIndex(from ID, m *replicationpb.ReadIndex) {
	if m.GetEpoch() != rc.acceptor.view.Epoch || !rc.chain.isTail() {
		return
	}
	epoch := rc.acceptor.view.Epoch
	rc.confirmEpoch(func(confirmed bool) {
		if confirmed && rc.acceptor.view.Epoch == epoch && rc.canAnswerReads() {
			rc.send(from, readAtMessage(&replicationpb.ReadAt{Id: m.GetId(), Life: m.GetLife(), Seq: rc.chain.commitIndex}))
		}
	})
}

// canAnswerReads reports whether this node is the tail and knows everything to be committed that an earlier tail, or this one in a
// previous incarnation, may have acknowledged.
func (rc *readConfirmation) canAnswerReads() bool {
	return rc.chain.isTail() && rc.chain.holdsAcknowledged()
}
