package replication

import (
	"fmt"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

const (
	proposalTimeout = 800 * time.Millisecond
	rankDelay       = 150 * time.Millisecond
	planEvery       = 50 * time.Millisecond
	formDelay       = 2 * time.Second // a missing seed is waited for
)

// The register of epoch e+1 is a single-decree Paxos among the voters of view e. When the views differ in voters a
// majority of either must accept, so that a majority of the next register's voters knows the view it starts from.
// Phase one needs the old majority only: it meets every old majority that may have accepted.

// proposal is an attempt of this keeper to have a view chosen.
type proposal struct {
	cur      *View
	ballot   ballot
	since    time.Duration
	promised map[ID]string // addresses of those who promised
	best     ballot
	found    *View // accepted by one of them under best
	value    *View // nil in phase one
	accepted map[ID]string
}

// quorum tells whether the keepers in set are a majority of v's voters. Those of epoch 0 are the seeds' addresses, without
// the seeds that are known to be observers.
//
// That two majorities of epoch 0 meet: let D be the seeds with a disk, which alone vote, and K the observers among the
// seeds that a proposer knows of. K holds no member of D, so it counts over at least |D| seeds and needs more than |D|/2
// votes, all of them out of D. Whatever another proposer knows, it needs as many. Knowing fewer observers makes the
// majority larger, never smaller. This takes that a seed does not turn from observer to voter before the first view:
// Config.Bootstrap is set only at the first start of all, and Config.Observer is a property of the machine.
//
// Where all seeds have said that they are observers, D is empty, and the seeds vote for the first view all the same: a
// majority of all of them, with their promises in memory. One whose process ends has no vote any more, since it starts
// without Config.Bootstrap; so nobody votes twice. They name keepers with a disk, and vote no more once there is a view.
func (c *Core) quorum(v *View, set map[ID]string) bool {
	n := 0
	if v.Epoch == 0 {
		seen := map[string]bool{}
		for _, a := range set {
			if slices.Contains(c.cfg.Seeds, a) && !seen[a] {
				seen[a] = true
				n++
			}
		}
		total := len(c.cfg.Seeds)
		if !c.noSeedHasDisk() {
			total -= c.observerSeeds()
		}
		return total > 0 && n > total/2
	}
	for _, m := range v.Voters {
		if _, ok := set[m.ID]; ok {
			n++
		}
	}
	return n > len(v.Voters)/2
}

func (c *Core) tickAgree() {
	if c.prop != nil && c.now-c.prop.since > proposalTimeout {
		c.prop = nil
		c.retreat()
	}
	if c.prop != nil || c.now < c.graceUntil || c.now < c.backoff || !c.ready || c.disk.bad || c.err != nil || !c.isVoter(c.reg.view) {
		return
	}
	if c.now-c.plannedAt < planEvery {
		return
	}
	c.plannedAt = c.now
	v, rank := c.plan()
	if v == nil && c.reg.next != nil {
		// An attempt that stopped halfway keeps the voters from vouching for this epoch: finish it.
		v, rank = c.reg.next, 1+slices.IndexFunc(c.reg.view.Voters, func(m Member) bool { return m.ID == c.reg.self.ID })
	}
	if v == nil {
		c.wantAt = -1
		return
	}
	if c.wantAt < 0 {
		c.wantAt = c.now + time.Duration(rank)*rankDelay + c.jitter(rankDelay/3)
	}
	if c.now >= c.wantAt {
		c.propose(v)
	}
}

func (c *Core) jitter(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d) + 1))
}

// retreat keeps two proposers from outbidding each other for ever.
func (c *Core) retreat() {
	c.backoff = c.now + 100*time.Millisecond + c.jitter(500*time.Millisecond)
	c.wantAt = -1
}

func (c *Core) propose(v *View) {
	cur := c.reg.view
	b := ballot{round: max(c.reg.promised.round, c.seenRound) + 1, id: c.reg.self.ID}
	c.prop = &proposal{cur: cur, ballot: b, since: c.now, promised: map[ID]string{}, accepted: map[ID]string{}}
	c.note(fmt.Sprintf("replication: proposing view %d: %s", v.Epoch, v))
	m := &replicationpb.Prepare{Current: viewPB(cur), Ballot: ballotPB(b)}
	// This keeper promises first: after a restart it will not use the ballot again.
	c.reg.promised = b
	acc, next := c.reg.accepted, c.reg.next
	c.persist(func() {
		if c.prop == nil || c.prop.ballot != b || c.reg.view != cur {
			return
		}
		c.toVoters(cur, nil, func() *replicationpb.Message {
			return &replicationpb.Message{Body: &replicationpb.Message_Prepare{Prepare: m}}
		})
		c.promise(c.reg.self.ID, &replicationpb.Promise{
			Epoch: cur.Epoch, Ballot: ballotPB(b), Accepted: ballotPB(acc), View: viewPB(next), Addr: c.reg.self.Addr,
		})
	})
}

