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
func (rc *readConfirmation) tickConfirmation() {
	if len(rc.waiters) == 0 {
		return
	}
	if rc.now-rc.startedAt > confirmTimeout {
		w := rc.waiters
		rc.waiters = nil
		for _, f := range w {
			f(false)
		}
		rc.startRound()
	} else if rc.now-rc.sentAt >= callResendInterval {
		rc.sendRound()
	}
}

func (rc *readConfirmation) handleReadIndex(from ID, m *replicationpb.ReadIndex) {
	if m.GetEpoch() != rc.acceptor.view.Epoch || !rc.chain.isTail() {
		return
	}
	epoch := rc.acceptor.view.Epoch
	rc.confirmEpoch(func(ok bool) {
		// Below floor there may be records that an earlier tail, or this one in an earlier life, has acknowledged.
		if !ok || !rc.chain.isTail() || rc.acceptor.view.Epoch != epoch || !rc.chain.holdsAcknowledged() {
			return // asked again soon
		}
		rc.send(from, readAtMessage(&replicationpb.ReadAt{
			Id: m.GetId(), Life: m.GetLife(), Seq: rc.chain.commitIndex,
		}))
	})
}

// confirmEpoch calls f once a majority of voters has said, asked from now on, that they know of no view after this one and
// have accepted none. A later view is chosen only when a majority has accepted it, so none is yet.
func (rc *readConfirmation) confirmEpoch(f func(bool)) {
	if rc.cfg.knobs.SkipReadConfirmation {
		f(true)
		return
	}
	if len(rc.queued) >= maxPendingCalls {
		f(false)
		return
	}
	rc.queued = append(rc.queued, f)
	if len(rc.waiters) == 0 {
		rc.startRound()
	}
}

func (rc *readConfirmation) startRound() {
	if len(rc.queued) == 0 {
		return
	}
	rc.waiters, rc.queued = rc.queued, nil
	rc.number++
	rc.epoch, rc.startedAt, rc.confirmedBy = rc.acceptor.view.Epoch, rc.now, map[ID]string{}
	rc.sendRound()
	if rc.acceptor.isVoter(rc.acceptor.view) && !rc.acceptor.hasAcceptedLater() {
		rc.recordConfirmation(rc.self.ID)
	}
}

func (rc *readConfirmation) sendRound() {
	rc.sentAt = rc.now
	for _, m := range rc.acceptor.view.Voters {
		if _, ok := rc.confirmedBy[m.ID]; !ok && m.ID != rc.self.ID {
			rc.send(m.ID, confirmMessage(&replicationpb.Confirm{
				Epoch: rc.epoch, Round: rc.number, Life: rc.cfg.Incarnation,
			}))
		}
	}
}

func (rc *readConfirmation) failConfirmations() {
	w := slices.Concat(rc.waiters, rc.queued)
	rc.waiters, rc.queued = nil, nil
	for _, f := range w {
		f(false)
	}
}

func (rc *readConfirmation) handleConfirm(from ID, m *replicationpb.Confirm) {
	rc.acceptor.sendNewerView(from, m.GetEpoch())
	if m.GetEpoch() != rc.acceptor.view.Epoch || rc.acceptor.hasAcceptedLater() || !rc.acceptor.isVoter(rc.acceptor.view) {
		return
	}
	rc.send(from, confirmedMessage(&replicationpb.Confirmed{
		Epoch: m.GetEpoch(), Round: m.GetRound(), Life: m.GetLife(),
	}))
}

func (rc *readConfirmation) handleConfirmed(from ID, m *replicationpb.Confirmed) {
	if rc.isThisIncarnation(m.GetLife()) && m.GetRound() == rc.number && m.GetEpoch() == rc.epoch && rc.epoch == rc.acceptor.view.Epoch && len(rc.waiters) > 0 {
		rc.recordConfirmation(from)
	}
}

func (rc *readConfirmation) recordConfirmation(id ID) {
	rc.confirmedBy[id] = ""
	if !rc.acceptor.isQuorum(rc.acceptor.view, rc.confirmedBy) {
		return
	}
	w := rc.waiters
	rc.waiters = nil
	for _, f := range w {
		f(true)
	}
	if len(rc.waiters) == 0 {
		rc.startRound()
	}
}
