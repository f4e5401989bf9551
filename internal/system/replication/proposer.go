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
	planInterval    = 50 * time.Millisecond
	firstViewDelay  = 2 * time.Second // a missing seed is waited for
)

// The register of epoch e+1 is a single-decree Paxos among the voters of view e. When the views differ in voters a
// majority of either must accept, so that a majority of the next register's voters knows the view it starts from.
// Phase one needs the old majority only: it meets every old majority that may have accepted.

// proposal is an attempt of this keeper to have a view chosen.
type proposal struct {
	current             *View
	number              proposalNumber
	startedAt           time.Duration
	promisedBy          map[ID]string // addresses of those who promised
	highestAccepted     proposalNumber
	highestAcceptedView *View // accepted by one of them under best
	value               *View // nil in phase one
	acceptedBy          map[ID]string
}

// isQuorum tells whether the keepers in set are a majority of v's voters. Those of epoch 0 are the seeds' addresses, without
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
func (c *Core) isQuorum(v *View, set map[ID]string) bool {
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

func (c *Core) tickProposer() {
	if c.proposal != nil && c.now-c.proposal.startedAt > proposalTimeout {
		c.proposal = nil
		c.backOff()
	}
	if c.proposal != nil || c.now < c.graceUntil || c.now < c.backoffUntil || !c.identityDurable || c.writer.unhealthy || c.err != nil || !c.isVoter(c.acceptor.view) {
		return
	}
	if c.now-c.lastPlannedAt < planInterval {
		return
	}
	c.lastPlannedAt = c.now
	v, rank := c.plan()
	if v == nil && c.acceptor.acceptedView != nil {
		// An attempt that stopped halfway keeps the voters from vouching for this epoch: finish it.
		v, rank = c.acceptor.acceptedView, 1+slices.IndexFunc(c.acceptor.view.Voters, func(m Member) bool { return m.ID == c.self.ID })
	}
	if v == nil {
		c.proposeAt = -1
		return
	}
	if c.proposeAt < 0 {
		c.proposeAt = c.now + time.Duration(rank)*rankDelay + c.jitter(rankDelay/3)
	}
	if c.now >= c.proposeAt {
		c.propose(v)
	}
}

func (c *Core) jitter(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d) + 1))
}

// backOff keeps two proposers from outbidding each other for ever.
func (c *Core) backOff() {
	c.backoffUntil = c.now + 100*time.Millisecond + c.jitter(500*time.Millisecond)
	c.proposeAt = -1
}

func (c *Core) propose(v *View) {
	cur := c.acceptor.view
	b := proposalNumber{round: max(c.acceptor.promised.round, c.highestRoundSeen) + 1, id: c.self.ID}
	c.proposal = &proposal{current: cur, number: b, startedAt: c.now, promisedBy: map[ID]string{}, acceptedBy: map[ID]string{}}
	c.logEvent(fmt.Sprintf("replication: proposing view %d: %s", v.Epoch, v))
	m := &replicationpb.Prepare{Current: viewPB(cur), Ballot: proposalNumberPB(b)}
	// This keeper promises first: after a restart it will not use the ballot again.
	c.acceptor.promised = b
	acc, next := c.acceptor.accepted, c.acceptor.acceptedView
	c.persist(func() {
		if c.proposal == nil || c.proposal.number != b || c.acceptor.view != cur {
			return
		}
		c.broadcastToVoters(cur, nil, func() *replicationpb.Message {
			return &replicationpb.Message{Body: &replicationpb.Message_Prepare{Prepare: m}}
		})
		c.recordPromise(c.self.ID, &replicationpb.Promise{
			Epoch: cur.Epoch, Ballot: proposalNumberPB(b), Accepted: proposalNumberPB(acc), View: viewPB(next), Addr: c.self.Addr,
		})
	})
}

