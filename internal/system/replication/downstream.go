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
func (cr *chainReplica) canReplicate() bool {
	return cr.isActive() && (cr.isHead() || cr.upstreamMatched)
}

// replicateTo hands on what the downstream keeper lacks.
func (cr *chainReplica) replicateTo(id ID) {
	p := cr.downstream[id]
	if p == nil {
		p = &progress{advancedAt: cr.now, lastSentAt: -resendTimeout}
		cr.downstream[id] = p
	}
	if !cr.canReplicate() {
		return
	}
	limit := cr.replicationLimit(p)
	if !p.matchKnown {
		if cr.now-p.lastSentAt >= resendTimeout {
			cr.sendAppend(id, p, limit, nil, limit)
		}
		return
	}
	if cr.now >= p.resendAt && p.match+1 < p.next {
		p.next = p.match + 1
	}
	if p.next <= cr.log.base && p.next <= limit {
		cr.sendInstall(id, p)
		return
	}
	for underWay := cr.log.size(p.match+1, p.next-1); p.next <= limit && underWay < maxInFlightBytes; {
		entries := cr.log.between(p.next, limit, maxAppendBytes)
		cr.sendAppend(id, p, p.next-1, entries, limit)
		bytes := cr.log.size(p.next, p.next+uint64(len(entries))-1)
		p.recordSent(cr.now, bytes)
		p.next += uint64(len(entries))
		underWay += bytes
	}
}

// replicationLimit is the last record that may be handed on: on disk here; to learners, committed.
func (cr *chainReplica) replicationLimit(p *progress) uint64 {
	if p.learner {
		return cr.commitIndex
	}
	return cr.durableIndex()
}

func (cr *chainReplica) sendAppend(id ID, p *progress, prev uint64, entries []*replicationpb.Entry, limit uint64) {
	epoch, ok := cr.log.epochAt(prev)
	if !ok {
		return
	}
	p.lastSentAt = cr.now
	cr.send(id, appendMessage(&replicationpb.Append{
		Epoch: cr.acceptor.view.Epoch, PrevSeq: prev, PrevEpoch: epoch, Entries: entries,
		Start: cr.epochStartIndex, End: limit, Committed: cr.commitIndex, Learner: p.learner, Follow: p.followNumber,
	}))
}

func (cr *chainReplica) sendInstall(id ID, p *progress) {
	if p.snapshotInFlight && cr.now < p.resendAt {
		return
	}
	epoch, ok := cr.log.epochAt(cr.commitIndex)
	if !ok {
		return
	}
	state := cr.state.Encode()
	p.lastSentAt, p.snapshotInFlight = cr.now, true
	p.resendAt = cr.now + snapshotResendTimeout + transferTime(len(state))
	cr.send(id, installMessage(&replicationpb.Install{
		Epoch: cr.acceptor.view.Epoch, Seq: cr.commitIndex, SeqEpoch: epoch, State: state, Learner: p.learner,
	}))
}

func (cr *chainReplica) handleAck(from ID, m *replicationpb.Ack) {
	p := cr.downstream[from]
	if p == nil || m.GetEpoch() != cr.acceptor.view.Epoch || !cr.acceptor.viewDurable {
		return
	}
	p.lastContactAt = cr.now
	if m.GetMismatch() {
		if !cr.canReplicate() {
			return // what this link holds for sure it does not know yet; it is asked again
		}
		cr.locateMatch(p, m.GetBase(), m.GetBaseEpoch(), m.GetRuns())
		if limit := cr.replicationLimit(p); p.next > limit && p.matchKnown {
			cr.sendAppend(from, p, min(p.next-1, limit), nil, limit)
			return
		}
		cr.replicateTo(from)
		return
	}
	if m.GetMatched() > p.match || !p.matchKnown {
		p.match, p.advancedAt = max(p.match, m.GetMatched()), cr.now
		p.next = max(p.next, p.match+1)
		p.matchKnown, p.snapshotInFlight = true, false
		p.resendAt = cr.now + resendTimeout + transferTime(cr.log.size(p.match+1, p.next-1))
	}
	if p.learner {
		cr.replicateTo(from)
		return
	}
	if m.GetActive() {
		if m.GetComplete() && !p.activeToTail {
			p.activeToTail = true
			cr.sendAck()
			cr.waiting.completeChanges()
		}
		if !p.active {
			p.active, p.advancedAt = true, cr.now
		}
		if from == cr.successor() && cr.isActive() {
			cr.advanceCommitIndex(min(m.GetCommitted(), cr.durableIndex()))
		}
	}
	cr.replicateTo(from)
}

// locateMatch finds where the logs part.
func (cr *chainReplica) locateMatch(p *progress, base, baseEpoch uint64, runs []*replicationpb.Run) {
	if joint, ok := cr.log.lastCommon(base, baseEpoch, runs); ok {
		p.next, p.match, p.matchKnown = joint+1, joint, true
		p.snapshotInFlight = false
		return
	}
	p.next, p.match, p.matchKnown = 0, 0, true // below base: a snapshot
	if cr.log.base == 0 {
		p.next = 1
	}
}

func (cr *chainReplica) handleFollow(from ID, m *replicationpb.Follow) {
	if !cr.isActive() || !cr.holdsAcknowledged() || m.GetEpoch() != cr.acceptor.view.Epoch || cr.acceptor.view.chainIndex(from) >= 0 {
		return
	}
	p := cr.downstream[from]
	if p == nil {
		if len(cr.downstream) > maxLearners {
			return
		}
		p = &progress{learner: true, lastSentAt: -snapshotResendTimeout}
		cr.downstream[from] = p
	}
	p.lastContactAt, p.followNumber = cr.now, m.GetNumber()
	// Every call tells what the learner has. What is under way to it is not sent again before its time.
	lagging, next := p.snapshotInFlight, p.next
	cr.locateMatch(p, m.GetBase(), m.GetBaseEpoch(), m.GetRuns())
	p.snapshotInFlight = lagging
	if cr.now < p.resendAt && p.next > cr.log.base {
		p.next = max(p.next, next)
	}
	before := p.lastSentAt
	cr.replicateTo(from)
	if p.lastSentAt != cr.now || before == cr.now {
		// Nothing new to send: the call is answered all the same, by which the learner knows that it lacks nothing.
		cr.sendAppend(from, p, min(p.match, cr.commitIndex), nil, cr.commitIndex)
	}
}

// stalledSuccessor is the next link when it has not taken what it was sent for too long.
func (cr *chainReplica) stalledSuccessor() ID {
	id := cr.successor()
	p := cr.downstream[id]
	if id == "" || p == nil || !cr.canReplicate() {
		return ""
	}
	switch wait := cr.now - p.advancedAt; {
	case !p.active && wait > activationTimeout, p.active && p.match < cr.durableIndex() && wait > stalledTimeout+transferTime(cr.log.size(p.match+1, cr.durableIndex())):
		return id
	}
	return ""
}
