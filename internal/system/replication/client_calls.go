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

type changeKey struct {
	from                    ID
	incarnation, callNumber uint64
}

// pendingChange is a change that came to the head.
type pendingChange struct {
	key       changeKey
	verdict   controlstate.Verdict
	seq       uint64 // the verdict stands when this is committed
	confirmed bool
	done      bool
	outcome   Outcome
	closedAt  time.Duration
}

// Submit asks for a change. A Completion with id follows within ttl.
func (c *Core) Submit(now time.Duration, id uint64, ch controlstate.Change, ttl time.Duration) {
	c.advance(now)
	if c.startSubmit(id, ch, ttl) {
		c.flush()
	}
}

// startSubmit takes up a change asked for here; where too many are pending it completes it as Refused and gives false.
func (c *Core) startSubmit(id uint64, ch controlstate.Change, ttl time.Duration) bool {
	if len(c.submits) >= maxPendingCalls {
		c.out.Completions = append(c.out.Completions, Completion{ID: id, Outcome: Refused})
		return false
	}
	s := &submit{id: id, change: ch, deadline: c.now + ttl}
	c.submits[id] = s
	c.sendForward(s)
	return true
}

// Abandon ends a Submit or Read without a Completion: nobody waits for it. It is not sent again; what was sent may yet come
// about.
func (c *Core) Abandon(id uint64) {
	c.abandonCall(id)
}

func (c *Core) abandonCall(id uint64) {
	delete(c.submits, id)
	delete(c.reads, id)
}

func (c *Core) headIncarnation() (uint64, bool) {
	head := c.acceptor.view.Head()
	if head == c.self.ID {
		return c.cfg.Incarnation, c.isHead()
	}
	p := c.peers[head]
	if p == nil || !c.isAlive(head) || p.heartbeat.GetEpoch() != c.acceptor.view.Epoch {
		return 0, false
	}
	return p.incarnation, true
}

func (c *Core) sendForward(s *submit) {
	life, ok := c.headIncarnation()
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
		Id: s.callNumber, Life: c.cfg.Incarnation, HeadLife: s.headIncarnation, Epoch: s.epoch, Change: e.pb(), TtlUs: (s.deadline - c.now).Microseconds(), Heard: c.lastHeartbeatFrom(s.head),
	}}})
}

