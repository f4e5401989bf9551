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
func (c *chainReplica) successor() ID {
	v := c.acceptor.view
	if i := v.chainIndex(c.self.ID); i >= 0 && i+1 < len(v.Chain) {
		return v.Chain[i+1]
	}
	return ""
}

// predecessor is the link before this one, empty at the head and outside the chain.
func (c *chainReplica) predecessor() ID {
	v := c.acceptor.view
	if i := v.chainIndex(c.self.ID); i > 0 {
		return v.Chain[i-1]
	}
	return ""
}

// active tells whether this link takes part: it holds all that was acknowledged before its view.
func (c *chainReplica) isActive() bool {
	return c.acceptor.viewDurable && c.err == nil && c.acceptor.view.Epoch > 0 && c.acceptor.durableActive == c.acceptor.view.Epoch && c.acceptor.view.chainIndex(c.self.ID) >= 0
}

func (c *chainReplica) isHead() bool { return c.isActive() && c.acceptor.view.Head() == c.self.ID }

func (c *chainReplica) isTail() bool { return c.isActive() && c.acceptor.view.Tail() == c.self.ID }

// enterView starts this link's part in a view that is on disk.
func (c *chainReplica) enterView() error {
	if !c.isActive() {
		return nil
	}
	if c.isHead() {
		// What is on disk is enough: nothing beyond it was handed on.
		c.epochStartIndex, c.minReadIndex = c.writer.durableEnd, max(c.minReadIndex, c.writer.durableEnd)
		c.uncommittedStates = nil
		for seq := c.commitIndex + 1; seq <= c.log.end(); seq++ {
			s, err := c.speculativeState().Apply(c.log.at(seq).rec)
			if err != nil {
				return errors.Wrapf(err, "replication: record %d cannot be applied", seq)
			}
			c.uncommittedStates = append(c.uncommittedStates, s)
		}
	}
	c.onDurableChange()
	return nil
}

// onDurableChange follows a change of what is on disk.
func (c *chainReplica) onDurableChange() {
	c.tryActivate()
	if c.acceptor.view.Epoch == 0 || !c.acceptor.viewDurable {
		return
	}
	if c.isActive() {
		c.commitAsTail()
		if id := c.successor(); id != "" {
			c.replicateTo(id)
		}
	} else if c.caughtUp {
		c.advanceCommitIndex(min(c.upstreamCommitIndex, c.matchIndex, c.writer.durableEnd))
	}
	c.sendAck()
}

// durableIndex is the end of what is on disk and known to be the log of this epoch's chain.
func (c *chainReplica) durableIndex() uint64 {
	if c.isHead() {
		return c.writer.durableEnd
	}
	return min(c.matchIndex, c.writer.durableEnd)
}

// commitAsTail commits at the tail. A record that got here went through every link, each of which had it on disk before
// it handed it on; and every link is active, since only an active one hands on.
func (c *chainReplica) commitAsTail() {
	early := c.cfg.knobs.AcknowledgeAtHead && c.isHead()
	if !c.isTail() && !early || len(c.acceptor.view.Chain) < c.cfg.minChainLength() {
		return
	}
	c.advanceCommitIndex(c.durableIndex())
}

func (c *chainReplica) advanceCommitIndex(seq uint64) {
	if seq <= c.commitIndex {
		return
	}
	for s := c.commitIndex + 1; s <= seq; s++ {
		var next State
		if len(c.uncommittedStates) > 0 {
			next, c.uncommittedStates = c.uncommittedStates[0], c.uncommittedStates[1:]
		} else {
			var err error
			if next, err = c.state.Apply(c.log.at(s).rec); err != nil {
				c.fail(errors.Wrapf(err, "replication: record %d cannot be applied", s))
				return
			}
		}
		c.state, c.commitIndex = next, s
	}
	c.ackSentAt = 0
	c.sendAck()
	c.waiting.completeChanges()
	c.waiting.completeReads()
	for _, id := range slices.Sorted(maps.Keys(c.downstream)) {
		if c.downstream[id].learner {
			c.replicateTo(id)
		}
	}
}

// sendAck tells the link before what is on disk here and what is committed.
func (c *chainReplica) sendAck() {
	prev := c.predecessor()
	if prev == "" || !c.upstreamMatched || !c.acceptor.viewDurable || c.err != nil {
		return
	}
	c.ackSentAt = c.now
	c.send(prev, &replicationpb.Message{Body: &replicationpb.Message_Ack{Ack: &replicationpb.Ack{
		Epoch: c.acceptor.view.Epoch, Matched: c.durableIndex(), Committed: c.commitIndex, Active: c.isActive(), Complete: c.isActiveToTail(),
	}}})
}

// isActiveToTail tells whether this link and all after it are active, so that no log of an old epoch is left among them.
func (c *chainReplica) isActiveToTail() bool {
	if !c.isActive() || c.isTail() {
		return c.isActive()
	}
	p := c.downstream[c.successor()]
	return p != nil && p.activeToTail
}

func (c *chainReplica) tickChain() {
	if !c.acceptor.viewDurable {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.downstream)) {
		if p := c.downstream[id]; p.learner && c.now-p.lastContactAt > learnerTTL {
			delete(c.downstream, id)
		}
	}
	again := resendTimeout
	if !c.upstreamMatched {
		again = catchUpInterval
	}
	if prev := c.predecessor(); prev != "" && c.now-c.ackSentAt >= again {
		if c.ackSentAt = c.now; c.upstreamMatched {
			c.sendAck()
		} else {
			c.sendMismatch(prev) // asks to be fed
		}
	}
	if !c.isActive() {
		return
	}
	if id := c.successor(); id != "" {
		p := c.downstream[id]
		if p != nil && (!c.canReplicate() || p.active && p.match >= c.durableIndex()) {
			p.advancedAt = c.now
			if c.commitIndex < c.durableIndex() && c.now-p.lastSentAt >= resendTimeout {
				c.sendAppend(id, p, c.durableIndex(), nil, c.durableIndex()) // its word that it is committed was lost
			}
		} else if p != nil && p.matchKnown && !p.active && p.match >= c.durableIndex() && c.now-p.lastSentAt >= resendTimeout {
			c.sendAppend(id, p, c.durableIndex(), nil, c.durableIndex())
		}
		c.replicateTo(id)
	}
}

func (c *chainReplica) loadLog(snap wal.Snapshot, entries []wal.Entry) error {
	if snap.Seq > 0 {
		var p replicationpb.Image
		if err := proto.Unmarshal(snap.Data, &p); err != nil {
			return damagedDataError(err, "the snapshot")
		}
		s, err := c.machine.Decode(p.GetState())
		if err != nil {
			return damagedDataError(err, "the snapshot")
		}
		c.state, c.commitIndex = s, snap.Seq
		c.log.base, c.log.baseEpoch = snap.Seq, p.GetEpoch()
		c.writer.snapshotSeq = snap.Seq
	}
	for _, e := range entries {
		if e.Seq <= c.log.end() {
			continue
		}
		var p replicationpb.Entry
		if err := proto.Unmarshal(e.Data, &p); err != nil || p.GetSeq() != c.log.end()+1 {
			return damagedDataError(err, fmt.Sprintf("record %d", e.Seq))
		}
		c.log.entries = append(c.log.entries, entryOf(&p))
		c.writer.loggedBytes += len(e.Data)
	}
	c.writer.durableEnd = c.log.end()
	return nil
}
