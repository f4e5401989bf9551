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

func (ac *acceptor) isVoter(v *View) bool {
	if v.Epoch == 0 {
		return ac.cfg.Bootstrap && slices.Contains(ac.cfg.Seeds, ac.self.Addr) && (!ac.cfg.Observer || ac.liveness.noSeedHasDisk())
	}
	if ac.cfg.Observer {
		return false
	}
	_, ok := v.Voter(ac.self.ID)
	return ok
}

// adoptProposersView brings this keeper to the view that a proposer builds on; false when it is at another one.
func (ac *acceptor) adoptProposersView(from ID, cur *View) bool {
	if cur == nil {
		return false
	}
	ac.adoptView(cur)
	if cur.Epoch < ac.view.Epoch {
		if ac.viewDurable {
			ac.send(from, chosenMessage(ac.view))
		}
		return false
	}
	return cur.Epoch == ac.view.Epoch
}

func (ac *acceptor) sendReject(to ID) {
	ac.send(to, rejectMessage(&replicationpb.Reject{
		Epoch: ac.view.Epoch, Promised: proposalNumberPB(ac.promised),
	}))
}

func (ac *acceptor) handlePrepare(from ID, m *replicationpb.Prepare) {
	if !ac.adoptProposersView(from, viewOf(m.GetCurrent())) || !ac.isVoter(ac.view) {
		return
	}
	b := proposalNumberOf(m.GetBallot())
	if b.less(ac.promised) {
		ac.sendReject(from)
		return
	}
	ac.promised = b
	epoch := ac.view.Epoch
	reply := &replicationpb.Promise{
		Epoch: epoch, Ballot: m.GetBallot(), Accepted: proposalNumberPB(ac.accepted), View: viewPB(ac.acceptedView), Addr: ac.self.Addr,
	}
	ac.writer.persist(func() {
		if ac.view.Epoch == epoch && ac.promised == b {
			ac.send(from, promiseMessage(reply))
		}
	})
}

func (ac *acceptor) handleAccept(from ID, m *replicationpb.Accept) {
	value := viewOf(m.GetView())
	if value == nil || !ac.adoptProposersView(from, viewOf(m.GetCurrent())) || value.Epoch != ac.view.Epoch+1 {
		return
	}
	if !ac.isVoter(ac.view) && !ac.isVoter(value) {
		return
	}
	b := proposalNumberOf(m.GetBallot())
	if b.less(ac.promised) {
		ac.sendReject(from)
		return
	}
	ac.promised, ac.accepted, ac.acceptedView = b, b, value
	epoch := ac.view.Epoch
	ac.writer.persist(func() {
		if ac.view.Epoch == epoch {
			ac.send(from, acceptedMessage(&replicationpb.Accepted{
				Epoch: epoch, Ballot: m.GetBallot(), Addr: ac.self.Addr,
			}))
		}
	})
}

// hasAcceptedLater tells whether this voter has accepted a view after the present one. It then vouches for the present one
// no more: the later view may be chosen and acknowledge changes while a majority of the present voters, this one among
// them, has not been told. That majority does not meet the later chain where a link of that is new among the voters, or
// where fewer links than a majority may acknowledge. Scenario "an accepted view" plays it.
func (ac *acceptor) hasAcceptedLater() bool {
	return ac.acceptedView != nil && !ac.cfg.knobs.ConfirmAfterAccept
}

func (ac *acceptor) handleSeal(m *replicationpb.Seal) {
	v := ac.view
	if m.GetEpoch() != v.Epoch || v.chainIndex(ac.self.ID) < 0 || ac.activeEpoch >= v.Epoch || ac.sealedEpoch >= v.Epoch {
		return
	}
	ac.sealedEpoch = v.Epoch
	ac.logEvent("replication: sealing an epoch whose active links are gone")
	ac.writer.persist(ac.liveness.sendHeartbeats)
}
