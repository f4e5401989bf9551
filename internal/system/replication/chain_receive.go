package replication

import (
	"slices"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// This file contains the receiving side of the chain: replicas and learners receive records or snapshots from the replica upstream.

// isUpstream reports whether id may send this node the log of the epoch. For a replica that is its predecessor, for a learner any
// replica.
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
	if cr.isInChain() {
		return !learner && id == cr.predecessor()
	}
	return learner && cr.acceptor.view.chainIndex(id) >= 0
}

// sendMismatch requests records from the replica upstream, with a summary of the log here.
func (cr *chainReplica) sendMismatch(to ID) {
	sum := cr.log.summary()
	cr.send(to, ackMessage(&replicationpb.Ack{
		Epoch: cr.acceptor.view.Epoch, Mismatch: true, Base: sum.base, BaseEpoch: sum.baseEpoch, Runs: sum.runs,
	}))
}

// sendAck reports to the predecessor what is on disk here and what is committed.
func (cr *chainReplica) sendAck() {
	predecessor := cr.predecessor()
	if predecessor == "" || !cr.upstreamMatched || !cr.acceptor.viewDurable || cr.err != nil {
		return
	}
	cr.ackSentAt = cr.now
	cr.send(predecessor, ackMessage(&replicationpb.Ack{
		Epoch: cr.acceptor.view.Epoch, Matched: cr.durableIndex(), Committed: cr.commitIndex,
		Active: cr.isActive(), Complete: cr.isActiveToTail(),
	}))
}

// tickPredecessor resends the acknowledgement, or requests records if none have arrived yet.
func (cr *chainReplica) tickPredecessor() {
	interval := resendTimeout
	if !cr.upstreamMatched {
		interval = catchUpInterval
	}
	predecessor := cr.predecessor()
	if predecessor == "" || cr.now-cr.ackSentAt < interval {
		return
	}
	cr.ackSentAt = cr.now
	if cr.upstreamMatched {
		cr.sendAck()
	} else {
		cr.sendMismatch(predecessor)
	}
}

// handleAppend handles new records, or the information that there are none to send.
func (cr *chainReplica) handleAppend(from ID, msg *replicationpb.Append) {
	if !cr.isUpstream(from, msg.GetEpoch(), msg.GetLearner()) {
		return
	}
	prev, entries := msg.GetPrevSeq(), msg.GetEntries()
	last := prev + uint64(len(entries))
	switch epoch, ok := cr.log.epochAt(prev); {
	case prev < cr.log.base:
		// Records below base are committed, so they are the same here.
		entries = entries[min(uint64(len(entries)), cr.log.base-prev):]
	case !ok || epoch != msg.GetPrevEpoch():
		cr.sendMismatch(from)
		return
	}
	if cr.cfg.knobs.TruncateOnJoin && !cr.isActive() {
		cr.truncateLog(max(prev, cr.commitIndex))
	}
	if !cr.appendEntries(entries) {
		return
	}
	cr.matchIndex, cr.upstreamMatched = max(cr.matchIndex, min(last, cr.log.end())), true
	if msg.GetLearner() {
		cr.followUpstream(from, msg)
		return
	}
	if cr.acceptor.activeEpoch != cr.acceptor.view.Epoch {
		cr.truncateStaleSuffix(msg)
	}
	// This is needed even if nothing was written: after a start of all nodes, all replicas may hold the same log, and no write follows
	// on whose completion the tail would commit it.
	cr.onDurableChange()
}

// appendEntries appends the records that the log lacks, and replaces those of other epochs. It returns false if the records do not
// continue the log, or contradict records that cannot be truncated.
func (cr *chainReplica) appendEntries(entries []*replicationpb.Entry) bool {
	for _, rec := range entries {
		seq := rec.GetSeq()
		if epoch, ok := cr.log.epochAt(seq); ok {
			if epoch == rec.GetEpoch() {
				continue
			}
			if !cr.canTruncate(seq) {
				cr.fail(&DivergedLogError{Seq: seq, Epoch: epoch, UpstreamEpoch: rec.GetEpoch()})
				return false
			}
			cr.truncateLog(seq - 1)
		}
		if seq != cr.log.end()+1 {
			return false
		}
		cr.log.entries = append(cr.log.entries, entryOf(rec))
	}
	return true
}

// canTruncate reports whether the record seq and those above it may be discarded: the record is not committed, and this replica is
// not active yet, so no acknowledgement depends on its log.
func (cr *chainReplica) canTruncate(seq uint64) bool {
	return seq > cr.commitIndex && (!cr.isActive() || cr.cfg.knobs.AcceptAnyEpoch)
}

