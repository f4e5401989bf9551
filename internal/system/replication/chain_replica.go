package replication

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
	"gradeusher.example/gradeusher/internal/system/wal"
)

const (
	resendTimeout         = 250 * time.Millisecond
	catchUpInterval       = 50 * time.Millisecond // between a link's calls to be fed: after a start of all, each waits for the one before
	snapshotResendTimeout = time.Second
	stalledTimeout        = time.Second
	activationTimeout     = 3 * time.Second // to get level after a change of the view
	maxAppendBytes        = 256 << 10
	maxInFlightBytes      = 1 << 20     // of records that are under way to a keeper
	transferTimePerMB     = time.Second // what a slow link takes
	maxLearners           = maxPeers
	learnerTTL            = 2 * time.Second // after its last call
)

// chainReplica is this node's log and its place in the chain: it receives records from its predecessor, hands them to its
// successor once they are on disk, and knows what is committed. Outside the chain it catches up as a learner.
type chainReplica struct {
	*environment
	machine             Machine
	log                 memoryLog
	state               State // after commitIndex
	commitIndex         uint64
	matchIndex          uint64 // up to here the log is known to be the predecessor's, in this epoch
	upstreamCommitIndex uint64 // commit index of the replica that a learner follows
	caughtUpAt          time.Duration
	caughtUp            bool    // a learner has received all that was committed at caughtUpAt
	upstreamMatched     bool    // an append of the predecessor has matched, in this epoch and incarnation
	minReadIndex        uint64  // records up to here may have been acknowledged: no read rests on less
	epochStartIndex     uint64  // where the head's log ended when it entered the epoch
	uncommittedStates   []State // the head's: after each record above commitIndex
	downstream          map[ID]*progress
	ackSentAt           time.Duration

	acceptor *acceptor
	writer   *diskWriter
	liveness *liveness
	waiting  callCompleter
}

// callCompleter answers the calls that wait for records to be committed.
type callCompleter interface {
	completeChanges()
	completeReads()
}

// successor is the link after this one, empty at the tail and outside the chain.
func (cr *chainReplica) successor() ID {
	v := cr.acceptor.view
	if i := v.chainIndex(cr.self.ID); i >= 0 && i+1 < len(v.Chain) {
		return v.Chain[i+1]
	}
	return ""
}

// predecessor is the link before this one, empty at the head and outside the chain.
func (cr *chainReplica) predecessor() ID {
	v := cr.acceptor.view
	if i := v.chainIndex(cr.self.ID); i > 0 {
		return v.Chain[i-1]
	}
	return ""
}

// active tells whether this link takes part: it holds all that was acknowledged before its view.
func (cr *chainReplica) isActive() bool {
	return cr.acceptor.viewDurable && cr.err == nil && cr.acceptor.view.Epoch > 0 && cr.acceptor.durableActive == cr.acceptor.view.Epoch && cr.acceptor.view.chainIndex(cr.self.ID) >= 0
}

func (cr *chainReplica) isHead() bool { return cr.isActive() && cr.acceptor.view.Head() == cr.self.ID }

func (cr *chainReplica) isTail() bool { return cr.isActive() && cr.acceptor.view.Tail() == cr.self.ID }

// leaveEpoch forgets what was known of the chain of the epoch that has ended.
func (cr *chainReplica) leaveEpoch() {
	cr.matchIndex, cr.upstreamMatched = 0, false
	cr.upstreamCommitIndex, cr.caughtUp = 0, false
	cr.minReadIndex, cr.epochStartIndex = 0, 0
	cr.downstream = map[ID]*progress{}
	cr.uncommittedStates = nil
}

// enterView starts this link's part in a view that is on disk.
func (cr *chainReplica) enterView() error {
	if !cr.isActive() {
		return nil
	}
	if cr.isHead() {
		// What is on disk is enough: nothing beyond it was handed on.
		cr.epochStartIndex, cr.minReadIndex = cr.writer.durableEnd, max(cr.minReadIndex, cr.writer.durableEnd)
		cr.uncommittedStates = nil
		for seq := cr.commitIndex + 1; seq <= cr.log.end(); seq++ {
			s, err := cr.speculativeState().Apply(cr.log.at(seq).rec)
			if err != nil {
				return errors.Wrapf(err, "replication: record %d cannot be applied", seq)
			}
			cr.uncommittedStates = append(cr.uncommittedStates, s)
		}
	}
	cr.onDurableChange()
	return nil
}

// onDurableChange follows a change of what is on disk.
func (cr *chainReplica) onDurableChange() {
	cr.tryActivate()
	if cr.acceptor.view.Epoch == 0 || !cr.acceptor.viewDurable {
		return
	}
	if cr.isActive() {
		cr.commitAsTail()
		if id := cr.successor(); id != "" {
			cr.replicateTo(id)
		}
	} else if cr.caughtUp {
		cr.advanceCommitIndex(min(cr.upstreamCommitIndex, cr.matchIndex, cr.writer.durableEnd))
	}
	cr.sendAck()
}

// isUpToDate tells whether this node, in the chain, knows all to be committed that may have been acknowledged before its epoch; or outside
// the chain has received within the window all that was committed then.
func (cr *chainReplica) isUpToDate(window time.Duration) bool {
	v := cr.acceptor.view
	if v.chainIndex(cr.self.ID) >= 0 {
		return cr.acceptor.durableActive == v.Epoch && cr.holdsAcknowledged()
	}
	return cr.caughtUp && cr.now-cr.caughtUpAt <= window && cr.commitIndex >= cr.upstreamCommitIndex
}