// broadcastToVoters sends to the voters of the views except this keeper.
func (c *Core) broadcastToVoters(v, w *View, body func() *replicationpb.Message) {
	sent := map[ID]bool{c.self.ID: true}
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
				if m.ID != c.self.ID {
					sent[m.ID] = false
				}
			}
		}
	}
	ids := unsent(sent)
	for _, id := range ids {
		m := body()
		if c.addressOf(id) == "" && w != nil {
			if mem, ok := w.Voter(id); ok {
				m.From, m.To = string(c.self.ID), string(id)
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

// adoptProposersView brings this keeper to the view that a proposer builds on; false when it is at another one.
func (c *Core) adoptProposersView(from ID, cur *View) bool {
	if cur == nil {
		return false
	}
	c.adoptView(cur)
	if cur.Epoch < c.acceptor.view.Epoch {
		if c.viewDurable {
			c.send(from, &replicationpb.Message{Body: &replicationpb.Message_Chosen{Chosen: &replicationpb.Chosen{View: viewPB(c.acceptor.view)}}})
		}
		return false
	}
	return cur.Epoch == c.acceptor.view.Epoch
}

func (c *Core) sendReject(to ID) {
	c.send(to, &replicationpb.Message{Body: &replicationpb.Message_Reject{Reject: &replicationpb.Reject{
		Epoch: c.acceptor.view.Epoch, Promised: proposalNumberPB(c.acceptor.promised),
	}}})
}

func (c *Core) handlePrepare(from ID, m *replicationpb.Prepare) {
	if !c.adoptProposersView(from, viewOf(m.GetCurrent())) || !c.isVoter(c.acceptor.view) {
		return
	}
	b := proposalNumberOf(m.GetBallot())
	if b.less(c.acceptor.promised) {
		c.sendReject(from)
		return
	}
	c.acceptor.promised = b
	epoch := c.acceptor.view.Epoch
	reply := &replicationpb.Promise{
		Epoch: epoch, Ballot: m.GetBallot(), Accepted: proposalNumberPB(c.acceptor.accepted), View: viewPB(c.acceptor.acceptedView), Addr: c.self.Addr,
	}
	c.persist(func() {
		if c.acceptor.view.Epoch == epoch && c.acceptor.promised == b {
			c.send(from, &replicationpb.Message{Body: &replicationpb.Message_Promise{Promise: reply}})
		}
	})
}

func (c *Core) handlePromise(from ID, m *replicationpb.Promise) {
	if p := c.proposal; p != nil && p.value == nil && m.GetEpoch() == p.current.Epoch && proposalNumberOf(m.GetBallot()) == p.number {
		c.recordPromise(from, m)
	}
}

func (c *Core) recordPromise(from ID, m *replicationpb.Promise) {
	p := c.proposal
	p.promisedBy[from] = m.GetAddr()
	if a := proposalNumberOf(m.GetAccepted()); m.GetView() != nil && p.highestAccepted.less(a) && !c.cfg.knobs.IgnoreAcceptedViews {
		p.highestAccepted, p.highestAcceptedView = a, viewOf(m.GetView())
	}
	if !c.isQuorum(p.current, p.promisedBy) || c.acceptor.promised != p.number {
		return
	}
	if p.value = p.highestAcceptedView; p.value == nil {
		if p.value, _ = c.plan(); p.value == nil {
			c.proposal = nil // what was wrong has passed
			return
		}
	}
	cur, value, b := p.current, p.value, p.number
	c.acceptor.accepted, c.acceptor.acceptedView = b, value
	c.persist(func() {
		if c.proposal != p || c.acceptor.view != cur {
			return
		}
		acc := &replicationpb.Accept{Current: viewPB(cur), Ballot: proposalNumberPB(b), View: viewPB(value)}
		c.broadcastToVoters(cur, value, func() *replicationpb.Message {
			return &replicationpb.Message{Body: &replicationpb.Message_Accept{Accept: acc}}
		})
		c.recordAccepted(c.self.ID, c.self.Addr)
	})
}

func (c *Core) handleAccept(from ID, m *replicationpb.Accept) {
	value := viewOf(m.GetView())
	if value == nil || !c.adoptProposersView(from, viewOf(m.GetCurrent())) || value.Epoch != c.acceptor.view.Epoch+1 {
		return
	}
	if !c.isVoter(c.acceptor.view) && !c.isVoter(value) {
		return
	}
	b := proposalNumberOf(m.GetBallot())
	if b.less(c.acceptor.promised) {
		c.sendReject(from)
		return
	}
	c.acceptor.promised, c.acceptor.accepted, c.acceptor.acceptedView = b, b, value
	epoch := c.acceptor.view.Epoch
	c.persist(func() {
		if c.acceptor.view.Epoch == epoch {
			c.send(from, &replicationpb.Message{Body: &replicationpb.Message_Accepted{Accepted: &replicationpb.Accepted{
				Epoch: epoch, Ballot: m.GetBallot(), Addr: c.self.Addr,
			}}})
		}
	})
}

func (c *Core) handleAccepted(from ID, m *replicationpb.Accepted) {
	if p := c.proposal; p != nil && p.value != nil && m.GetEpoch() == p.current.Epoch && proposalNumberOf(m.GetBallot()) == p.number {
		c.recordAccepted(from, m.GetAddr())
	}
}

func (c *Core) recordAccepted(from ID, addr string) {
	p := c.proposal
	p.acceptedBy[from] = addr
	if !c.isQuorum(p.current, p.acceptedBy) || !c.isQuorum(p.value, p.acceptedBy) {
		return
	}
	c.proposal = nil
	c.logEvent(fmt.Sprintf("replication: view %d is chosen: %s", p.value.Epoch, p.value))
	c.broadcastToVoters(p.current, p.value, func() *replicationpb.Message {
		return &replicationpb.Message{Body: &replicationpb.Message_Chosen{Chosen: &replicationpb.Chosen{View: viewPB(p.value)}}}
	})
	c.notifyObservers(p.value)
	c.adoptView(p.value)
}

func (c *Core) handleReject(m *replicationpb.Reject) {
	b := proposalNumberOf(m.GetPromised())
	if p := c.proposal; p != nil && m.GetEpoch() == p.current.Epoch && p.number.less(b) {
		c.highestRoundSeen = max(c.highestRoundSeen, b.round)
		c.proposal = nil
		c.backOff()
	}
}

// adoptView makes a chosen view this keeper's own.
func (c *Core) adoptView(v *View) {
	if v == nil || v.Epoch <= c.acceptor.view.Epoch || c.discardRestoredLog(v) {
		return
	}
	self := c.self.ID
	c.acceptor.view, c.acceptor.promised, c.acceptor.accepted, c.acceptor.acceptedView = v, proposalNumber{}, proposalNumber{}, nil
	c.viewDurable, c.highestRoundSeen, c.proposeAt, c.headlessSince = false, 0, -1, -1
	c.proposal = nil
	c.matchIndex, c.upstreamCommitIndex, c.caughtUp, c.upstreamMatched, c.minReadIndex, c.epochStartIndex = 0, 0, false, false, 0, 0
	c.downstream = map[ID]*progress{}
	c.uncommittedStates = nil
	// The head must hold all that was acknowledged, see mayLead.
	if v.Head() == self && (c.acceptor.activeEpoch >= v.base || c.cfg.knobs.AllowAnyHead) {
		c.acceptor.activeEpoch = v.Epoch
	}
	c.abandonChanges()
	c.persist(func() {
		if c.acceptor.view != v {
			return
		}
		c.viewDurable = true
		if err := c.enterView(); err != nil {
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
