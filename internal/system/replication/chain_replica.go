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
	catchUpInterval       = 50 * time.Millisecond // between a replica's requests; after a start of all nodes, each waits for its predecessor
	snapshotResendTimeout = time.Second
	stalledTimeout        = time.Second
	activationTimeout     = 3 * time.Second // for a successor to catch up after a view change
	maxAppendBytes        = 256 << 10
	maxInFlightBytes      = 1 << 20     // of records to one node
	transferTimePerMB     = time.Second // on a slow network
	maxLearners           = maxPeers
	learnerTTL            = 2 * time.Second // after its last request
)

// chainReplica is this node's log and its position in the chain: it receives records from its predecessor, sends them to its
// successor once they are on disk, and tracks what is committed. Outside the chain it catches up as a learner.
type chainReplica struct {
	*environment
	machine             Machine
	log                 memoryLog
	state               State // after commitIndex
	commitIndex         uint64
	matchIndex          uint64        // in this epoch, the log is known to match the predecessor's up to here
	upstreamCommitIndex uint64        // commit index of the replica that a learner follows
	caughtUpAt          time.Duration // when a learner sent the newest request that was answered
	caughtUp            bool          // a learner's request has been answered in this epoch
	upstreamMatched     bool          // an append of the predecessor has matched, in this epoch and incarnation
	minReadIndex        uint64        // records up to here may have been acknowledged: no read may use an older state
	epochStartIndex     uint64        // where the head's log ended when it entered the epoch
	uncommittedStates   []State       // on the head: the states after each record above commitIndex
	downstream          map[ID]*progress
	ackSentAt           time.Duration

	acceptor  *acceptor
	writer    *diskWriter
	liveness  *liveness
	completer callCompleter
}

// callCompleter answers the calls that wait for records to be committed.
type callCompleter interface {
	completeChanges()
	completeReads()
}

// successor returns the replica after this one, or an empty ID at the tail and outside the chain.
func (cr *chainReplica) successor() ID {
	v := cr.acceptor.view
	if i := v.chainIndex(cr.self.ID); i >= 0 && i+1 < len(v.Chain) {
		return v.Chain[i+1]
	}
	return ""
}

// predecessor returns the replica before this one, or an empty ID at the head and outside the chain.
func (cr *chainReplica) predecessor() ID {
	v := cr.acceptor.view
	if i := v.chainIndex(cr.self.ID); i > 0 {
		return v.Chain[i-1]
	}
	return ""
}

// isInChain reports whether this node is a replica of the current chain, active or not.
func (cr *chainReplica) isInChain() bool { return cr.acceptor.view.chainIndex(cr.self.ID) >= 0 }

// isActive reports whether this replica replicates: its disk records that it holds everything acknowledged before its view.
func (cr *chainReplica) isActive() bool {
	epoch := cr.acceptor.view.Epoch
	isUsable := cr.err == nil && cr.acceptor.viewDurable
	return isUsable && epoch > 0 && cr.acceptor.durableActiveEpoch == epoch && cr.isInChain()
}

// committed implements replicaStatus.
func (cr *chainReplica) committed() uint64 { return cr.commitIndex }

func (cr *chainReplica) isHead() bool { return cr.isActive() && cr.acceptor.view.Head() == cr.self.ID }

func (cr *chainReplica) isTail() bool { return cr.isActive() && cr.acceptor.view.Tail() == cr.self.ID }

// isActiveToTail reports whether this replica and all replicas after it are active, so that none of them has a log of an old epoch.
func (cr *chainReplica) isActiveToTail() bool {
	if !cr.isActive() || cr.isTail() {
		return cr.isActive()
	}
	p := cr.downstream[cr.successor()]
	return p != nil && p.activeToTail
}

// leaveEpoch forgets what was known of the chain of the previous epoch.
func (cr *chainReplica) leaveEpoch() {
	cr.matchIndex, cr.upstreamMatched = 0, false
	cr.upstreamCommitIndex, cr.caughtUp = 0, false
	cr.minReadIndex, cr.epochStartIndex = 0, 0
	cr.downstream = map[ID]*progress{}
	cr.uncommittedStates = nil
}

// enterView starts this replica's participation in a view that is on disk.
func (cr *chainReplica) enterView() error {
	if !cr.isActive() {
		return nil
	}
	if cr.isHead() {
		if err := cr.enterAsHead(); err != nil {
			return err
		}
	}
	cr.onDurableChange()
	return nil
}

// enterAsHead computes the states after the records that are not known to be committed. The epoch starts with what is on disk:
// records beyond it were never sent to another replica.
func (cr *chainReplica) enterAsHead() error {
	cr.epochStartIndex = cr.writer.durableEnd
	cr.minReadIndex = max(cr.minReadIndex, cr.writer.durableEnd)
	cr.uncommittedStates = nil
	for seq := cr.commitIndex + 1; seq <= cr.log.end(); seq++ {
		next, err := cr.speculativeState().Apply(cr.log.at(seq).rec)
		if err != nil {
			return applyError(err, seq)
		}
		cr.uncommittedStates = append(cr.uncommittedStates, next)
	}
	return nil
}

// speculativeState returns the state after the complete log, on which the head decides.
func (cr *chainReplica) speculativeState() State {
	if n := len(cr.uncommittedStates); n > 0 {
		return cr.uncommittedStates[n-1]
	}
	return cr.state
}

// appendAsHead appends a record that the head has accepted, with the state after it.
func (cr *chainReplica) appendAsHead(rec entry, next State) {
	cr.uncommittedStates = append(cr.uncommittedStates, next)
	cr.log.entries = append(cr.log.entries, rec)
}

