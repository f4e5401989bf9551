package replication

import (
	"maps"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

const (
	submitResend = 300 * time.Millisecond
	keepChanges  = 15 * time.Second // how long a change that comes twice is recognised
	maxChanges   = 4096
	maxAsked     = 1024
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
	id        uint64 // the caller's
	key       uint64 // on the wire: new for every try that may not be mistaken for the one before
	change    controlstate.Change
	deadline  time.Duration
	sent      bool
	uncertain bool // an earlier try may yet come about
	sentAt    time.Duration
	again     time.Duration
	epoch     uint64
	head      ID
	life      uint64 // the head's
}

// repeatable tells whether the state machine recognises a change that comes twice.
func repeatable(ch controlstate.Change) bool {
	return ch.Op == controlstate.OpReplace || ch.Op == controlstate.OpAmend
}

type changeKey struct {
	from     ID
	life, id uint64
}

// pendingChange is a change that came to the head.
type pendingChange struct {
	key       changeKey
	verdict   controlstate.Verdict
	seq       uint64 // the verdict stands when this is committed
	confirmed bool
	done      bool
	outcome   Outcome
	at        time.Duration
}

// Submit asks for a change. A Completion with id follows within ttl.
func (c *Core) Submit(now time.Duration, id uint64, ch controlstate.Change, ttl time.Duration) {
	c.advance(now)
	if len(c.submits) >= maxAsked {
		c.out.Completions = append(c.out.Completions, Completion{ID: id, Outcome: Refused})
		return
	}
	s := &submit{id: id, change: ch, deadline: c.now + ttl}
	c.submits[id] = s
	c.trySubmit(s)
	c.settle()
}

// Abandon ends a Submit or Read without a Completion: nobody waits for it. It is not sent again; what was sent may yet come
// about.
func (c *Core) Abandon(id uint64) {
	delete(c.submits, id)
	delete(c.reads, id)
}

func (c *Core) headLife() (uint64, bool) {
	head := c.reg.view.Head()
	if head == c.reg.self.ID {
		return c.cfg.Incarnation, c.isHead()
	}
	p := c.peers[head]
	if p == nil || !c.alive(head) || p.heartbeat.GetEpoch() != c.reg.view.Epoch {
		return 0, false
	}
	return p.life, true
}

func (c *Core) trySubmit(s *submit) {
	life, ok := c.headLife()
	if !s.sent {
		if !ok || c.now < s.again {
			return
		}
		c.keys++
		s.key, s.sent, s.epoch, s.head, s.life = c.keys, true, c.reg.view.Epoch, c.reg.view.Head(), life
	} else if c.now-s.sentAt < submitResend {
		return
	}
	s.sentAt = c.now
	e := entry{rec: s.change.Record(0)}
	c.send(s.head, &replicationpb.Message{Body: &replicationpb.Message_Forward{Forward: &replicationpb.Forward{
		Id: s.key, Life: c.cfg.Incarnation, HeadLife: s.life, Epoch: s.epoch, Change: e.pb(), TtlUs: (s.deadline - c.now).Microseconds(), Heard: c.heardOf(s.head),
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
			c.finish(s, Completion{Outcome: out})
			continue
		}
		if s.sent {
			life, ok := c.headLife()
			// A head that remains the head keeps what it was asked.
			if s.head != c.reg.view.Head() || ok && life != s.life {
				if !repeatable(s.change) {
					c.finish(s, Completion{Outcome: Unknown})
					continue
				}
				s.sent, s.uncertain = false, true
			}
		}
		c.trySubmit(s)
	}
	for k, o := range c.changes {
		if o.done && c.now-o.at > keepChanges {
			delete(c.changes, k)
		}
	}
}

func (c *Core) finish(s *submit, done Completion) {
	delete(c.submits, s.id)
	done.ID = s.id
	c.out.Completions = append(c.out.Completions, done)
}

// thisLife tells whether an answer is for a call of this life: another life's calls may have had the same numbers.
func (c *Core) thisLife(life uint64) bool { return life == c.cfg.Incarnation || c.cfg.hooks.anyLife }

func (c *Core) onAnswer(m *replicationpb.Answer) {
	if !c.thisLife(m.GetLife()) {
		return
	}
	for _, s := range c.submits {
		if !s.sent || s.key != m.GetId() {
			continue
		}
		switch out := Outcome(m.GetOutcome()); {
		case out == Refused, out == Unknown && repeatable(s.change):
			s.sent, s.uncertain, s.again = false, s.uncertain || out == Unknown, c.now+c.cfg.HeartbeatInterval
		default:
			c.finish(s, Completion{
				Outcome: out, Seq: m.GetSeq(), Verdict: controlstate.Verdict{Kind: controlstate.Kind(m.GetKind()), Reason: m.GetReason()},
			})
		}
		return
	}
}

func (c *Core) onForward(from ID, m *replicationpb.Forward) {
	key := changeKey{from: from, life: m.GetLife(), id: m.GetId()}
	if o := c.changes[key]; o != nil && !c.cfg.hooks.duplicateChange {
		if o.done {
			c.answer(o)
		}
		return
	}
	if m.GetHeadLife() != c.cfg.Incarnation && !c.cfg.hooks.anyHeadLife {
		return // it was for a former life: its sender notices
	}
	if len(c.changes) >= maxChanges {
		// Not Refused: its key is not kept, so a double of this message may be taken once there is room.
		c.answer(&pendingChange{key: key, outcome: Unknown})
		return
	}
	o := &pendingChange{key: key, at: c.now}
	c.changes[key] = o
	if !c.mayJudge(from, m) {
		c.close(o, Refused)
		return
	}
	c.judge(o, m.GetChange())
	o.seq = c.log.end()
	c.pending = append(c.pending, o)
	if c.cfg.hooks.hastyVerdict && o.verdict.Kind != controlstate.Accepted {
		o.seq, o.confirmed = 0, true
	}
	if !o.confirmed {
		// A deposed head must not judge by what it holds.
		c.confirm(func(ok bool) {
			if o.done {
				return
			}
			if o.confirmed = ok; !ok {
				c.close(o, Refused)
			}
			c.completeChanges()
		})
	}
	c.completeChanges()
}

// mayJudge tells whether this keeper is the head that the change was sent to, can log it, and its caller still waits.
func (c *Core) mayJudge(from ID, m *replicationpb.Forward) bool {
	sameEpoch := m.GetEpoch() == c.reg.view.Epoch || c.cfg.scripted.forwardEpoch
	canLog := !c.disk.bad && !c.leaving && len(c.pending) < maxAsked && len(c.reg.view.Chain) >= c.cfg.links()
	return c.isHead() && sameEpoch && canLog && c.inTime(from, m)
}

// judge decides on a change by the state after the whole log, and logs it when it is accepted.
func (c *Core) judge(o *pendingChange, p *replicationpb.Entry) {
	change := controlstate.Change{Op: controlstate.Op(p.GetOp()), Base: p.GetBase(), Body: p.GetBody(), Zone: p.GetZone()}
	o.verdict = c.spec().Check(change)
	if o.verdict.Kind != controlstate.Accepted {
		return
	}
	rec := change.Record(c.log.end() + 1)
	next, err := c.spec().Apply(rec)
	if err != nil {
		o.verdict = controlstate.Verdict{Kind: controlstate.Invalid, Reason: err.Error()}
		return
	}
	c.ahead = append(c.ahead, next)
	c.log.entries = append(c.log.entries, entry{epoch: c.reg.view.Epoch, rec: rec})
	o.confirmed = true
}

// heardOf is the number of the newest heartbeat heard of a keeper, 0 if none was.
func (c *Core) heardOf(id ID) uint64 {
	if p := c.peers[id]; p != nil {
		return p.number
	}
	return 0
}

// inTime tells whether the caller of a forwarded change still waits for it. What the message says of the time left counts
// from when it was sent, and it may have been under way for long. It was sent after this head's heartbeat that its sender
// had heard, and when that was this head knows by its own clock. So no change is taken after its caller's deadline, at the
// cost of the time since that heartbeat. It takes that clocks run at one rate, not that they agree.
func (c *Core) inTime(from ID, m *replicationpb.Forward) bool {
	ttl := time.Duration(m.GetTtlUs()) * time.Microsecond
	if from == c.reg.self.ID || c.cfg.scripted.lateForward {
		return ttl > 0
	}
	heard := m.GetHeard()
	if heard == 0 || heard > c.number || heard+sentRing <= c.number {
		return false
	}
	return c.now-c.sentAt[heard%sentRing] < ttl
}

// spec is the state after the whole log, on which the head judges.
func (c *Core) spec() State {
	if n := len(c.ahead); n > 0 {
		return c.ahead[n-1]
	}
	return c.state
}

func (c *Core) close(o *pendingChange, out Outcome) {
	o.done, o.outcome, o.at = true, out, c.now
	c.answer(o)
}

func (c *Core) answer(o *pendingChange) {
	c.send(o.key.from, &replicationpb.Message{Body: &replicationpb.Message_Answer{Answer: &replicationpb.Answer{
		Id: o.key.id, Life: o.key.life, Outcome: uint32(o.outcome), Kind: uint32(o.verdict.Kind), Reason: o.verdict.Reason, Seq: o.seq,
	}}})
}

func (c *Core) completeChanges() {
	c.pending = slices.DeleteFunc(c.pending, func(o *pendingChange) bool {
		if !o.done && o.confirmed && o.seq <= c.committed && (o.verdict.Kind == controlstate.Accepted || c.complete() || c.cfg.hooks.hastyVerdict) {
			c.close(o, Answered)
		}
		return o.done
	})
}

// abandonChanges ends what a head that is about to enter another view cannot answer any more. A head that remains the head
// keeps its log, so what is in it may still be committed.
func (c *Core) abandonChanges() {
	stays := c.reg.view.Head() == c.reg.self.ID && c.reg.active == c.reg.view.Epoch
	c.failRounds()
	c.pending = slices.DeleteFunc(c.pending, func(o *pendingChange) bool {
		if !o.done && !stays {
			if o.verdict.Kind == controlstate.Accepted {
				c.close(o, Unknown)
			} else {
				c.close(o, Refused)
			}
		}
		return o.done
	})
}