func (c *Core) tickSubmits() {
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
			life, ok := c.headIncarnation()
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

// forgetChanges drops the changes that were answered so long ago that no duplicate of them can be accepted any more.
func (c *Core) forgetChanges() {
	for k, o := range c.changes {
		if o.done && c.now-o.closedAt > changeTTL {
			delete(c.changes, k)
		}
	}
}

func (c *Core) completeSubmit(s *submit, done Completion) {
	delete(c.submits, s.id)
	done.ID = s.id
	c.out.Completions = append(c.out.Completions, done)
}

// isThisIncarnation tells whether an answer is for a call of this life: another life's calls may have had the same numbers.
func (c *Core) isThisIncarnation(life uint64) bool {
	return life == c.cfg.Incarnation || c.cfg.knobs.AcceptAnyIncarnation
}

func (c *Core) handleAnswer(m *replicationpb.Answer) {
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

func (c *Core) handleForward(from ID, m *replicationpb.Forward) {
	key := changeKey{from: from, incarnation: m.GetLife(), callNumber: m.GetId()}
	if o := c.changes[key]; o != nil && !c.cfg.knobs.SkipDeduplication {
		if o.done {
			c.sendAnswer(o)
		}
		return
	}
	if m.GetHeadLife() != c.cfg.Incarnation && !c.cfg.knobs.AcceptAnyHeadIncarnation {
		return // it was for a former life: its sender notices
	}
	if len(c.changes) >= maxChanges {
		// Not Refused: its key is not kept, so a double of this message may be taken once there is room.
		c.sendAnswer(&pendingChange{key: key, outcome: Unknown})
		return
	}
	o := &pendingChange{key: key, closedAt: c.now}
	c.changes[key] = o
	if !c.canDecide(from, m) {
		c.closeChange(o, Refused)
		return
	}
	c.decide(o, m.GetChange())
	o.seq = c.log.end()
	c.pending = append(c.pending, o)
	if c.cfg.knobs.SkipVerdictConfirmation && o.verdict.Kind != controlstate.Accepted {
		o.seq, o.confirmed = 0, true
	}
	if !o.confirmed {
		// A deposed head must not judge by what it holds.
		c.confirmEpoch(func(ok bool) {
			if o.done {
				return
			}
			if o.confirmed = ok; !ok {
				c.closeChange(o, Refused)
			}
			c.completeChanges()
		})
	}
	c.completeChanges()
}

// canDecide tells whether this keeper is the head that the change was sent to, can log it, and its caller still waits.
func (c *Core) canDecide(from ID, m *replicationpb.Forward) bool {
	sameEpoch := m.GetEpoch() == c.acceptor.view.Epoch || c.cfg.knobs.AcceptForwardsOfEarlierEpochs
	canLog := !c.writer.unhealthy && !c.leaving && len(c.pending) < maxPendingCalls && len(c.acceptor.view.Chain) >= c.cfg.minChainLength()
	return c.isHead() && sameEpoch && canLog && c.isBeforeDeadline(from, m)
}

// decide decides on a change by the state after the whole log, and logs it when it is accepted.
func (c *Core) decide(o *pendingChange, p *replicationpb.Entry) {
	change := controlstate.Change{Op: controlstate.Op(p.GetOp()), Base: p.GetBase(), Body: p.GetBody(), Zone: p.GetZone()}
	o.verdict = c.speculativeState().Check(change)
	if o.verdict.Kind != controlstate.Accepted {
		return
	}
	rec := change.Record(c.log.end() + 1)
	next, err := c.speculativeState().Apply(rec)
	if err != nil {
		o.verdict = controlstate.Verdict{Kind: controlstate.Invalid, Reason: err.Error()}
		return
	}
	c.uncommittedStates = append(c.uncommittedStates, next)
	c.log.entries = append(c.log.entries, entry{epoch: c.acceptor.view.Epoch, rec: rec})
	o.confirmed = true
}

// lastHeartbeatFrom is the number of the newest heartbeat heard of a keeper, 0 if none was.
func (c *Core) lastHeartbeatFrom(id ID) uint64 {
	if p := c.peers[id]; p != nil {
		return p.heartbeatNumber
	}
	return 0
}

// isBeforeDeadline tells whether the caller of a forwarded change still waits for it. What the message says of the time left counts
// from when it was sent, and it may have been under way for long. It was sent after this head's heartbeat that its sender
// had heard, and when that was this head knows by its own clock. So no change is taken after its caller's deadline, at the
// cost of the time since that heartbeat. It takes that clocks run at one rate, not that they agree.
func (c *Core) isBeforeDeadline(from ID, m *replicationpb.Forward) bool {
	ttl := time.Duration(m.GetTtlUs()) * time.Microsecond
	if from == c.self.ID || c.cfg.knobs.AcceptLateForwards {
		return ttl > 0
	}
	heard := m.GetHeard()
	if heard == 0 || heard > c.heartbeatNumber || heard+heartbeatHistory <= c.heartbeatNumber {
		return false
	}
	return c.now-c.heartbeatSentAt[heard%heartbeatHistory] < ttl
}

// speculativeState is the state after the whole log, on which the head judges.
func (c *Core) speculativeState() State {
	if n := len(c.uncommittedStates); n > 0 {
		return c.uncommittedStates[n-1]
	}
	return c.state
}

func (c *Core) closeChange(o *pendingChange, out Outcome) {
	o.done, o.outcome, o.closedAt = true, out, c.now
	c.sendAnswer(o)
}

func (c *Core) sendAnswer(o *pendingChange) {
	c.send(o.key.from, &replicationpb.Message{Body: &replicationpb.Message_Answer{Answer: &replicationpb.Answer{
		Id: o.key.callNumber, Life: o.key.incarnation, Outcome: uint32(o.outcome), Kind: uint32(o.verdict.Kind), Reason: o.verdict.Reason, Seq: o.seq,
	}}})
}

func (c *Core) completeChanges() {
	c.pending = slices.DeleteFunc(c.pending, func(o *pendingChange) bool {
		if !o.done && o.confirmed && o.seq <= c.commitIndex && (o.verdict.Kind == controlstate.Accepted || c.isActiveToTail() || c.cfg.knobs.SkipVerdictConfirmation) {
			c.closeChange(o, Answered)
		}
		return o.done
	})
}

// abandonChanges ends what a head that is about to enter another view cannot answer any more. A head that remains the head
// keeps its log, so what is in it may still be committed.
func (c *Core) abandonChanges() {
	stays := c.acceptor.view.Head() == c.self.ID && c.acceptor.activeEpoch == c.acceptor.view.Epoch
	c.failConfirmations()
	c.pending = slices.DeleteFunc(c.pending, func(o *pendingChange) bool {
		if !o.done && !stays {
			if o.verdict.Kind == controlstate.Accepted {
				c.closeChange(o, Unknown)
			} else {
				c.closeChange(o, Refused)
			}
		}
		return o.done
	})
}
