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

// proposer has views chosen, as Paxos' proposer: it asks the planner for a view, takes its turn, and runs both phases.
type proposer struct {
	*environment
	proposal         *proposal     // in progress, nil: none
	proposeAt        time.Duration // when the next proposal starts; negative: none is wanted
	backoffUntil     time.Duration
	lastPlannedAt    time.Duration
	highestRoundSeen uint64

	acceptor  *acceptor
	writer    *diskWriter
	liveness  *liveness
	planner   *planner
	adoptView func(*View) // takes up a view that is chosen
}

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

func (c *proposer) tickProposer() {
	if c.proposal != nil && c.now-c.proposal.startedAt > proposalTimeout {
		c.proposal = nil
		c.backOff()
	}
	if c.proposal != nil || c.now < c.liveness.graceUntil || c.now < c.backoffUntil || !c.acceptor.identityDurable || c.writer.unhealthy || c.err != nil || !c.acceptor.isVoter(c.acceptor.view) {
		return
	}
	if c.now-c.lastPlannedAt < planInterval {
		return
	}
	c.lastPlannedAt = c.now
	v, rank := c.planner.plan()
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

// backOff keeps two proposers from outbidding each other for ever.
func (c *proposer) backOff() {
	c.backoffUntil = c.now + 100*time.Millisecond + c.jitter(500*time.Millisecond)
	c.proposeAt = -1
}

func (c *proposer) propose(v *View) {
	cur := c.acceptor.view
	b := proposalNumber{round: max(c.acceptor.promised.round, c.highestRoundSeen) + 1, id: c.self.ID}
	c.proposal = &proposal{current: cur, number: b, startedAt: c.now, promisedBy: map[ID]string{}, acceptedBy: map[ID]string{}}
	c.logEvent(fmt.Sprintf("replication: proposing view %d: %s", v.Epoch, v))
	m := &replicationpb.Prepare{Current: viewPB(cur), Ballot: proposalNumberPB(b)}
	// This keeper promises first: after a restart it will not use the ballot again.
	c.acceptor.promised = b
	acc, next := c.acceptor.accepted, c.acceptor.acceptedView
	c.writer.persist(func() {
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
func (c *proposer) broadcastToVoters(v, w *View, body func() *replicationpb.Message) {
	sent := map[ID]bool{c.self.ID: true}
	if v.Epoch == 0 {
		for _, p := range c.liveness.peers {
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
		if c.liveness.addressOf(id) == "" && w != nil {
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

func (c *proposer) handlePromise(from ID, m *replicationpb.Promise) {
	if p := c.proposal; p != nil && p.value == nil && m.GetEpoch() == p.current.Epoch && proposalNumberOf(m.GetBallot()) == p.number {
		c.recordPromise(from, m)
	}
}

func (c *proposer) recordPromise(from ID, m *replicationpb.Promise) {
	p := c.proposal
	p.promisedBy[from] = m.GetAddr()
	if a := proposalNumberOf(m.GetAccepted()); m.GetView() != nil && p.highestAccepted.less(a) && !c.cfg.knobs.IgnoreAcceptedViews {
		p.highestAccepted, p.highestAcceptedView = a, viewOf(m.GetView())
	}
	if !c.acceptor.isQuorum(p.current, p.promisedBy) || c.acceptor.promised != p.number {
		return
	}
	if p.value = p.highestAcceptedView; p.value == nil {
		if p.value, _ = c.planner.plan(); p.value == nil {
			c.proposal = nil // what was wrong has passed
			return
		}
	}
	cur, value, b := p.current, p.value, p.number
	c.acceptor.accepted, c.acceptor.acceptedView = b, value
	c.writer.persist(func() {
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

func (c *proposer) handleAccepted(from ID, m *replicationpb.Accepted) {
	if p := c.proposal; p != nil && p.value != nil && m.GetEpoch() == p.current.Epoch && proposalNumberOf(m.GetBallot()) == p.number {
		c.recordAccepted(from, m.GetAddr())
	}
}

func (c *proposer) recordAccepted(from ID, addr string) {
	p := c.proposal
	p.acceptedBy[from] = addr
	if !c.acceptor.isQuorum(p.current, p.acceptedBy) || !c.acceptor.isQuorum(p.value, p.acceptedBy) {
		return
	}
	c.proposal = nil
	c.logEvent(fmt.Sprintf("replication: view %d is chosen: %s", p.value.Epoch, p.value))
	c.broadcastToVoters(p.current, p.value, func() *replicationpb.Message {
		return &replicationpb.Message{Body: &replicationpb.Message_Chosen{Chosen: &replicationpb.Chosen{View: viewPB(p.value)}}}
	})
	c.liveness.notifyObservers(p.value)
	c.adoptView(p.value)
}

func (c *proposer) handleReject(m *replicationpb.Reject) {
	b := proposalNumberOf(m.GetPromised())
	if p := c.proposal; p != nil && m.GetEpoch() == p.current.Epoch && p.number.less(b) {
		c.highestRoundSeen = max(c.highestRoundSeen, b.round)
		c.proposal = nil
		c.backOff()
	}
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