// durableIndex is the end of what is on disk and known to be the log of this epoch's chain.
func (cr *chainReplica) durableIndex() uint64 {
	if cr.isHead() {
		return cr.writer.durableEnd
	}
	return min(cr.matchIndex, cr.writer.durableEnd)
}

// commitAsTail commits at the tail. A record that got here went through every link, each of which had it on disk before
// it handed it on; and every link is active, since only an active one hands on.
func (cr *chainReplica) commitAsTail() {
	early := cr.cfg.knobs.AcknowledgeAtHead && cr.isHead()
	if !cr.isTail() && !early || len(cr.acceptor.view.Chain) < cr.cfg.minChainLength() {
		return
	}
	cr.advanceCommitIndex(cr.durableIndex())
}

func (cr *chainReplica) advanceCommitIndex(seq uint64) {
	if seq <= cr.commitIndex {
		return
	}
	for s := cr.commitIndex + 1; s <= seq; s++ {
		var next State
		if len(cr.uncommittedStates) > 0 {
			next, cr.uncommittedStates = cr.uncommittedStates[0], cr.uncommittedStates[1:]
		} else {
			var err error
			if next, err = cr.state.Apply(cr.log.at(s).rec); err != nil {
				cr.fail(errors.Wrapf(err, "replication: record %d cannot be applied", s))
				return
			}
		}
		cr.state, cr.commitIndex = next, s
	}
	cr.ackSentAt = 0
	cr.sendAck()
	cr.waiting.completeChanges()
	cr.waiting.completeReads()
	for _, id := range slices.Sorted(maps.Keys(cr.downstream)) {
		if cr.downstream[id].learner {
			cr.replicateTo(id)
		}
	}
}

// sendAck tells the link before what is on disk here and what is committed.
func (cr *chainReplica) sendAck() {
	prev := cr.predecessor()
	if prev == "" || !cr.upstreamMatched || !cr.acceptor.viewDurable || cr.err != nil {
		return
	}
	cr.ackSentAt = cr.now
	cr.send(prev, ackMessage(&replicationpb.Ack{
		Epoch: cr.acceptor.view.Epoch, Matched: cr.durableIndex(), Committed: cr.commitIndex, Active: cr.isActive(), Complete: cr.isActiveToTail(),
	}))
}

// isActiveToTail tells whether this link and all after it are active, so that no log of an old epoch is left among them.
func (cr *chainReplica) isActiveToTail() bool {
	if !cr.isActive() || cr.isTail() {
		return cr.isActive()
	}
	p := cr.downstream[cr.successor()]
	return p != nil && p.activeToTail
}

func (cr *chainReplica) tickChain() {
	if !cr.acceptor.viewDurable {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(cr.downstream)) {
		if p := cr.downstream[id]; p.learner && cr.now-p.lastContactAt > learnerTTL {
			delete(cr.downstream, id)
		}
	}
	again := resendTimeout
	if !cr.upstreamMatched {
		again = catchUpInterval
	}
	if prev := cr.predecessor(); prev != "" && cr.now-cr.ackSentAt >= again {
		if cr.ackSentAt = cr.now; cr.upstreamMatched {
			cr.sendAck()
		} else {
			cr.sendMismatch(prev) // asks to be fed
		}
	}
	if !cr.isActive() {
		return
	}
	if id := cr.successor(); id != "" {
		p := cr.downstream[id]
		if p != nil && (!cr.canReplicate() || p.active && p.match >= cr.durableIndex()) {
			p.advancedAt = cr.now
			if cr.commitIndex < cr.durableIndex() && cr.now-p.lastSentAt >= resendTimeout {
				cr.sendAppend(id, p, cr.durableIndex(), nil, cr.durableIndex()) // its word that it is committed was lost
			}
		} else if p != nil && p.matchKnown && !p.active && p.match >= cr.durableIndex() && cr.now-p.lastSentAt >= resendTimeout {
			cr.sendAppend(id, p, cr.durableIndex(), nil, cr.durableIndex())
		}
		cr.replicateTo(id)
	}
}

func (cr *chainReplica) loadLog(snap wal.Snapshot, entries []wal.Entry) error {
	if snap.Seq > 0 {
		var p replicationpb.Image
		if err := proto.Unmarshal(snap.Data, &p); err != nil {
			return damagedDataError(err, "the snapshot")
		}
		s, err := cr.machine.Decode(p.GetState())
		if err != nil {
			return damagedDataError(err, "the snapshot")
		}
		cr.state, cr.commitIndex = s, snap.Seq
		cr.log.base, cr.log.baseEpoch = snap.Seq, p.GetEpoch()
		cr.writer.snapshotSeq = snap.Seq
	}
	for _, e := range entries {
		if e.Seq <= cr.log.end() {
			continue
		}
		var p replicationpb.Entry
		if err := proto.Unmarshal(e.Data, &p); err != nil || p.GetSeq() != cr.log.end()+1 {
			return damagedDataError(err, fmt.Sprintf("record %d", e.Seq))
		}
		cr.log.entries = append(cr.log.entries, entryOf(&p))
		cr.writer.loggedBytes += len(e.Data)
	}
	cr.writer.durableEnd = cr.log.end()
	return nil
}