// toVoters sends to the voters of the views except this keeper.
func (c *Core) toVoters(v, w *View, body func() *replicationpb.Message) {
	sent := map[ID]bool{c.reg.self.ID: true}
	if v.Epoch == 0 {
		for _, p := range c.peers {
			if slices.Contains(c.cfg.Seeds, p.member.Addr) && p.heartbeat.GetBootstrap() {
				sent[p.member.ID] = false
			}
		}
	}
	for _, x := range []*View{v, w} {
		if x != nil {
			for _, m := range x.Voters {
				if m.ID != c.reg.self.ID {
					sent[m.ID] = false
				}
			}
		}
	}
	ids := unsent(sent)
	for _, id := range ids {
		m := body()
		if c.addr(id) == "" && w != nil {
			if mem, ok := w.Voter(id); ok {
				m.From, m.To = string(c.reg.self.ID), string(id)
				c.out.Messages = append(c.out.Messages, Envelope{Addr: mem.Addr, Msg: m})
				continue
			}
		}
		c.send(id, m)
	}
}

func unsent(sent map[ID]bool) []ID {
	var ids []ID
	for id, done := range sent {
		if !done {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// alignView brings this keeper to the view that a proposer builds on; false when it is at another one.
func (c *Core) alignView(from ID, cur *View) bool {
	if cur == nil {
		return false
	}
	c.adopt(cur)
	if cur.Epoch < c.reg.view.Epoch {
		if c.entered {
			c.send(from, &replicationpb.Message{Body: &replicationpb.Message_Chosen{Chosen: &replicationpb.Chosen{View: viewPB(c.reg.view)}}})
		}
		return false
	}
	return cur.Epoch == c.reg.view.Epoch
}

func (c *Core) reject(to ID) {
	c.send(to, &replicationpb.Message{Body: &replicationpb.Message_Reject{Reject: &replicationpb.Reject{
		Epoch: c.reg.view.Epoch, Promised: ballotPB(c.reg.promised),
	}}})
}

func (c *Core) onPrepare(from ID, m *replicationpb.Prepare) {
	if !c.alignView(from, viewOf(m.GetCurrent())) || !c.isVoter(c.reg.view) {
		return
	}
	b := ballotOf(m.GetBallot())
	if b.less(c.reg.promised) {
		c.reject(from)
		return
	}
	c.reg.promised = b
	epoch := c.reg.view.Epoch
	reply := &replicationpb.Promise{
		Epoch: epoch, Ballot: m.GetBallot(), Accepted: ballotPB(c.reg.accepted), View: viewPB(c.reg.next), Addr: c.reg.self.Addr,
	}
	c.persist(func() {
		if c.reg.view.Epoch == epoch && c.reg.promised == b {
			c.send(from, &replicationpb.Message{Body: &replicationpb.Message_Promise{Promise: reply}})
		}
	})
}

func (c *Core) onPromise(from ID, m *replicationpb.Promise) {
	if p := c.prop; p != nil && p.value == nil && m.GetEpoch() == p.cur.Epoch && ballotOf(m.GetBallot()) == p.ballot {
		c.promise(from, m)
	}
}

func (c *Core) promise(from ID, m *replicationpb.Promise) {
	p := c.prop
	p.promised[from] = m.GetAddr()
	if a := ballotOf(m.GetAccepted()); m.GetView() != nil && p.best.less(a) && !c.cfg.hooks.ignoreAccepted {
		p.best, p.found = a, viewOf(m.GetView())
	}
	if !c.quorum(p.cur, p.promised) || c.reg.promised != p.ballot {
		return
	}
	if p.value = p.found; p.value == nil {
		if p.value, _ = c.plan(); p.value == nil {
			c.prop = nil // what was wrong has passed
			return
		}
	}
	cur, value, b := p.cur, p.value, p.ballot
	c.reg.accepted, c.reg.next = b, value
	c.persist(func() {
		if c.prop != p || c.reg.view != cur {
			return
		}
		acc := &replicationpb.Accept{Current: viewPB(cur), Ballot: ballotPB(b), View: viewPB(value)}
		c.toVoters(cur, value, func() *replicationpb.Message {
			return &replicationpb.Message{Body: &replicationpb.Message_Accept{Accept: acc}}
		})
		c.acceptedBy(c.reg.self.ID, c.reg.self.Addr)
	})
}

func (c *Core) onAccept(from ID, m *replicationpb.Accept) {
	value := viewOf(m.GetView())
	if value == nil || !c.alignView(from, viewOf(m.GetCurrent())) || value.Epoch != c.reg.view.Epoch+1 {
		return
	}
	if !c.isVoter(c.reg.view) && !c.isVoter(value) {
		return
	}
	b := ballotOf(m.GetBallot())
	if b.less(c.reg.promised) {
		c.reject(from)
		return
	}
	c.reg.promised, c.reg.accepted, c.reg.next = b, b, value
	epoch := c.reg.view.Epoch
	c.persist(func() {
		if c.reg.view.Epoch == epoch {
			c.send(from, &replicationpb.Message{Body: &replicationpb.Message_Accepted{Accepted: &replicationpb.Accepted{
				Epoch: epoch, Ballot: m.GetBallot(), Addr: c.reg.self.Addr,
			}}})
		}
	})
}

func (c *Core) onAccepted(from ID, m *replicationpb.Accepted) {
	if p := c.prop; p != nil && p.value != nil && m.GetEpoch() == p.cur.Epoch && ballotOf(m.GetBallot()) == p.ballot {
		c.acceptedBy(from, m.GetAddr())
	}
}

func (c *Core) acceptedBy(from ID, addr string) {
	p := c.prop
	p.accepted[from] = addr
	if !c.quorum(p.cur, p.accepted) || !c.quorum(p.value, p.accepted) {
		return
	}
	c.prop = nil
	c.note(fmt.Sprintf("replication: view %d is chosen: %s", p.value.Epoch, p.value))
	c.toVoters(p.cur, p.value, func() *replicationpb.Message {
		return &replicationpb.Message{Body: &replicationpb.Message_Chosen{Chosen: &replicationpb.Chosen{View: viewPB(p.value)}}}
	})
	c.tellObservers(p.value)
	c.adopt(p.value)
}

func (c *Core) onReject(m *replicationpb.Reject) {
	b := ballotOf(m.GetPromised())
	if p := c.prop; p != nil && m.GetEpoch() == p.cur.Epoch && p.ballot.less(b) {
		c.seenRound = max(c.seenRound, b.round)
		c.prop = nil
		c.retreat()
	}
}

// adopt makes a chosen view this keeper's own.
func (c *Core) adopt(v *View) {
	if v == nil || v.Epoch <= c.reg.view.Epoch || c.yieldsRestoredLog(v) {
		return
	}
	self := c.reg.self.ID
	c.reg.view, c.reg.promised, c.reg.accepted, c.reg.next = v, ballot{}, ballot{}, nil
	c.entered, c.seenRound, c.wantAt, c.noHeadSince = false, 0, -1, -1
	c.prop = nil
	c.matched, c.upstreamCommitted, c.fed, c.joined, c.readFloor, c.start = 0, 0, false, false, 0, 0
	c.down = map[ID]*progress{}
	c.ahead = nil
	// The head must hold all that was acknowledged, see mayLead.
	if v.Head() == self && (c.reg.active >= v.base || c.cfg.hooks.anyHead) {
		c.reg.active = v.Epoch
	}
	c.abandonChanges()
	c.persist(func() {
		if c.reg.view != v {
			return
		}
		c.entered = true
		if err := c.enter(); err != nil {
			c.fail(err)
		}
		if c.cfg.Observer {
			c.sendHeartbeats() // its next heartbeat is far off, and calls wait for word of the new head
		}
	})
}

// String shows the chain by addresses.
func (v *View) String() string {
	s := "chain"
	for _, l := range v.Chain {
		m, _ := v.Voter(l)
		s += " " + m.Addr
	}
	s += ", voters"
	for _, m := range v.Voters {
		s += " " + m.Addr
	}
	return s
}
