package replication

import (
	"slices"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// proposalNumber orders the proposals of one epoch. The ID makes the numbers of two proposers differ.
type proposalNumber struct {
	round uint64
	id    ID
}

func (b proposalNumber) less(o proposalNumber) bool {
	return b.round < o.round || b.round == o.round && b.id < o.id
}

func proposalNumberPB(b proposalNumber) *replicationpb.Ballot {
	return &replicationpb.Ballot{Round: b.round, Id: string(b.id)}
}

func proposalNumberOf(b *replicationpb.Ballot) proposalNumber {
	return proposalNumber{round: b.GetRound(), id: ID(b.GetId())}
}

// acceptorState is what a node must remember across a restart: its vote, and the epochs in which it may stand for the log.
type acceptorState struct {
	identity     Member
	view         *View          // newest chosen view known
	activeEpoch  uint64         // newest epoch in which this link held all that its predecessor did
	sealedEpoch  uint64         // epoch in which it will never be active
	promised     proposalNumber // for the epoch after view's
	accepted     proposalNumber
	acceptedView *View // accepted, perhaps chosen
}

func (r *acceptorState) pb() *replicationpb.Register {
	return &replicationpb.Register{
		Self: memberPB(r.identity), View: viewPB(r.view), Active: r.activeEpoch, Sealed: r.sealedEpoch,
		Promised: proposalNumberPB(r.promised), Accepted: proposalNumberPB(r.accepted), AcceptedView: viewPB(r.acceptedView),
	}
}

func acceptorStateOf(p *replicationpb.Register) acceptorState {
	r := acceptorState{
		identity: memberOf(p.GetSelf()), view: viewOf(p.GetView()), activeEpoch: p.GetActive(), sealedEpoch: p.GetSealed(),
		promised: proposalNumberOf(p.GetPromised()), accepted: proposalNumberOf(p.GetAccepted()), acceptedView: viewOf(p.GetAcceptedView()),
	}
	if r.view == nil {
		r.view = &View{}
	}
	return r
}

// acceptor is this node's vote in the agreement on views: single-decree Paxos, one decree an epoch (Lamport 2001). It promises and
// accepts only after a write, so that a restart forgets nothing, and it knows which epochs the disk holds.
type acceptor struct {
	*environment
	acceptorState
	identityDurable bool   // the identity is on disk
	viewDurable     bool   // the view is on disk
	durableActive   uint64 // activeEpoch, sealedEpoch and view.Epoch as they are on disk
	durableSealed   uint64
	durableEpoch    uint64

	writer    *diskWriter
	liveness  *liveness
	adoptView func(*View) // takes up a view that is chosen
}

func (c *acceptor) isVoter(v *View) bool {
	if v.Epoch == 0 {
		return c.cfg.Bootstrap && slices.Contains(c.cfg.Seeds, c.self.Addr) && (!c.cfg.Observer || c.liveness.noSeedHasDisk())
	}
	if c.cfg.Observer {
		return false
	}
	_, ok := v.Voter(c.self.ID)
	return ok
}

// adoptProposersView brings this keeper to the view that a proposer builds on; false when it is at another one.
func (c *acceptor) adoptProposersView(from ID, cur *View) bool {
	if cur == nil {
		return false
	}
	c.adoptView(cur)
	if cur.Epoch < c.view.Epoch {
		if c.viewDurable {
			c.send(from, &replicationpb.Message{Body: &replicationpb.Message_Chosen{Chosen: &replicationpb.Chosen{View: viewPB(c.view)}}})
		}
		return false
	}
	return cur.Epoch == c.view.Epoch
}

func (c *acceptor) sendReject(to ID) {
	c.send(to, &replicationpb.Message{Body: &replicationpb.Message_Reject{Reject: &replicationpb.Reject{
		Epoch: c.view.Epoch, Promised: proposalNumberPB(c.promised),
	}}})
}

func (c *acceptor) handlePrepare(from ID, m *replicationpb.Prepare) {
	if !c.adoptProposersView(from, viewOf(m.GetCurrent())) || !c.isVoter(c.view) {
		return
	}
	b := proposalNumberOf(m.GetBallot())
	if b.less(c.promised) {
		c.sendReject(from)
		return
	}
	c.promised = b
	epoch := c.view.Epoch
	reply := &replicationpb.Promise{
		Epoch: epoch, Ballot: m.GetBallot(), Accepted: proposalNumberPB(c.accepted), View: viewPB(c.acceptedView), Addr: c.self.Addr,
	}
	c.writer.persist(func() {
		if c.view.Epoch == epoch && c.promised == b {
			c.send(from, &replicationpb.Message{Body: &replicationpb.Message_Promise{Promise: reply}})
		}
	})
}

func (c *acceptor) handleAccept(from ID, m *replicationpb.Accept) {
	value := viewOf(m.GetView())
	if value == nil || !c.adoptProposersView(from, viewOf(m.GetCurrent())) || value.Epoch != c.view.Epoch+1 {
		return
	}
	if !c.isVoter(c.view) && !c.isVoter(value) {
		return
	}
	b := proposalNumberOf(m.GetBallot())
	if b.less(c.promised) {
		c.sendReject(from)
		return
	}
	c.promised, c.accepted, c.acceptedView = b, b, value
	epoch := c.view.Epoch
	c.writer.persist(func() {
		if c.view.Epoch == epoch {
			c.send(from, &replicationpb.Message{Body: &replicationpb.Message_Accepted{Accepted: &replicationpb.Accepted{
				Epoch: epoch, Ballot: m.GetBallot(), Addr: c.self.Addr,
			}}})
		}
	})
}

// hasAcceptedLater tells whether this voter has accepted a view after the present one. It then vouches for the present one
// no more: the later view may be chosen and acknowledge changes while a majority of the present voters, this one among
// them, has not been told. That majority does not meet the later chain where a link of that is new among the voters, or
// where fewer links than a majority may acknowledge. Scenario "an accepted view" plays it.
func (c *acceptor) hasAcceptedLater() bool {
	return c.acceptedView != nil && !c.cfg.knobs.ConfirmAfterAccept
}

func (c *acceptor) handleSeal(m *replicationpb.Seal) {
	v := c.view
	if m.GetEpoch() != v.Epoch || v.chainIndex(c.self.ID) < 0 || c.activeEpoch >= v.Epoch || c.sealedEpoch >= v.Epoch {
		return
	}
	c.sealedEpoch = v.Epoch
	c.logEvent("replication: sealing an epoch whose active links are gone")
	c.writer.persist(c.liveness.sendHeartbeats)
}
