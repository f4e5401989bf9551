package replication

import (
	"maps"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// This file contains the sending side of the chain: a replica sends records or snapshots to its successor and to learners.

// progress tracks the replication to a downstream node: the successor, or a learner.
type progress struct {
	learner          bool
	followNumber     uint64 // of a learner's newest request
	matchKnown       bool   // whether match is known
	match            uint64 // up to here the node has the same log on disk as this one
	next             uint64 // next record to send
	lastSentAt       time.Duration
	resendAt         time.Duration // when records that were sent and not acknowledged count as lost
	advancedAt       time.Duration // when it last acknowledged something new, or had nothing to acknowledge
	lastContactAt    time.Duration
	active           bool
	activeToTail     bool // the node and all replicas after it are active
	snapshotInFlight bool
}

// recordSent postpones the next resend by the time that the given number of bytes takes, after the bytes already in flight.
func (p *progress) recordSent(now time.Duration, bytes int) {
	p.resendAt = max(p.resendAt, now+resendTimeout) + transferTime(bytes)
}

// transferTime returns how long the given number of bytes may take on a slow network.
func transferTime(bytes int) time.Duration { return time.Duration(bytes) * transferTimePerMB >> 20 }

// canReplicate reports whether this replica may send records on: it is active, and has learned since its start how much of its log is
// the chain's.
func (cr *chainReplica) canReplicate() bool {
	return cr.isActive() && (cr.isHead() || cr.upstreamMatched)
}

// replicationLimit returns the last record that may be sent: to the successor the last one on disk here, to learners the last
// committed one.
func (cr *chainReplica) replicationLimit(p *progress) uint64 {
	if p.learner {
		return cr.commitIndex
	}
	return cr.durableIndex()
}

// replicateTo sends the records that the downstream node lacks, as far as the window of bytes in flight allows.
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
			cr.sendAppend(id, target, limit, nil) // the answer contains where the logs match
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

// sendAppend sends the entries after the record prev, or no entries to report how far the log here extends and is committed.
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

// sendInstall sends the committed state as a snapshot, unless one is in flight.
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

// handleAck records what a downstream node has on disk and, from the successor, what is committed.
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

// handleMismatch sends records to a downstream node, starting where its log matches.
func (cr *chainReplica) handleMismatch(from ID, p *progress, m *replicationpb.Ack) {
	if !cr.canReplicate() {
		return // it is not known yet how much of the log here is the chain's; the node asks again
	}
	cr.locateMatch(p, logSummary{base: m.GetBase(), baseEpoch: m.GetBaseEpoch(), runs: m.GetRuns()})
	if limit := cr.replicationLimit(p); p.next > limit && p.matchKnown {
		cr.sendAppend(from, p, min(p.next-1, limit), nil)
		return
	}
	cr.replicateTo(from)
}

// recordMatch records how much of the log a downstream node has on disk.
func (cr *chainReplica) recordMatch(p *progress, match uint64) {
	if p.matchKnown && match <= p.match {
		return
	}
	p.match, p.advancedAt = max(p.match, match), cr.now
	p.next = max(p.next, p.match+1)
	p.matchKnown, p.snapshotInFlight = true, false
	p.resendAt = cr.now + resendTimeout + transferTime(cr.log.size(p.match+1, p.next-1))
}

// handleActiveSuccessor records that the successor is active, and commits what it reports as committed.
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

// locateMatch finds where a downstream node's log matches this one. If it matches nowhere, a snapshot is needed, unless the complete
// log is in memory.
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

// handleFollow sends committed records to a node outside the chain.
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
	// Every request states what the learner has. Records in flight to it are not sent again before their resend time.
	snapshotInFlight, next := learner.snapshotInFlight, learner.next
	cr.locateMatch(learner, logSummary{base: msg.GetBase(), baseEpoch: msg.GetBaseEpoch(), runs: msg.GetRuns()})
	learner.snapshotInFlight = snapshotInFlight
	if cr.now < learner.resendAt && learner.next > cr.log.base {
		learner.next = max(learner.next, next)
	}
	before := learner.lastSentAt
	cr.replicateTo(from)
	if sentNothing := learner.lastSentAt != cr.now || before == cr.now; sentNothing {
		// Answer the request even so, which tells the learner that it lacks nothing.
		cr.sendAppend(from, learner, min(learner.match, cr.commitIndex), nil)
	}
}

// canServeLearner reports whether this replica holds everything acknowledged, and id is outside the chain of the epoch.
func (cr *chainReplica) canServeLearner(id ID, epoch uint64) bool {
	v := cr.acceptor.view
	return cr.isActive() && cr.holdsAcknowledged() && epoch == v.Epoch && v.chainIndex(id) < 0
}

// forgetLearners removes the learners that have not sent a request for learnerTTL.
func (cr *chainReplica) forgetLearners() {
	for _, id := range slices.Sorted(maps.Keys(cr.downstream)) {
		if p := cr.downstream[id]; p.learner && cr.now-p.lastContactAt > learnerTTL {
			delete(cr.downstream, id)
		}
	}
}

// tickSuccessor resends to the successor what may have been lost.
func (cr *chainReplica) tickSuccessor() {
	id := cr.successor()
	if id == "" {
		return
	}
	if p := cr.downstream[id]; p != nil {
		if cr.hasAcknowledgedAll(p) {
			p.advancedAt = cr.now
		}
		if cr.mayHaveLostAck(p) && cr.now-p.lastSentAt >= resendTimeout {
			cr.sendAppend(id, p, cr.durableIndex(), nil)
		}
	}
	cr.replicateTo(id)
}

// hasAcknowledgedAll reports whether the successor has acknowledged everything that it was sent.
func (cr *chainReplica) hasAcknowledgedAll(p *progress) bool {
	return !cr.canReplicate() || p.active && p.match >= cr.durableIndex()
}

// mayHaveLostAck reports whether an acknowledgement of the successor may have been lost: records that it has are not known to be committed,
// or it has the complete log and is not known to be active.
func (cr *chainReplica) mayHaveLostAck(p *progress) bool {
	if cr.hasAcknowledgedAll(p) {
		return cr.commitIndex < cr.durableIndex()
	}
	return p.matchKnown && !p.active && p.match >= cr.durableIndex()
}

// stalledSuccessor returns the successor if it has not acknowledged for too long what it was sent, otherwise an empty ID.
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