// onDurableChange handles a change of what is on disk, which may make this replica active, commit records, or allow it to send more
// of them.
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
		cr.commitAsLearner()
	}
	cr.sendAck()
}

// durableIndex returns the end of the log that is on disk and known to be the log of this epoch's chain.
func (cr *chainReplica) durableIndex() uint64 {
	if cr.isHead() {
		return cr.writer.durableEnd
	}
	return min(cr.matchIndex, cr.writer.durableEnd)
}

// commitAsTail commits at the tail, if the chain is long enough (invariant 2 of the package). A record that has arrived here has
// passed through every replica, each of which had it on disk before it sent it on. Every replica is active, since only an active
// replica sends records on.
func (cr *chainReplica) commitAsTail() {
	commitsHere := cr.isTail() || cr.cfg.knobs.AcknowledgeAtHead && cr.isHead()
	if commitsHere && len(cr.acceptor.view.Chain) >= cr.cfg.minChainLength() {
		cr.advanceCommitIndex(cr.durableIndex())
	}
}

// commitAsLearner commits the records that are committed upstream and on disk here.
func (cr *chainReplica) commitAsLearner() {
	cr.advanceCommitIndex(min(cr.upstreamCommitIndex, cr.matchIndex, cr.writer.durableEnd))
}

// advanceCommitIndex applies the records up to seq, and notifies the calls and learners that wait for them.
func (cr *chainReplica) advanceCommitIndex(seq uint64) {
	if seq <= cr.commitIndex {
		return
	}
	for cr.commitIndex < seq {
		next, err := cr.nextState()
		if err != nil {
			cr.fail(applyError(err, cr.commitIndex+1))
			return
		}
		cr.state = next
		cr.commitIndex++
	}
	cr.ackSentAt = 0
	cr.sendAck()
	cr.completer.completeChanges()
	cr.completer.completeReads()
	for _, id := range slices.Sorted(maps.Keys(cr.downstream)) {
		if cr.downstream[id].learner {
			cr.replicateTo(id)
		}
	}
}

// nextState returns the state after the first record above the commit index. The head has already computed it.
func (cr *chainReplica) nextState() (State, error) {
	if len(cr.uncommittedStates) == 0 {
		return cr.state.Apply(cr.log.at(cr.commitIndex + 1).rec)
	}
	next := cr.uncommittedStates[0]
	cr.uncommittedStates = cr.uncommittedStates[1:]
	return next, nil
}

// holdsAcknowledged reports whether this replica knows everything to be committed that may have been acknowledged before it took its
// position, in its current incarnation.
func (cr *chainReplica) holdsAcknowledged() bool {
	return cr.commitIndex >= cr.minReadIndex || cr.cfg.knobs.SkipMinReadIndex
}

// isUpToDate reports, for a replica of the chain, whether it knows everything to be committed that may have been acknowledged before
// its epoch. For a node outside the chain, it reports whether the node has received what was committed within the window.
func (cr *chainReplica) isUpToDate(window time.Duration) bool {
	if cr.isInChain() {
		return cr.acceptor.durableActiveEpoch == cr.acceptor.view.Epoch && cr.holdsAcknowledged()
	}
	return cr.caughtUp && cr.now-cr.caughtUpAt <= window && cr.commitIndex >= cr.upstreamCommitIndex
}

// tickChain resends what may have been lost on its way to the neighbors.
func (cr *chainReplica) tickChain() {
	if !cr.acceptor.viewDurable {
		return
	}
	cr.forgetLearners()
	cr.tickPredecessor()
	if cr.isActive() {
		cr.tickSuccessor()
	}
}

// truncateLog removes the records above after from memory and disk.
func (cr *chainReplica) truncateLog(after uint64) {
	cr.log.truncate(after)
	cr.matchIndex = min(cr.matchIndex, after)
	cr.writer.truncated(after)
}

// compactMemory removes the records below a snapshot from memory, except those that a node slightly behind may need: at most
// retainedRecords, of at most minRetainedBytes or twice the size of the snapshot. That is enough for a node that was sent a snapshot
// to continue from there: while the snapshot was in flight, changes took less of the network's bandwidth than the snapshot did, or
// else the network could not carry the changes at all.
func (cr *chainReplica) compactMemory(snap wal.Snapshot) {
	budget, retained := max(minRetainedBytes, 2*len(snap.Data)), uint64(0)
	for seq := min(snap.Seq, cr.log.end()); seq > cr.log.base && retained < cr.cfg.retainedRecords; seq-- {
		if budget -= cr.log.at(seq).size(); budget < 0 {
			break
		}
		retained++
	}
	cr.log.compact(snap.Seq - retained)
}

// loadLog restores what the disk holds: a snapshot, and the records after it.
func (cr *chainReplica) loadLog(snap wal.Snapshot, entries []wal.Entry) error {
	if snap.Seq > 0 {
		if err := cr.loadSnapshot(snap); err != nil {
			return err
		}
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

func (cr *chainReplica) loadSnapshot(snap wal.Snapshot) error {
	var image replicationpb.Image
	if err := proto.Unmarshal(snap.Data, &image); err != nil {
		return damagedDataError(err, "the snapshot")
	}
	state, err := cr.machine.Decode(image.GetState())
	if err != nil {
		return damagedDataError(err, "the snapshot")
	}
	cr.state, cr.commitIndex = state, snap.Seq
	cr.log.base, cr.log.baseEpoch = snap.Seq, image.GetEpoch()
	cr.writer.snapshotSeq = snap.Seq
	return nil
}

func applyError(err error, seq uint64) error {
	return errors.Wrapf(err, "replication: record %d cannot be applied", seq)
}
