package replication

import (
	"time"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// This file is the sending side of the chain: a link feeds the next one, and learners.

// progress is how far a downstream keeper has come: the next link, or a learner.
type progress struct {
	learner          bool
	followNumber     uint64 // number of a learner's last call
	matchKnown       bool   // match is
	match            uint64 // on its disk, the same as here
	next             uint64
	lastSentAt       time.Duration
	resendAt         time.Duration // when what was sent and not acknowledged counts as lost
	advancedAt       time.Duration
	lastContactAt    time.Duration
	active           bool
	activeToTail     bool // it and all links after it are active
	snapshotInFlight bool // it was sent a snapshot
}

// recordSent notes that so many bytes went out, after those that are under way.
func (p *progress) recordSent(now time.Duration, bytes int) {
	p.resendAt = max(p.resendAt, now+resendTimeout) + transferTime(bytes)
}

// transferTime is how long bytes may take to a keeper on a slow link.
func transferTime(bytes int) time.Duration { return time.Duration(bytes) * transferTimePerMB >> 20 }

// canReplicate tells whether this link may hand on: it takes part, and knows since its start how far its log is the chain's.
func (c *chainReplica) canReplicate() bool { return c.isActive() && (c.isHead() || c.upstreamMatched) }

// replicateTo hands on what the downstream keeper lacks.
func (c *chainReplica) replicateTo(id ID) {
	p := c.downstream[id]
	if p == nil {
		p = &progress{advancedAt: c.now, lastSentAt: -resendTimeout}
		c.downstream[id] = p
	}
	if !c.canReplicate() {
		return
	}
	limit := c.replicationLimit(p)
	if !p.matchKnown {
		if c.now-p.lastSentAt >= resendTimeout {
			c.sendAppend(id, p, limit, nil, limit)
		}
		return
	}
	if c.now >= p.resendAt && p.match+1 < p.next {
		p.next = p.match + 1
	}
	if p.next <= c.log.base && p.next <= limit {
		c.sendInstall(id, p)
		return
	}
	for underWay := c.log.size(p.match+1, p.next-1); p.next <= limit && underWay < maxInFlightBytes; {
		entries := c.log.between(p.next, limit, maxAppendBytes)
		c.sendAppend(id, p, p.next-1, entries, limit)
		bytes := c.log.size(p.next, p.next+uint64(len(entries))-1)
		p.recordSent(c.now, bytes)
		p.next += uint64(len(entries))
		underWay += bytes
	}
}

// replicationLimit is the last record that may be handed on: on disk here; to learners, committed.
func (c *chainReplica) replicationLimit(p *progress) uint64 {
	if p.learner {
		return c.commitIndex
	}
	return c.durableIndex()
}

func (c *chainReplica) sendAppend(id ID, p *progress, prev uint64, entries []*replicationpb.Entry, limit uint64) {
	epoch, ok := c.log.epochAt(prev)
	if !ok {
		return
	}
	p.lastSentAt = c.now
	c.send(id, &replicationpb.Message{Body: &replicationpb.Message_Append{Append: &replicationpb.Append{
		Epoch: c.acceptor.view.Epoch, PrevSeq: prev, PrevEpoch: epoch, Entries: entries,
		Start: c.epochStartIndex, End: limit, Committed: c.commitIndex, Learner: p.learner, Follow: p.followNumber,
	}}})
}

func (c *chainReplica) sendInstall(id ID, p *progress) {
	if p.snapshotInFlight && c.now < p.resendAt {
		return
	}
	epoch, ok := c.log.epochAt(c.commitIndex)
	if !ok {
		return
	}
	state := c.state.Encode()
	p.lastSentAt, p.snapshotInFlight = c.now, true
	p.resendAt = c.now + snapshotResendTimeout + transferTime(len(state))
	c.send(id, &replicationpb.Message{Body: &replicationpb.Message_Install{Install: &replicationpb.Install{
		Epoch: c.acceptor.view.Epoch, Seq: c.commitIndex, SeqEpoch: epoch, State: state, Learner: p.learner,
	}}})
}

func (c *chainReplica) handleAck(from ID, m *replicationpb.Ack) {
	p := c.downstream[from]
	if p == nil || m.GetEpoch() != c.acceptor.view.Epoch || !c.acceptor.viewDurable {
		return
	}
	p.lastContactAt = c.now
	if m.GetMismatch() {
		if !c.canReplicate() {
			return // what this link holds for sure it does not know yet; it is asked again
		}
		c.locateMatch(p, m.GetBase(), m.GetBaseEpoch(), m.GetRuns())
		if limit := c.replicationLimit(p); p.next > limit && p.matchKnown {
			c.sendAppend(from, p, min(p.next-1, limit), nil, limit)
			return
		}
		c.replicateTo(from)
		return
	}
	if m.GetMatched() > p.match || !p.matchKnown {
		p.match, p.advancedAt = max(p.match, m.GetMatched()), c.now
		p.next = max(p.next, p.match+1)
		p.matchKnown, p.snapshotInFlight = true, false
		p.resendAt = c.now + resendTimeout + transferTime(c.log.size(p.match+1, p.next-1))
	}
	if p.learner {
		c.replicateTo(from)
		return
	}
	if m.GetActive() {
		if m.GetComplete() && !p.activeToTail {
			p.activeToTail = true
			c.sendAck()
			c.waiting.completeChanges()
		}
		if !p.active {
			p.active, p.advancedAt = true, c.now
		}
		if from == c.successor() && c.isActive() {
			c.advanceCommitIndex(min(m.GetCommitted(), c.durableIndex()))
		}
	}
	c.replicateTo(from)
}

// locateMatch finds where the logs part.
func (c *chainReplica) locateMatch(p *progress, base, baseEpoch uint64, runs []*replicationpb.Run) {
	if joint, ok := c.log.lastCommon(base, baseEpoch, runs); ok {
		p.next, p.match, p.matchKnown = joint+1, joint, true
		p.snapshotInFlight = false
		return
	}
	p.next, p.match, p.matchKnown = 0, 0, true // below base: a snapshot
	if c.log.base == 0 {
		p.next = 1
	}
}

func (c *chainReplica) handleFollow(from ID, m *replicationpb.Follow) {
	if !c.isActive() || !c.holdsAcknowledged() || m.GetEpoch() != c.acceptor.view.Epoch || c.acceptor.view.chainIndex(from) >= 0 {
		return
	}
	p := c.downstream[from]
	if p == nil {
		if len(c.downstream) > maxLearners {
			return
		}
		p = &progress{learner: true, lastSentAt: -snapshotResendTimeout}
		c.downstream[from] = p
	}
	p.lastContactAt, p.followNumber = c.now, m.GetNumber()
	// Every call tells what the learner has. What is under way to it is not sent again before its time.
	lagging, next := p.snapshotInFlight, p.next
	c.locateMatch(p, m.GetBase(), m.GetBaseEpoch(), m.GetRuns())
	p.snapshotInFlight = lagging
	if c.now < p.resendAt && p.next > c.log.base {
		p.next = max(p.next, next)
	}
	before := p.lastSentAt
	c.replicateTo(from)
	if p.lastSentAt != c.now || before == c.now {
		// Nothing new to send: the call is answered all the same, by which the learner knows that it lacks nothing.
		c.sendAppend(from, p, min(p.match, c.commitIndex), nil, c.commitIndex)
	}
}

// stalledSuccessor is the next link when it has not taken what it was sent for too long.
func (c *chainReplica) stalledSuccessor() ID {
	id := c.successor()
	p := c.downstream[id]
	if id == "" || p == nil || !c.canReplicate() {
		return ""
	}
	switch wait := c.now - p.advancedAt; {
	case !p.active && wait > activationTimeout, p.active && p.match < c.durableIndex() && wait > stalledTimeout+transferTime(c.log.size(p.match+1, c.durableIndex())):
		return id
	}
	return ""
}
