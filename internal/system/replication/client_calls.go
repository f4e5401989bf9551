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
func (c *clientCalls) startSubmit(id uint64, ch controlstate.Change, ttl time.Duration) bool {
	if len(c.submits) >= maxPendingCalls {
		c.out.Completions = append(c.out.Completions, Completion{ID: id, Outcome: Refused})
		return false
	}
	s := &submit{id: id, change: ch, deadline: c.now + ttl}
	c.submits[id] = s
	c.sendForward(s)
	return true
}

func (c *clientCalls) abandonCall(id uint64) {
	delete(c.submits, id)
	delete(c.reads, id)
}

func (c *liveness) headIncarnation() (uint64, bool) {
	head := c.acceptor.view.Head()
	if head == c.self.ID {
		return c.cfg.Incarnation, c.chain.isHead()
	}
	p := c.peers[head]
	if p == nil || !c.isAlive(head) || p.heartbeat.GetEpoch() != c.acceptor.view.Epoch {
		return 0, false
	}
	return p.incarnation, true
}

func (c *clientCalls) sendForward(s *submit) {
	life, ok := c.liveness.headIncarnation()
	if !s.sent {
		if !ok || c.now < s.retryAt {
			return
		}
		c.lastCallNumber++
		s.callNumber, s.sent, s.epoch, s.head, s.headIncarnation = c.lastCallNumber, true, c.acceptor.view.Epoch, c.acceptor.view.Head(), life
	} else if c.now-s.sentAt < callResendInterval {
		return
	}
	s.sentAt = c.now
	e := entry{rec: s.change.Record(0)}
	c.send(s.head, &replicationpb.Message{Body: &replicationpb.Message_Forward{Forward: &replicationpb.Forward{
		Id: s.callNumber, Life: c.cfg.Incarnation, HeadLife: s.headIncarnation, Epoch: s.epoch, Change: e.pb(), TtlUs: (s.deadline - c.now).Microseconds(), Heard: c.liveness.lastHeartbeatFrom(s.head),
	}}})
}

func (c *clientCalls) tickSubmits() {
	for _, id := range slices.Sorted(maps.Keys(c.submits)) {
		s := c.submits[id]
		if c.now >= s.deadline {
			out := Refused
			if s.sent || s.uncertain {
				out = Unknown
			}
			c.completeSubmit(s, Completion{Outcome: out})
			continue
		}
		if s.sent {
			life, ok := c.liveness.headIncarnation()
			// A head that remains the head keeps what it was asked.
			if s.head != c.acceptor.view.Head() || ok && life != s.headIncarnation {
				if !idempotent(s.change) {
					c.completeSubmit(s, Completion{Outcome: Unknown})
					continue
				}
				s.sent, s.uncertain = false, true
			}
		}
		c.sendForward(s)
	}
}

func (c *clientCalls) completeSubmit(s *submit, done Completion) {
	delete(c.submits, s.id)
	done.ID = s.id
	c.out.Completions = append(c.out.Completions, done)
}

func (c *clientCalls) handleAnswer(m *replicationpb.Answer) {
	if !c.isThisIncarnation(m.GetLife()) {
		return
	}
	for _, s := range c.submits {
		if !s.sent || s.callNumber != m.GetId() {
			continue
		}
		switch out := Outcome(m.GetOutcome()); {
		case out == Refused, out == Unknown && idempotent(s.change):
			s.sent, s.uncertain, s.retryAt = false, s.uncertain || out == Unknown, c.now+c.cfg.HeartbeatInterval
		default:
			c.completeSubmit(s, Completion{
				Outcome: out, Seq: m.GetSeq(), Verdict: controlstate.Verdict{Kind: controlstate.Kind(m.GetKind()), Reason: m.GetReason()},
			})
		}
		return
	}
}

// lastHeartbeatFrom is the number of the newest heartbeat heard of a keeper, 0 if none was.
func (c *liveness) lastHeartbeatFrom(id ID) uint64 {
	if p := c.peers[id]; p != nil {
		return p.heartbeatNumber
	}
	return 0
}

// speculativeState is the state after the whole log, on which the head judges.
func (c *chainReplica) speculativeState() State {
	if n := len(c.uncommittedStates); n > 0 {
		return c.uncommittedStates[n-1]
	}
	return c.state
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
func (c *clientCalls) startRead(id uint64, ttl time.Duration) bool {
	if len(c.reads) >= maxPendingCalls {
		c.out.Completions = append(c.out.Completions, Completion{ID: id, Read: true, Outcome: Refused})
		return false
	}
	r := &read{id: id, deadline: c.now + ttl, sentAt: -callResendInterval}
	c.reads[id] = r
	c.sendReadIndex(r)
	return true
}

func (c *clientCalls) sendReadIndex(r *read) {
	if r.indexKnown || c.now-r.sentAt < callResendInterval || c.acceptor.view.Epoch == 0 {
		return
	}
	r.sentAt = c.now
	c.send(c.acceptor.view.Tail(), &replicationpb.Message{Body: &replicationpb.Message_ReadIndex{ReadIndex: &replicationpb.ReadIndex{
		Id: r.id, Life: c.cfg.Incarnation, Epoch: c.acceptor.view.Epoch,
	}}})
}

func (c *clientCalls) tickReads() {
	for _, id := range slices.Sorted(maps.Keys(c.reads)) {
		r := c.reads[id]
		if c.now >= r.deadline {
			delete(c.reads, id)
			c.out.Completions = append(c.out.Completions, Completion{ID: id, Read: true, Outcome: Refused})
			continue
		}
		c.sendReadIndex(r)
	}
}

func (c *clientCalls) handleReadAt(m *replicationpb.ReadAt) {
	if r := c.reads[m.GetId()]; r != nil && c.isThisIncarnation(m.GetLife()) && !r.indexKnown {
		r.readIndex, r.indexKnown = m.GetSeq(), true
		c.completeReads()
	}
}

func (c *clientCalls) completeReads() {
	for _, id := range slices.Sorted(maps.Keys(c.reads)) {
		if r := c.reads[id]; r.indexKnown && r.readIndex <= c.chain.commitIndex {
			delete(c.reads, id)
			c.out.Completions = append(c.out.Completions, Completion{ID: id, Read: true, Outcome: Answered, Seq: c.chain.commitIndex, State: c.chain.state})
		}
	}
}
