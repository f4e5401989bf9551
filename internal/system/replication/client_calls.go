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
	changeTTL          = 15 * time.Second // how long a change that comes twice is recognised
	maxChanges         = 4096
	maxPendingCalls    = 1024
)

// Outcome says what became of a change or read.
type Outcome uint8

// The outcomes. Their numbers are on the wire.
const (
	Answered Outcome = 1 // the verdict stands
	Refused  Outcome = 2 // it has not come about, nor will it
	Unknown  Outcome = 3 // it may or may not come about
)

// Completion ends a Submit or Read. State is set for a read that was answered.
type Completion struct {
	ID      uint64
	Read    bool
	Outcome Outcome
	Verdict controlstate.Verdict
	Seq     uint64
	State   State
}

// clientCalls are the changes and reads asked for at this node: it forwards them to head and tail until they are answered.
type clientCalls struct {
	*environment
	submits        map[uint64]*submit
	reads          map[uint64]*read
	lastCallNumber uint64 // of a forwarded change

	acceptor *acceptor
	liveness *liveness
	chain    *chainReplica
}

// submit is a change asked for here.
type submit struct {
	id              uint64 // the caller's
	callNumber      uint64 // on the wire: new for every try that may not be mistaken for the one before
	change          controlstate.Change
	deadline        time.Duration
	sent            bool
	uncertain       bool // an earlier try may yet come about
	sentAt          time.Duration
	retryAt         time.Duration
	epoch           uint64
	head            ID
	headIncarnation uint64 // the head's
}

// idempotent tells whether the state machine recognises a change that comes twice.
func idempotent(ch controlstate.Change) bool {
	return ch.Op == controlstate.OpReplace || ch.Op == controlstate.OpAmend
}

// startSubmit takes up a change asked for here; where too many are pending it completes it as Refused and gives false.
func (cc *clientCalls) startSubmit(id uint64, ch controlstate.Change, ttl time.Duration) bool {
	if len(cc.submits) >= maxPendingCalls {
		cc.out.Completions = append(cc.out.Completions, Completion{ID: id, Outcome: Refused})
		return false
	}
	s := &submit{id: id, change: ch, deadline: cc.now + ttl}
	cc.submits[id] = s
	cc.sendForward(s)
	return true
}

func (cc *clientCalls) abandonCall(id uint64) {
	delete(cc.submits, id)
	delete(cc.reads, id)
}

func (cc *clientCalls) sendForward(s *submit) {
	life, ok := cc.liveness.headIncarnation()
	if !s.sent {
		if !ok || cc.now < s.retryAt {
			return
		}
		cc.lastCallNumber++
		s.callNumber, s.sent, s.epoch, s.head, s.headIncarnation = cc.lastCallNumber, true, cc.acceptor.view.Epoch, cc.acceptor.view.Head(), life
	} else if cc.now-s.sentAt < callResendInterval {
		return
	}
	s.sentAt = cc.now
	e := entry{rec: s.change.Record(0)}
	cc.send(s.head, forwardMessage(&replicationpb.Forward{
		Id: s.callNumber, Life: cc.cfg.Incarnation, HeadLife: s.headIncarnation, Epoch: s.epoch, Change: e.pb(), TtlUs: (s.deadline - cc.now).Microseconds(), Heard: cc.liveness.lastHeartbeatFrom(s.head),
	}))
}

func (cc *clientCalls) tickSubmits() {
	for _, id := range slices.Sorted(maps.Keys(cc.submits)) {
		s := cc.submits[id]
		if cc.now >= s.deadline {
			out := Refused
			if s.sent || s.uncertain {
				out = Unknown
			}
			cc.completeSubmit(s, Completion{Outcome: out})
			continue
		}
		if s.sent {
			life, ok := cc.liveness.headIncarnation()
			// A head that remains the head keeps what it was asked.
			if s.head != cc.acceptor.view.Head() || ok && life != s.headIncarnation {
				if !idempotent(s.change) {
					cc.completeSubmit(s, Completion{Outcome: Unknown})
					continue
				}
				s.sent, s.uncertain = false, true
			}
		}
		cc.sendForward(s)
	}
}

func (cc *clientCalls) completeSubmit(s *submit, done Completion) {
	delete(cc.submits, s.id)
	done.ID = s.id
	cc.out.Completions = append(cc.out.Completions, done)
}

func (cc *clientCalls) handleAnswer(m *replicationpb.Answer) {
	if !cc.isThisIncarnation(m.GetLife()) {
		return
	}
	for _, s := range cc.submits {
		if !s.sent || s.callNumber != m.GetId() {
			continue
		}
		switch out := Outcome(m.GetOutcome()); {
		case out == Refused, out == Unknown && idempotent(s.change):
			s.sent, s.uncertain, s.retryAt = false, s.uncertain || out == Unknown, cc.now+cc.cfg.HeartbeatInterval
		default:
			cc.completeSubmit(s, Completion{
				Outcome: out, Seq: m.GetSeq(), Verdict: controlstate.Verdict{Kind: controlstate.Kind(m.GetKind()), Reason: m.GetReason()},
			})
		}
		return
	}
}

// read is a linearizable read asked for here. It rests on two things: the tail's word on what is committed, and a
// majority's, given after the read was asked for, that no later view can have acknowledged anything before.
type read struct {
	id         uint64
	deadline   time.Duration
	sentAt     time.Duration
	readIndex  uint64
	indexKnown bool // at is known
}

// startRead takes up a read asked for here; where too many are pending it completes it as Refused and gives false.
func (cc *clientCalls) startRead(id uint64, ttl time.Duration) bool {
	if len(cc.reads) >= maxPendingCalls {
		cc.out.Completions = append(cc.out.Completions, Completion{ID: id, Read: true, Outcome: Refused})
		return false
	}
	r := &read{id: id, deadline: cc.now + ttl, sentAt: -callResendInterval}
	cc.reads[id] = r
	cc.sendReadIndex(r)
	return true
}

func (cc *clientCalls) sendReadIndex(r *read) {
	if r.indexKnown || cc.now-r.sentAt < callResendInterval || cc.acceptor.view.Epoch == 0 {
		return
	}
	r.sentAt = cc.now
	cc.send(cc.acceptor.view.Tail(), readIndexMessage(&replicationpb.ReadIndex{
		Id: r.id, Life: cc.cfg.Incarnation, Epoch: cc.acceptor.view.Epoch,
	}))
}

func (cc *clientCalls) tickReads() {
	for _, id := range slices.Sorted(maps.Keys(cc.reads)) {
		r := cc.reads[id]
		if cc.now >= r.deadline {
			delete(cc.reads, id)
			cc.out.Completions = append(cc.out.Completions, Completion{ID: id, Read: true, Outcome: Refused})
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

func (cc *clientCalls) completeReads() {
	for _, id := range slices.Sorted(maps.Keys(cc.reads)) {
		if r := cc.reads[id]; r.indexKnown && r.readIndex <= cc.chain.commitIndex {
			delete(cc.reads, id)
			cc.out.Completions = append(cc.out.Completions, Completion{ID: id, Read: true, Outcome: Answered, Seq: cc.chain.commitIndex, State: cc.chain.state})
		}
	}
}
