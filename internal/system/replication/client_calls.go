package replication

import (
	"maps"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

const (
	callResendInterval = 300 * time.Millisecond
	maxPendingCalls    = 1024
)

// CallOutcome is the outcome of a change or read.
type CallOutcome uint8

// The outcomes. Their numbers are sent on the wire.
const (
	Answered CallOutcome = 1 // the verdict is final
	Refused  CallOutcome = 2 // it was not applied and will not be
	Unknown  CallOutcome = 3 // it may or may not be applied
)

// Completion ends a Submit or Read. State is set for a read that was answered.
type Completion struct {
	ID      uint64 // as passed to Submit or Read
	Read    bool
	Outcome CallOutcome
	Verdict controlstate.Verdict // for a change that was answered
	Seq     uint64               // the committed record that the verdict or state depends on
	State   State
}

// clientCalls tracks the changes and reads requested at this node. It forwards changes to the head and sends reads to the tail, until
// they are answered or time out.
type clientCalls struct {
	*environment
	submits        map[uint64]*pendingSubmit // by the caller's id
	reads          map[uint64]*pendingRead   // by the caller's id
	lastCallNumber uint64                    // of a forwarded change

	acceptor *acceptor
	liveness *liveness
	chain    *chainReplica
}

// pendingSubmit is a change requested at this node.
type pendingSubmit struct {
	id                uint64 // the caller's number
	change            controlstate.Change
	deadline          time.Duration
	callNumber        uint64 // on the wire; each attempt that must not be taken for a duplicate of an earlier one gets a new number
	attemptInProgress bool
	uncertain         bool // an earlier attempt may still be applied
	sentAt            time.Duration
	retryAt           time.Duration // no new attempt before this time
	epoch             uint64        // in which the attempt was sent
	head              ID            // to which it was sent
	headIncarnation   uint64
}

// idempotent reports whether the state machine detects a change that is applied twice.
func idempotent(change controlstate.Change) bool {
	return change.Op == controlstate.OpReplace || change.Op == controlstate.OpAmend
}

// startSubmit starts a change requested at this node. It completes the change at once, and returns false, if no message or record can
// hold it, or if too many are pending.
func (cc *clientCalls) startSubmit(id uint64, change controlstate.Change, ttl time.Duration) bool {
	if reason := change.Unrecordable(); reason != "" {
		cc.complete(Completion{ID: id, Outcome: Answered, Verdict: controlstate.Verdict{Kind: controlstate.Invalid, Reason: reason}})
		return false
	}
	if len(cc.submits) >= maxPendingCalls {
		cc.complete(Completion{ID: id, Outcome: Refused})
		return false
	}
	s := &pendingSubmit{id: id, change: change, deadline: cc.now + ttl}
	cc.submits[id] = s
	cc.tryForward(s)
	return true
}

// abandonCall forgets a call without a Completion.
func (cc *clientCalls) abandonCall(id uint64) {
	delete(cc.submits, id)
	delete(cc.reads, id)
}

// tryForward starts an attempt if there is a head, or resends the message of the attempt in progress.
func (cc *clientCalls) tryForward(call *pendingSubmit) {
	if call.attemptInProgress {
		if cc.now-call.sentAt >= callResendInterval {
			cc.sendForward(call)
		}
		return
	}
	incarnation, ok := cc.liveness.headIncarnation()
	if !ok || cc.now < call.retryAt {
		return
	}
	cc.lastCallNumber++
	call.callNumber, call.attemptInProgress = cc.lastCallNumber, true
	call.epoch, call.head, call.headIncarnation = cc.acceptor.view.Epoch, cc.acceptor.view.Head(), incarnation
	cc.sendForward(call)
}

func (cc *clientCalls) sendForward(call *pendingSubmit) {
	call.sentAt = cc.now
	change := entry{rec: call.change.Record(0)}
	cc.send(call.head, forwardMessage(&replicationpb.Forward{
		Id: call.callNumber, Life: cc.cfg.Incarnation, HeadLife: call.headIncarnation, Epoch: call.epoch, Change: change.pb(),
		TtlUs: (call.deadline - cc.now).Microseconds(), Heard: cc.liveness.lastHeartbeatNumberFrom(call.head),
	}))
}

// tickSubmits ends the changes whose time has passed, and sends or repeats the others.
func (cc *clientCalls) tickSubmits() {
	for _, id := range slices.Sorted(maps.Keys(cc.submits)) {
		s := cc.submits[id]
		switch {
		case cc.now >= s.deadline:
			cc.completeSubmit(s, Completion{Outcome: s.outcomeAtDeadline()})
		case cc.isHeadReplaced(s) && !idempotent(s.change):
			cc.completeSubmit(s, Completion{Outcome: Unknown})
		case cc.isHeadReplaced(s):
			s.attemptInProgress, s.uncertain = false, true
			cc.tryForward(s)
		default:
			cc.tryForward(s)
		}
	}
}

func (s *pendingSubmit) outcomeAtDeadline() CallOutcome {
	if s.attemptInProgress || s.uncertain {
		return Unknown
	}
	return Refused
}

// isHeadReplaced reports whether the head that an attempt was sent to is no longer the head, or has restarted. A head that remains
// the head keeps the changes that it was sent.
func (cc *clientCalls) isHeadReplaced(s *pendingSubmit) bool {
	if !s.attemptInProgress {
		return false
	}
	incarnation, ok := cc.liveness.headIncarnation()
	return s.head != cc.acceptor.view.Head() || ok && incarnation != s.headIncarnation
}

func (cc *clientCalls) completeSubmit(s *pendingSubmit, done Completion) {
	delete(cc.submits, s.id)
	done.ID = s.id
	cc.complete(done)
}

func (cc *clientCalls) complete(done Completion) {
	cc.out.Completions = append(cc.out.Completions, done)
}

// handleAnswer ends an attempt, and also the change unless another attempt may follow.
func (cc *clientCalls) handleAnswer(msg *replicationpb.Answer) {
	if !cc.isThisIncarnation(msg.GetLife()) {
		return
	}
	call := cc.findSubmit(msg.GetId())
	if call == nil {
		return
	}
	switch outcome := CallOutcome(msg.GetOutcome()); {
	case outcome == Refused, outcome == Unknown && idempotent(call.change):
		call.attemptInProgress, call.uncertain = false, call.uncertain || outcome == Unknown
		call.retryAt = cc.now + cc.cfg.HeartbeatInterval
	default:
		verdict := controlstate.Verdict{Kind: controlstate.Kind(msg.GetKind()), Reason: msg.GetReason()}
		cc.completeSubmit(call, Completion{Outcome: outcome, Seq: msg.GetSeq(), Verdict: verdict})
	}
}

// findSubmit returns the change whose attempt in progress has the number, or nil.
func (cc *clientCalls) findSubmit(callNumber uint64) *pendingSubmit {
	for _, s := range cc.submits {
		if s.attemptInProgress && s.callNumber == callNumber {
			return s
		}
	}
	return nil
}

// pendingRead is a linearizable read requested at this node. It depends on two things: the tail's commit index, and the confirmation
// of a majority, given after the read was requested, that no later view can have acknowledged anything before the read.
type pendingRead struct {
	id         uint64
	deadline   time.Duration
	sentAt     time.Duration
	readIndex  uint64 // the state must be at least after this record
	indexKnown bool   // whether readIndex is known
}

// startRead starts a read requested at this node. If too many are pending, it completes the read as Refused and returns false.
func (cc *clientCalls) startRead(id uint64, ttl time.Duration) bool {
	if len(cc.reads) >= maxPendingCalls {
		cc.complete(Completion{ID: id, Read: true, Outcome: Refused})
		return false
	}
	r := &pendingRead{id: id, deadline: cc.now + ttl, sentAt: -callResendInterval}
	cc.reads[id] = r
	cc.sendReadIndex(r)
	return true
}

// sendReadIndex requests the read index from the tail, and repeats the request after callResendInterval.
func (cc *clientCalls) sendReadIndex(r *pendingRead) {
	if r.indexKnown || cc.now-r.sentAt < callResendInterval || cc.acceptor.view.Epoch == 0 {
		return
	}
	r.sentAt = cc.now
	cc.send(cc.acceptor.view.Tail(), readIndexMessage(&replicationpb.ReadIndex{
		Id: r.id, Life: cc.cfg.Incarnation, Epoch: cc.acceptor.view.Epoch,
	}))
}

// tickReads ends the reads that have timed out, and resends the others.
func (cc *clientCalls) tickReads() {
	for _, id := range slices.Sorted(maps.Keys(cc.reads)) {
		r := cc.reads[id]
		if cc.now >= r.deadline {
			delete(cc.reads, id)
			cc.complete(Completion{ID: id, Read: true, Outcome: Refused})
			continue
		}
		cc.sendReadIndex(r)
	}
}

func (cc *clientCalls) handleReadAt(m *replicationpb.ReadAt) {
	if r := cc.reads[m.GetId()]; r != nil && cc.isThisIncarnation(m.GetLife()) && !r.indexKnown {
		r.readIndex, r.indexKnown = m.GetSeq(), true
		cc.completeReads()
	}
}

// completeReads answers the reads whose read index is committed here.
func (cc *clientCalls) completeReads() {
	for _, id := range slices.Sorted(maps.Keys(cc.reads)) {
		if r := cc.reads[id]; r.indexKnown && r.readIndex <= cc.chain.commitIndex {
			delete(cc.reads, id)
			cc.complete(Completion{ID: id, Read: true, Outcome: Answered, Seq: cc.chain.commitIndex, State: cc.chain.state})
		}
	}
}