// followUpstream makes a learner commit what is committed upstream.
func (cr *chainReplica) followUpstream(from ID, m *replicationpb.Append) {
	// The answer counts from when its request was sent: an answer that was in flight while this process was stalled proves nothing about
	// the present.
	if sentAt, ok := cr.liveness.sentTime(m.GetFollow()); ok {
		cr.caughtUp, cr.caughtUpAt = true, max(cr.caughtUpAt, sentAt)
	}
	cr.upstreamCommitIndex = max(cr.upstreamCommitIndex, m.GetCommitted())
	cr.commitAsLearner()
	cr.send(from, ackMessage(&replicationpb.Ack{Epoch: m.GetEpoch(), Matched: cr.durableIndex()}))
}

// truncateStaleSuffix truncates the records of an old epoch that an inactive replica holds beyond the log of its predecessor: they were never
// acknowledged. A predecessor that has just started may not know yet where its log ends. Everything that was acknowledged is at most
// epochStartIndex in any case, so the log is never truncated below that.
func (cr *chainReplica) truncateStaleSuffix(m *replicationpb.Append) {
	cr.epochStartIndex = m.GetStart()
	end := m.GetEnd()
	if end < max(cr.epochStartIndex, cr.commitIndex) || end >= cr.log.end() {
		return
	}
	if cr.log.at(end+1).epoch != cr.acceptor.view.Epoch {
		cr.truncateLog(end)
	}
}

// tryActivate makes this replica active once its disk holds the complete log that its predecessor had before the epoch.
func (cr *chainReplica) tryActivate() {
	if !cr.mayActivate() || !cr.holdsEpochStart() {
		return
	}
	v := cr.acceptor.view
	cr.acceptor.activeEpoch, cr.minReadIndex = v.Epoch, max(cr.minReadIndex, cr.epochStartIndex)
	cr.writer.persist(func() {
		if cr.acceptor.view == v {
			cr.onDurableChange()
		}
	})
}

// mayActivate reports whether this replica takes part in the epoch, has not sealed it and is not active yet. The head is activated by
// acceptor.enterEpoch.
func (cr *chainReplica) mayActivate() bool {
	ac := cr.acceptor
	isOpen := ac.activeEpoch != ac.view.Epoch && ac.sealedEpoch != ac.view.Epoch
	return cr.err == nil && ac.viewDurable && isOpen && cr.upstreamMatched && cr.predecessor() != ""
}

// holdsEpochStart reports whether the log up to the start of the epoch matches the predecessor's, and is on disk.
func (cr *chainReplica) holdsEpochStart() bool {
	return cr.matchIndex >= cr.epochStartIndex && cr.writer.durableEnd >= cr.epochStartIndex && cr.writer.isLogClean()
}

// handleInstall replaces the log with a snapshot.
func (cr *chainReplica) handleInstall(from ID, msg *replicationpb.Install) {
	if !cr.isUpstream(from, msg.GetEpoch(), msg.GetLearner()) || cr.isActive() || msg.GetSeq() <= cr.commitIndex {
		return
	}
	state, err := cr.machine.Decode(msg.GetState())
	if err != nil {
		cr.logEvent("replication: a snapshot from another node cannot be decoded: " + err.Error())
		return
	}
	snap, err := encodeImage(msg.GetSeq(), msg.GetSeqEpoch(), state)
	if err != nil {
		cr.fail(err)
		return
	}
	// The records here may have been acknowledged, and are missing until the records above the snapshot arrive: this log no longer
	// counts as the chain's log of earlier epochs. That is written to disk before the log on disk is removed.
	cr.acceptor.activeEpoch = 0
	cr.writer.persist(nil)
	cr.log = memoryLog{base: msg.GetSeq(), baseEpoch: msg.GetSeqEpoch()}
	cr.state, cr.commitIndex, cr.matchIndex = state, msg.GetSeq(), msg.GetSeq()
	cr.writer.install(&snap)
	cr.completer.completeReads()
	cr.send(from, ackMessage(&replicationpb.Ack{Epoch: msg.GetEpoch(), Matched: msg.GetSeq()}))
}

// sendFollow requests committed records from the last active replica, if this node is outside the chain. The request is sent with
// each heartbeat and has its number.
func (cr *chainReplica) sendFollow() {
	v := cr.acceptor.view
	if v.Epoch == 0 || !cr.acceptor.viewDurable || cr.isInChain() {
		return
	}
	for _, id := range slices.Backward(v.Chain) {
		if p := cr.liveness.peers[id]; p == nil || !cr.liveness.isAlive(id) || p.heartbeat.GetActive() != v.Epoch {
			continue
		}
		sum := cr.log.summary()
		cr.send(id, followMessage(&replicationpb.Follow{
			Epoch: v.Epoch, Base: sum.base, BaseEpoch: sum.baseEpoch, Runs: sum.runs, Number: cr.liveness.heartbeatNumber,
		}))
		return
	}
}
