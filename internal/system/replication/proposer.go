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

func (pr *proposer) tickProposer() {
	if pr.proposal != nil && pr.now-pr.proposal.startedAt > proposalTimeout {
		pr.proposal = nil
		pr.backOff()
	}
	if pr.proposal != nil || pr.now < pr.liveness.graceUntil || pr.now < pr.backoffUntil || !pr.acceptor.identityDurable || pr.writer.unhealthy || pr.err != nil || !pr.acceptor.isVoter(pr.acceptor.view) {
		return
	}
	if pr.now-pr.lastPlannedAt < planInterval {
		return
	}
	pr.lastPlannedAt = pr.now
	v, rank := pr.planner.plan()
	if v == nil && pr.acceptor.acceptedView != nil {
		// An attempt that stopped halfway keeps the voters from vouching for this epoch: finish it.
		v, rank = pr.acceptor.acceptedView, 1+slices.IndexFunc(pr.acceptor.view.Voters, func(m Member) bool { return m.ID == pr.self.ID })
	}
	if v == nil {
		pr.proposeAt = -1
		return
	}
	if pr.proposeAt < 0 {
		pr.proposeAt = pr.now + time.Duration(rank)*rankDelay + pr.jitter(rankDelay/3)
	}
	if pr.now >= pr.proposeAt {
		pr.propose(v)
	}
}

// backOff keeps two proposers from outbidding each other for ever.
func (pr *proposer) backOff() {
	pr.backoffUntil = pr.now + 100*time.Millisecond + pr.jitter(500*time.Millisecond)
	pr.proposeAt = -1
}

func (pr *proposer) propose(v *View) {
	cur := pr.acceptor.view
	b := proposalNumber{round: max(pr.acceptor.promised.round, pr.highestRoundSeen) + 1, id: pr.self.ID}
	pr.proposal = &proposal{current: cur, number: b, startedAt: pr.now, promisedBy: map[ID]string{}, acceptedBy: map[ID]string{}}
	pr.logEvent(fmt.Sprintf("replication: proposing view %d: %s", v.Epoch, v))
	m := &replicationpb.Prepare{Current: viewPB(cur), Ballot: proposalNumberPB(b)}
	// This keeper promises first: after a restart it will not use the ballot again.
	pr.acceptor.promised = b
	acc, next := pr.acceptor.accepted, pr.acceptor.acceptedView
	pr.writer.persist(func() {
		if pr.proposal == nil || pr.proposal.number != b || pr.acceptor.view != cur {
			return
		}
		pr.broadcastToVoters(cur, nil, func() *replicationpb.Message {
			return prepareMessage(m)
		})
		pr.recordPromise(pr.self.ID, &replicationpb.Promise{
			Epoch: cur.Epoch, Ballot: proposalNumberPB(b), Accepted: proposalNumberPB(acc), View: viewPB(next), Addr: pr.self.Addr,
		})
	})
}

// broadcastToVoters sends to the voters of the views except this keeper.
func (pr *proposer) broadcastToVoters(v, w *View, body func() *replicationpb.Message) {
	sent := map[ID]bool{pr.self.ID: true}
	if v.Epoch == 0 {
		for _, p := range pr.liveness.peers {
			if slices.Contains(pr.cfg.Seeds, p.member.Addr) && p.heartbeat.GetBootstrap() {
				sent[p.member.ID] = false
			}
		}
	}
	for _, x := range []*View{v, w} {
		if x != nil {
			for _, m := range x.Voters {
				if m.ID != pr.self.ID {
					sent[m.ID] = false
				}
			}
		}
	}
	ids := unsent(sent)
	for _, id := range ids {
		m := body()
		if pr.liveness.addressOf(id) == "" && w != nil {
			if mem, ok := w.Voter(id); ok {
				m.From, m.To = string(pr.self.ID), string(id)
				pr.out.Messages = append(pr.out.Messages, Envelope{Addr: mem.Addr, Msg: m})
				continue
			}
		}
		pr.send(id, m)
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

func (pr *proposer) handlePromise(from ID, m *replicationpb.Promise) {
	if p := pr.proposal; p != nil && p.value == nil && m.GetEpoch() == p.current.Epoch && proposalNumberOf(m.GetBallot()) == p.number {
		pr.recordPromise(from, m)
	}
}

func (pr *proposer) recordPromise(from ID, m *replicationpb.Promise) {
	p := pr.proposal
	p.promisedBy[from] = m.GetAddr()
	if a := proposalNumberOf(m.GetAccepted()); m.GetView() != nil && p.highestAccepted.less(a) && !pr.cfg.knobs.IgnoreAcceptedViews {
		p.highestAccepted, p.highestAcceptedView = a, viewOf(m.GetView())
	}
	if !pr.acceptor.isQuorum(p.current, p.promisedBy) || pr.acceptor.promised != p.number {
		return
	}
	if p.value = p.highestAcceptedView; p.value == nil {
		if p.value, _ = pr.planner.plan(); p.value == nil {
			pr.proposal = nil // what was wrong has passed
			return
		}
	}
	cur, value, b := p.current, p.value, p.number
	pr.acceptor.accepted, pr.acceptor.acceptedView = b, value
	pr.writer.persist(func() {
		if pr.proposal != p || pr.acceptor.view != cur {
			return
		}
		acc := &replicationpb.Accept{Current: viewPB(cur), Ballot: proposalNumberPB(b), View: viewPB(value)}
		pr.broadcastToVoters(cur, value, func() *replicationpb.Message {
			return acceptMessage(acc)
		})
		pr.recordAccepted(pr.self.ID, pr.self.Addr)
	})
}

func (pr *proposer) handleAccepted(from ID, m *replicationpb.Accepted) {
	if p := pr.proposal; p != nil && p.value != nil && m.GetEpoch() == p.current.Epoch && proposalNumberOf(m.GetBallot()) == p.number {
		pr.recordAccepted(from, m.GetAddr())
	}
}

func (pr *proposer) recordAccepted(from ID, addr string) {
	p := pr.proposal
	p.acceptedBy[from] = addr
	if !pr.acceptor.isQuorum(p.current, p.acceptedBy) || !pr.acceptor.isQuorum(p.value, p.acceptedBy) {
		return
	}
	pr.proposal = nil
	pr.logEvent(fmt.Sprintf("replication: view %d is chosen: %s", p.value.Epoch, p.value))
	pr.broadcastToVoters(p.current, p.value, func() *replicationpb.Message {
		return chosenMessage(p.value)
	})
	pr.liveness.notifyObservers(p.value)
	pr.adoptView(p.value)
}

func (pr *proposer) handleReject(m *replicationpb.Reject) {
	b := proposalNumberOf(m.GetPromised())
	if p := pr.proposal; p != nil && m.GetEpoch() == p.current.Epoch && p.number.less(b) {
		pr.highestRoundSeen = max(pr.highestRoundSeen, b.round)
		pr.proposal = nil
		pr.backOff()
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
