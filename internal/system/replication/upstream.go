package replication

import (
	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// This file is the receiving side of the chain: links and learners take what the one upstream hands on.

// isUpstream tells whether id feeds this keeper in the epoch.
func (c *chainReplica) isUpstream(id ID, epoch uint64, learner bool) bool {
	if c.err != nil {
		return false
	}
	if c.cfg.knobs.AcceptAnyEpoch && epoch < c.acceptor.view.Epoch && !learner {
		return c.acceptor.viewDurable
	}
	if epoch < c.acceptor.view.Epoch && c.acceptor.viewDurable {
		c.send(id, &replicationpb.Message{Body: &replicationpb.Message_Chosen{Chosen: &replicationpb.Chosen{View: viewPB(c.acceptor.view)}}})
	}
	if epoch != c.acceptor.view.Epoch || !c.acceptor.viewDurable {
		return false
	}
	if c.acceptor.view.chainIndex(c.self.ID) >= 0 {
		return !learner && id == c.predecessor()
	}
	return learner && c.acceptor.view.chainIndex(id) >= 0
}

func (c *chainReplica) sendMismatch(to ID) {
	base, baseEpoch, runs := c.log.runs()
	c.send(to, &replicationpb.Message{Body: &replicationpb.Message_Ack{Ack: &replicationpb.Ack{
		Epoch: c.acceptor.view.Epoch, Mismatch: true, Base: base, BaseEpoch: baseEpoch, Runs: runs,
	}}})
}

func (c *chainReplica) handleAppend(from ID, m *replicationpb.Append) {
	if !c.isUpstream(from, m.GetEpoch(), m.GetLearner()) {
		return
	}
	prev, entries := m.GetPrevSeq(), m.GetEntries()
	last := prev + uint64(len(entries))
	switch epoch, ok := c.log.epochAt(prev); {
	case prev < c.log.base:
		// What is below base is committed, so it is the same here.
		entries = entries[min(uint64(len(entries)), c.log.base-prev):]
	case !ok || epoch != m.GetPrevEpoch():
		c.sendMismatch(from)
		return
	}
	if c.cfg.knobs.TruncateOnJoin && !c.isActive() {
		c.truncateLog(max(prev, c.commitIndex))
	}
	for _, p := range entries {
		seq := p.GetSeq()
		if have, ok := c.log.epochAt(seq); ok {
			if have == p.GetEpoch() {
				continue
			}
			if seq <= c.commitIndex || c.isActive() && !c.cfg.knobs.AcceptAnyEpoch {
				c.fail(errors.Newf("replication: record %d here is of epoch %d, at the link before of epoch %d: empty this keeper's data directory",
					seq, have, p.GetEpoch()))
				return
			}
			c.truncateLog(seq - 1)
		}
		if seq != c.log.end()+1 {
			return
		}
		c.log.entries = append(c.log.entries, entryOf(p))
	}
	c.matchIndex, c.upstreamMatched = max(c.matchIndex, min(last, c.log.end())), true
	if m.GetLearner() {
		// What was under way while this process stood still says nothing of now.
		if n := m.GetFollow(); n <= c.liveness.heartbeatNumber && n+heartbeatHistory > c.liveness.heartbeatNumber {
			c.caughtUp, c.caughtUpAt = true, max(c.caughtUpAt, c.liveness.heartbeatSentAt[n%heartbeatHistory])
		}
		c.upstreamCommitIndex = max(c.upstreamCommitIndex, m.GetCommitted())
		c.advanceCommitIndex(min(c.upstreamCommitIndex, c.matchIndex, c.writer.durableEnd))
		c.send(from, &replicationpb.Message{Body: &replicationpb.Message_Ack{Ack: &replicationpb.Ack{Epoch: m.GetEpoch(), Matched: c.durableIndex()}}})
		return
	}
	if c.acceptor.activeEpoch != c.acceptor.view.Epoch {
		c.epochStartIndex = m.GetStart()
		// What goes beyond the link before is of an old epoch and was never acknowledged. A link before that has just
		// started may not know yet where its log ends; all that was acknowledged is below start in any case.
		end := m.GetEnd()
		if end >= max(c.epochStartIndex, c.commitIndex) && end < c.log.end() && c.log.at(end+1).epoch != c.acceptor.view.Epoch {
			c.truncateLog(end)
		}
	}
	// Danger: after a start all links may hold the same log, and no write follows upon which the tail would commit it.
	c.onDurableChange()
}

// tryActivate makes this link active once all of its predecessor's log from before the epoch is on its disk.
func (c *chainReplica) tryActivate() {
	v := c.acceptor.view
	if !c.acceptor.viewDurable || c.err != nil || c.acceptor.activeEpoch == v.Epoch || c.acceptor.sealedEpoch == v.Epoch || !c.upstreamMatched || c.predecessor() == "" {
		return
	}
	if c.matchIndex < c.epochStartIndex || c.writer.durableEnd < c.epochStartIndex || c.writer.truncateNeeded || c.writer.pendingInstall != nil {
		return
	}
	c.acceptor.activeEpoch, c.minReadIndex = v.Epoch, max(c.minReadIndex, c.epochStartIndex)
	c.writer.persist(func() {
		if c.acceptor.view == v {
			c.onDurableChange()
		}
	})
}

func (c *chainReplica) handleInstall(from ID, m *replicationpb.Install) {
	if !c.isUpstream(from, m.GetEpoch(), m.GetLearner()) || c.isActive() || m.GetSeq() <= c.commitIndex {
		return
	}
	s, err := c.machine.Decode(m.GetState())
	if err != nil {
		c.logEvent("replication: a snapshot from another keeper cannot be read: " + err.Error())
		return
	}
	snap, err := encodeImage(m.GetSeq(), m.GetSeqEpoch(), s)
	if err != nil {
		c.fail(err)
		return
	}
	// What was here may have been acknowledged, and is gone until the records above the snapshot come: this log does
	// not stand for earlier epochs any more.
	c.acceptor.activeEpoch = 0
	c.writer.persist(nil)
	c.log = memoryLog{base: m.GetSeq(), baseEpoch: m.GetSeqEpoch()}
	c.state, c.commitIndex, c.matchIndex = s, m.GetSeq(), m.GetSeq()
	c.writer.pendingInstall, c.writer.durableEnd, c.writer.truncateNeeded = &snap, 0, false
	c.waiting.completeReads()
	c.send(from, &replicationpb.Message{Body: &replicationpb.Message_Ack{Ack: &replicationpb.Ack{Epoch: m.GetEpoch(), Matched: m.GetSeq()}}})
}

// sendFollow asks a link for what is committed, when this keeper is outside the chain.
func (c *chainReplica) sendFollow() {
	v := c.acceptor.view
	if v.Epoch == 0 || !c.acceptor.viewDurable || v.chainIndex(c.self.ID) >= 0 {
		return
	}
	for i := len(v.Chain) - 1; i >= 0; i-- {
		id := v.Chain[i]
		if p := c.liveness.peers[id]; p == nil || !c.liveness.isAlive(id) || p.heartbeat.GetActive() != v.Epoch {
			continue
		}
		base, baseEpoch, runs := c.log.runs()
		c.send(id, &replicationpb.Message{Body: &replicationpb.Message_Follow{Follow: &replicationpb.Follow{
			Epoch: v.Epoch, Base: base, BaseEpoch: baseEpoch, Runs: runs, Number: c.liveness.heartbeatNumber,
		}}})
		return
	}
}
