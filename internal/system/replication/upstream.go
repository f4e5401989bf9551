package replication

import (
	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// This file is the receiving side of the chain: links and learners take what the one upstream hands on.

// isUpstream tells whether id feeds this keeper in the epoch.
func (cr *chainReplica) isUpstream(id ID, epoch uint64, learner bool) bool {
	if cr.err != nil {
		return false
	}
	if cr.cfg.knobs.AcceptAnyEpoch && epoch < cr.acceptor.view.Epoch && !learner {
		return cr.acceptor.viewDurable
	}
	cr.acceptor.sendNewerView(id, epoch)
	if epoch != cr.acceptor.view.Epoch || !cr.acceptor.viewDurable {
		return false
	}
	if cr.acceptor.view.chainIndex(cr.self.ID) >= 0 {
		return !learner && id == cr.predecessor()
	}
	return learner && cr.acceptor.view.chainIndex(id) >= 0
}

func (cr *chainReplica) sendMismatch(to ID) {
	base, baseEpoch, runs := cr.log.runs()
	cr.send(to, ackMessage(&replicationpb.Ack{
		Epoch: cr.acceptor.view.Epoch, Mismatch: true, Base: base, BaseEpoch: baseEpoch, Runs: runs,
	}))
}

func (cr *chainReplica) handleAppend(from ID, m *replicationpb.Append) {
	if !cr.isUpstream(from, m.GetEpoch(), m.GetLearner()) {
		return
	}
	prev, entries := m.GetPrevSeq(), m.GetEntries()
	last := prev + uint64(len(entries))
	switch epoch, ok := cr.log.epochAt(prev); {
	case prev < cr.log.base:
		// What is below base is committed, so it is the same here.
		entries = entries[min(uint64(len(entries)), cr.log.base-prev):]
	case !ok || epoch != m.GetPrevEpoch():
		cr.sendMismatch(from)
		return
	}
	if cr.cfg.knobs.TruncateOnJoin && !cr.isActive() {
		cr.truncateLog(max(prev, cr.commitIndex))
	}
	for _, p := range entries {
		seq := p.GetSeq()
		if have, ok := cr.log.epochAt(seq); ok {
			if have == p.GetEpoch() {
				continue
			}
			if seq <= cr.commitIndex || cr.isActive() && !cr.cfg.knobs.AcceptAnyEpoch {
				cr.fail(errors.Newf("replication: record %d here is of epoch %d, at the link before of epoch %d: empty this keeper's data directory",
					seq, have, p.GetEpoch()))
				return
			}
			cr.truncateLog(seq - 1)
		}
		if seq != cr.log.end()+1 {
			return
		}
		cr.log.entries = append(cr.log.entries, entryOf(p))
	}
	cr.matchIndex, cr.upstreamMatched = max(cr.matchIndex, min(last, cr.log.end())), true
	if m.GetLearner() {
		// What was under way while this process stood still says nothing of now.
		if n := m.GetFollow(); n <= cr.liveness.heartbeatNumber && n+heartbeatHistory > cr.liveness.heartbeatNumber {
			cr.caughtUp, cr.caughtUpAt = true, max(cr.caughtUpAt, cr.liveness.heartbeatSentAt[n%heartbeatHistory])
		}
		cr.upstreamCommitIndex = max(cr.upstreamCommitIndex, m.GetCommitted())
		cr.advanceCommitIndex(min(cr.upstreamCommitIndex, cr.matchIndex, cr.writer.durableEnd))
		cr.send(from, ackMessage(&replicationpb.Ack{Epoch: m.GetEpoch(), Matched: cr.durableIndex()}))
		return
	}
	if cr.acceptor.activeEpoch != cr.acceptor.view.Epoch {
		cr.epochStartIndex = m.GetStart()
		// What goes beyond the link before is of an old epoch and was never acknowledged. A link before that has just
		// started may not know yet where its log ends; all that was acknowledged is below start in any case.
		end := m.GetEnd()
		if end >= max(cr.epochStartIndex, cr.commitIndex) && end < cr.log.end() && cr.log.at(end+1).epoch != cr.acceptor.view.Epoch {
			cr.truncateLog(end)
		}
	}
	// Danger: after a start all links may hold the same log, and no write follows upon which the tail would commit it.
	cr.onDurableChange()
}

// tryActivate makes this link active once all of its predecessor's log from before the epoch is on its disk.
func (cr *chainReplica) tryActivate() {
	v := cr.acceptor.view
	if !cr.acceptor.viewDurable || cr.err != nil || cr.acceptor.activeEpoch == v.Epoch || cr.acceptor.sealedEpoch == v.Epoch || !cr.upstreamMatched || cr.predecessor() == "" {
		return
	}
	if cr.matchIndex < cr.epochStartIndex || cr.writer.durableEnd < cr.epochStartIndex || cr.writer.truncateNeeded || cr.writer.pendingInstall != nil {
		return
	}
	cr.acceptor.activeEpoch, cr.minReadIndex = v.Epoch, max(cr.minReadIndex, cr.epochStartIndex)
	cr.writer.persist(func() {
		if cr.acceptor.view == v {
			cr.onDurableChange()
		}
	})
}

func (cr *chainReplica) handleInstall(from ID, m *replicationpb.Install) {
	if !cr.isUpstream(from, m.GetEpoch(), m.GetLearner()) || cr.isActive() || m.GetSeq() <= cr.commitIndex {
		return
	}
	s, err := cr.machine.Decode(m.GetState())
	if err != nil {
		cr.logEvent("replication: a snapshot from another keeper cannot be read: " + err.Error())
		return
	}
	snap, err := encodeImage(m.GetSeq(), m.GetSeqEpoch(), s)
	if err != nil {
		cr.fail(err)
		return
	}
	// What was here may have been acknowledged, and is gone until the records above the snapshot come: this log does
	// not stand for earlier epochs any more.
	cr.acceptor.activeEpoch = 0
	cr.writer.persist(nil)
	cr.log = memoryLog{base: m.GetSeq(), baseEpoch: m.GetSeqEpoch()}
	cr.state, cr.commitIndex, cr.matchIndex = s, m.GetSeq(), m.GetSeq()
	cr.writer.pendingInstall, cr.writer.durableEnd, cr.writer.truncateNeeded = &snap, 0, false
	cr.waiting.completeReads()
	cr.send(from, ackMessage(&replicationpb.Ack{Epoch: m.GetEpoch(), Matched: m.GetSeq()}))
}

// sendFollow asks a link for what is committed, when this keeper is outside the chain.
func (cr *chainReplica) sendFollow() {
	v := cr.acceptor.view
	if v.Epoch == 0 || !cr.acceptor.viewDurable || v.chainIndex(cr.self.ID) >= 0 {
		return
	}
	for i := len(v.Chain) - 1; i >= 0; i-- {
		id := v.Chain[i]
		if p := cr.liveness.peers[id]; p == nil || !cr.liveness.isAlive(id) || p.heartbeat.GetActive() != v.Epoch {
			continue
		}
		base, baseEpoch, runs := cr.log.runs()
		cr.send(id, followMessage(&replicationpb.Follow{
			Epoch: v.Epoch, Base: base, BaseEpoch: baseEpoch, Runs: runs, Number: cr.liveness.heartbeatNumber,
		}))
		return
	}
}
