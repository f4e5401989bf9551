package replication

import (
	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// This file is the receiving side of the chain: links and learners take what the one upstream hands on.

// upstream tells whether id feeds this keeper in the epoch.
func (c *Core) upstream(id ID, epoch uint64, learner bool) bool {
	if c.err != nil {
		return false
	}
	if c.cfg.hooks.anyEpoch && epoch < c.reg.view.Epoch && !learner {
		return c.entered
	}
	if epoch < c.reg.view.Epoch && c.entered {
		c.send(id, &replicationpb.Message{Body: &replicationpb.Message_Chosen{Chosen: &replicationpb.Chosen{View: viewPB(c.reg.view)}}})
	}
	if epoch != c.reg.view.Epoch || !c.entered {
		return false
	}
	if c.reg.view.place(c.reg.self.ID) >= 0 {
		return !learner && id == c.prev()
	}
	return learner && c.reg.view.place(id) >= 0
}

func (c *Core) mismatch(to ID) {
	base, baseEpoch, runs := c.log.runs()
	c.send(to, &replicationpb.Message{Body: &replicationpb.Message_Ack{Ack: &replicationpb.Ack{
		Epoch: c.reg.view.Epoch, Mismatch: true, Base: base, BaseEpoch: baseEpoch, Runs: runs,
	}}})
}

func (c *Core) onAppend(from ID, m *replicationpb.Append) {
	if !c.upstream(from, m.GetEpoch(), m.GetLearner()) {
		return
	}
	prev, entries := m.GetPrevSeq(), m.GetEntries()
	last := prev + uint64(len(entries))
	switch epoch, ok := c.log.epochAt(prev); {
	case prev < c.log.base:
		// What is below base is committed, so it is the same here.
		entries = entries[min(uint64(len(entries)), c.log.base-prev):]
	case !ok || epoch != m.GetPrevEpoch():
		c.mismatch(from)
		return
	}
	if c.cfg.hooks.truncateAll && !c.isActive() {
		c.truncateLog(max(prev, c.committed))
	}
	for _, p := range entries {
		seq := p.GetSeq()
		if have, ok := c.log.epochAt(seq); ok {
			if have == p.GetEpoch() {
				continue
			}
			if seq <= c.committed || c.isActive() && !c.cfg.hooks.anyEpoch {
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
	c.matched, c.joined = max(c.matched, min(last, c.log.end())), true
	if m.GetLearner() {
		// What was under way while this process stood still says nothing of now.
		if n := m.GetFollow(); n <= c.number && n+sentRing > c.number {
			c.fed, c.fedAt = true, max(c.fedAt, c.sentAt[n%sentRing])
		}
		c.upstreamCommitted = max(c.upstreamCommitted, m.GetCommitted())
		c.commitTo(min(c.upstreamCommitted, c.matched, c.disk.end))
		c.send(from, &replicationpb.Message{Body: &replicationpb.Message_Ack{Ack: &replicationpb.Ack{Epoch: m.GetEpoch(), Matched: c.durable()}}})
		return
	}
	if c.reg.active != c.reg.view.Epoch {
		c.start = m.GetStart()
		// What goes beyond the link before is of an old epoch and was never acknowledged. A link before that has just
		// started may not know yet where its log ends; all that was acknowledged is below start in any case.
		end := m.GetEnd()
		if end >= max(c.start, c.committed) && end < c.log.end() && c.log.at(end+1).epoch != c.reg.view.Epoch {
			c.truncateLog(end)
		}
	}
	// Danger: after a start all links may hold the same log, and no write follows upon which the tail would commit it.
	c.written()
}

// tryActivate makes this link active once all of its predecessor's log from before the epoch is on its disk.
func (c *Core) tryActivate() {
	v := c.reg.view
	if !c.entered || c.err != nil || c.reg.active == v.Epoch || c.reg.sealed == v.Epoch || !c.joined || c.prev() == "" {
		return
	}
	if c.matched < c.start || c.disk.end < c.start || c.disk.unsure || c.disk.install != nil {
		return
	}
	c.reg.active, c.readFloor = v.Epoch, max(c.readFloor, c.start)
	c.persist(func() {
		if c.reg.view == v {
			c.written()
		}
	})
}

func (c *Core) onInstall(from ID, m *replicationpb.Install) {
	if !c.upstream(from, m.GetEpoch(), m.GetLearner()) || c.isActive() || m.GetSeq() <= c.committed {
		return
	}
	s, err := c.machine.Decode(m.GetState())
	if err != nil {
		c.note("replication: a snapshot from another keeper cannot be read: " + err.Error())
		return
	}
	snap, err := encodeImage(m.GetSeq(), m.GetSeqEpoch(), s)
	if err != nil {
		c.fail(err)
		return
	}
	// What was here may have been acknowledged, and is gone until the records above the snapshot come: this log does
	// not stand for earlier epochs any more.
	c.reg.active = 0
	c.persist(nil)
	c.log = memLog{base: m.GetSeq(), baseEpoch: m.GetSeqEpoch()}
	c.state, c.committed, c.matched = s, m.GetSeq(), m.GetSeq()
	c.disk.install, c.disk.end, c.disk.unsure = &snap, 0, false
	c.completeReads()
	c.send(from, &replicationpb.Message{Body: &replicationpb.Message_Ack{Ack: &replicationpb.Ack{Epoch: m.GetEpoch(), Matched: m.GetSeq()}}})
}

// follow asks a link for what is committed, when this keeper is outside the chain.
func (c *Core) follow() {
	v := c.reg.view
	if v.Epoch == 0 || !c.entered || v.place(c.reg.self.ID) >= 0 {
		return
	}
	for i := len(v.Chain) - 1; i >= 0; i-- {
		id := v.Chain[i]
		if p := c.peers[id]; p == nil || !c.alive(id) || p.heartbeat.GetActive() != v.Epoch {
			continue
		}
		base, baseEpoch, runs := c.log.runs()
		c.send(id, &replicationpb.Message{Body: &replicationpb.Message_Follow{Follow: &replicationpb.Follow{
			Epoch: v.Epoch, Base: base, BaseEpoch: baseEpoch, Runs: runs, Number: c.number,
		}}})
		return
	}
}
