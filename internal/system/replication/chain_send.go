package replication

import (
	"maps"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// This file is the sending side of the chain: a replica sends records or snapshots to its successor, and to learners.

// progress is how far a downstream node has come: the successor, or a learner.
type progress struct {
	learner          bool
	followNumber     uint64 // of a learner's newest request
	matchKnown       bool   // whether match is
	match            uint64 // up to here the node has on disk the same log as this one
	next             uint64 // to send
	lastSentAt       time.Duration
	resendAt         time.Duration // when what was sent and not acknowledged counts as lost
	advancedAt       time.Duration // when it last acknowledged anything new, or had nothing to acknowledge
	lastContactAt    time.Duration
	active           bool
	activeToTail     bool // it and all replicas after it are active
	snapshotInFlight bool
}

// recordSent puts off the next resend by what so many bytes take, after those that are in flight.
func (p *progress) recordSent(now time.Duration, bytes int) {
	p.resendAt = max(p.resendAt, now+resendTimeout) + transferTime(bytes)
}

// transferTime is how long bytes may take on a slow network.
func transferTime(bytes int) time.Duration { return time.Duration(bytes) * transferTimePerMB >> 20 }

// canReplicate reports whether this replica may send records on: it is active, and knows since its start how far its log is the chain's.
func (cr *chainReplica) canReplicate() bool {
	return cr.isActive() && (cr.isHead() || cr.upstreamMatched)
}

// replicationLimit is the last record that may be sent: to the successor what is on disk here, to learners what is committed.
func (cr *chainReplica) replicationLimit(p *progress) uint64 {
	if p.learner {
		return cr.commitIndex
	}
	return cr.durableIndex()
}

// replicateTo sends what the downstream node lacks, as far as the window allows.
func (cr *chainReplica) replicateTo(id ID) {
	target := cr.downstream[id]
	if target == nil {
		target = &progress{advancedAt: cr.now, lastSentAt: -resendTimeout}
		cr.downstream[id] = target
	}
	if !cr.canReplicate() {
		return
	}
	limit := cr.replicationLimit(target)
	if !target.matchKnown {
		if cr.now-target.lastSentAt >= resendTimeout {
			cr.sendAppend(id, target, limit, nil) // the answer says where the logs match
		}
		return
	}
	if cr.now >= target.resendAt && target.match+1 < target.next {
		target.next = target.match + 1
	}
	if target.next <= cr.log.base && target.next <= limit {
		cr.sendInstall(id, target)
		return
	}
	for inFlight := cr.log.size(target.match+1, target.next-1); target.next <= limit && inFlight < maxInFlightBytes; {
		entries := cr.log.between(target.next, limit, maxAppendBytes)
		cr.sendAppend(id, target, target.next-1, entries)
		bytes := cr.log.size(target.next, target.next+uint64(len(entries))-1)
		target.recordSent(cr.now, bytes)
		target.next += uint64(len(entries))
		inFlight += bytes
	}
}

// sendAppend sends the entries after the record prev, or none to tell how far the log here goes and is committed.
func (cr *chainReplica) sendAppend(id ID, p *progress, prev uint64, entries []*replicationpb.Entry) {
	epoch, ok := cr.log.epochAt(prev)
	if !ok {
		return
	}
	p.lastSentAt = cr.now
	cr.send(id, appendMessage(&replicationpb.Append{
		Epoch: cr.acceptor.view.Epoch, PrevSeq: prev, PrevEpoch: epoch, Entries: entries, Start: cr.epochStartIndex,
		End: cr.replicationLimit(p), Committed: cr.commitIndex, Learner: p.learner, Follow: p.followNumber,
	}))
}

// sendInstall sends the committed state, unless one is in flight.
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

// handleAck takes up what a downstream node has on disk, and at a replica what is committed.
func (cr *chainReplica) handleAck(from ID, m *replicationpb.Ack) {
	p := cr.downstream[from]
	if p == nil || m.GetEpoch() != cr.acceptor.view.Epoch || !cr.acceptor.viewDurable {
		return
	}
	p.lastContactAt = cr.now
	if m.GetMismatch() {
		cr.handleMismatch(from, p, m)
		return
	}
	cr.recordMatch(p, m.GetMatched())
	if !p.learner && m.GetActive() {
		cr.handleActiveSuccessor(from, p, m)
	}
	cr.replicateTo(from)
}

// handleMismatch sends a downstream node records from where its log matches.
func (cr *chainReplica) handleMismatch(from ID, p *progress, m *replicationpb.Ack) {
	if !cr.canReplicate() {
		return // how much of the log here is the chain's is not known yet; the node asks again
	}
	cr.locateMatch(p, logSummary{base: m.GetBase(), baseEpoch: m.GetBaseEpoch(), runs: m.GetRuns()})
	if limit := cr.replicationLimit(p); p.next > limit && p.matchKnown {
		cr.sendAppend(from, p, min(p.next-1, limit), nil)
		return
	}
	cr.replicateTo(from)
}

// recordMatch takes up how far a downstream node has the log on disk.
func (cr *chainReplica) recordMatch(p *progress, match uint64) {
	if p.matchKnown && match <= p.match {
		return
	}
	p.match, p.advancedAt = max(p.match, match), cr.now
	p.next = max(p.next, p.match+1)
	p.matchKnown, p.snapshotInFlight = true, false
	p.resendAt = cr.now + resendTimeout + transferTime(cr.log.size(p.match+1, p.next-1))
}

// handleActiveSuccessor takes up that the successor is active, and commits what it says is committed.
func (cr *chainReplica) handleActiveSuccessor(from ID, p *progress, m *replicationpb.Ack) {
	if m.GetComplete() && !p.activeToTail {
		p.activeToTail = true
		cr.sendAck()
		cr.completer.completeChanges()
	}
	if !p.active {
		p.active, p.advancedAt = true, cr.now
	}
	if from == cr.successor() && cr.isActive() {
		cr.advanceCommitIndex(min(m.GetCommitted(), cr.durableIndex()))
	}
}

// locateMatch finds where a downstream node's log matches this one; where it nowhere does, a snapshot is needed, unless the whole log
// is in memory.
func (cr *chainReplica) locateMatch(p *progress, theirs logSummary) {
	if match, ok := cr.log.lastCommon(theirs); ok {
		p.next, p.match, p.matchKnown = match+1, match, true
		p.snapshotInFlight = false
		return
	}
	p.next, p.match, p.matchKnown = 0, 0, true
	if cr.log.base == 0 {
		p.next = 1
	}
}

// handleFollow sends a node outside the chain what is committed.
func (cr *chainReplica) handleFollow(from ID, msg *replicationpb.Follow) {
	if !cr.canServeLearner(from, msg.GetEpoch()) {
		return
	}
	learner := cr.downstream[from]
	if learner == nil {
		if len(cr.downstream) > maxLearners {
			return
		}
		learner = &progress{learner: true, lastSentAt: -snapshotResendTimeout}
		cr.downstream[from] = learner
	}
	learner.lastContactAt, learner.followNumber = cr.now, msg.GetNumber()
	// Every request tells what the learner has. What is in flight to it is not sent again before its time.
	snapshotInFlight, next := learner.snapshotInFlight, learner.next
	cr.locateMatch(learner, logSummary{base: msg.GetBase(), baseEpoch: msg.GetBaseEpoch(), runs: msg.GetRuns()})
	learner.snapshotInFlight = snapshotInFlight
	if cr.now < learner.resendAt && learner.next > cr.log.base {
		learner.next = max(learner.next, next)
	}
	before := learner.lastSentAt
	cr.replicateTo(from)
	if sentNothing := learner.lastSentAt != cr.now || before == cr.now; sentNothing {
		// The request is answered all the same, by which the learner knows that it lacks nothing.
		cr.sendAppend(from, learner, min(learner.match, cr.commitIndex), nil)
	}
}

// canServeLearner reports whether this replica has all that was acknowledged for a node outside the chain of the epoch.
func (cr *chainReplica) canServeLearner(id ID, epoch uint64) bool {
	v := cr.acceptor.view
	return cr.isActive() && cr.holdsAcknowledged() && epoch == v.Epoch && v.chainIndex(id) < 0
}

// forgetLearners drops the learners that have not asked for long.
func (cr *chainReplica) forgetLearners() {
	for _, id := range slices.Sorted(maps.Keys(cr.downstream)) {
		if p := cr.downstream[id]; p.learner && cr.now-p.lastContactAt > learnerTTL {
			delete(cr.downstream, id)
		}
	}
}

// tickSuccessor repeats to the successor what may have been lost.
func (cr *chainReplica) tickSuccessor() {
	id := cr.successor()
	if id == "" {
		return
	}
	if p := cr.downstream[id]; p != nil {
		if cr.hasAcknowledgedAll(p) {
			p.advancedAt = cr.now
		}
		if cr.lacksAck(p) && cr.now-p.lastSentAt >= resendTimeout {
			cr.sendAppend(id, p, cr.durableIndex(), nil)
		}
	}
	cr.replicateTo(id)
}

// hasAcknowledgedAll reports whether the successor has nothing to acknowledge that it was sent.
func (cr *chainReplica) hasAcknowledgedAll(p *progress) bool {
	return !cr.canReplicate() || p.active && p.match >= cr.durableIndex()
}

// lacksAck reports whether an acknowledgement of the successor may have been lost: that records are committed which it has, or that it is
// active though it has the whole log.
func (cr *chainReplica) lacksAck(p *progress) bool {
	if cr.hasAcknowledgedAll(p) {
		return cr.commitIndex < cr.durableIndex()
	}
	return p.matchKnown && !p.active && p.match >= cr.durableIndex()
}

// stalledSuccessor is the successor when it has not acknowledged what it was sent for too long, else empty.
func (cr *chainReplica) stalledSuccessor() ID {
	id := cr.successor()
	p := cr.downstream[id]
	if id == "" || p == nil || !cr.canReplicate() {
		return ""
	}
	wait := cr.now - p.advancedAt
	switch {
	case !p.active && wait > activationTimeout:
		return id
	case p.active && p.match < cr.durableIndex() && wait > stalledTimeout+transferTime(cr.log.size(p.match+1, cr.durableIndex())):
		return id
	}
	return ""
}
