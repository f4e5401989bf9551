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

func (n proposalNumber) less(other proposalNumber) bool {
	return n.round < other.round || n.round == other.round && n.id < other.id
}

func proposalNumberPB(n proposalNumber) *replicationpb.Ballot {
	return &replicationpb.Ballot{Round: n.round, Id: string(n.id)}
}

func proposalNumberOf(p *replicationpb.Ballot) proposalNumber {
	return proposalNumber{round: p.GetRound(), id: ID(p.GetId())}
}

// acceptorState is what a node must remember across a restart: its vote, and the epochs in which its log may stand for the chain's.
type acceptorState struct {
	identity     Member
	view         *View          // newest chosen view known
	activeEpoch  uint64         // newest epoch in which this replica was active
	sealedEpoch  uint64         // epoch in which it will never be active
	promised     proposalNumber // for the epoch after view's
	accepted     proposalNumber
	acceptedView *View // accepted, perhaps chosen
}

func (s *acceptorState) pb() *replicationpb.Register {
	return &replicationpb.Register{
		Self: memberPB(s.identity), View: viewPB(s.view), Active: s.activeEpoch, Sealed: s.sealedEpoch,
		Promised: proposalNumberPB(s.promised), Accepted: proposalNumberPB(s.accepted), AcceptedView: viewPB(s.acceptedView),
	}
}

func acceptorStateOf(p *replicationpb.Register) acceptorState {
	s := acceptorState{
		identity: memberOf(p.GetSelf()), view: viewOf(p.GetView()), activeEpoch: p.GetActive(), sealedEpoch: p.GetSealed(),
		promised: proposalNumberOf(p.GetPromised()), accepted: proposalNumberOf(p.GetAccepted()), acceptedView: viewOf(p.GetAcceptedView()),
	}
	if s.view == nil {
		s.view = &View{}
	}
	return s
}

// acceptor is this node's vote in the agreement on views. The view of epoch e+1 is the value of a single-decree Paxos among the
// voters of e (Lamport 2001). The acceptor answers only after its promise or acceptance is on disk, so that a restart forgets neither.
// It also knows which of its epochs are on disk, which is all that its heartbeats may say of it.
type acceptor struct {
	*environment
	acceptorState
	identityDurable bool // the identity is on disk
	// viewDurable: the view is on disk and this node has entered it (Core.adoptView). It comes later than durableViewEpoch does: other calls
	// that waited for the same write run between, and with SendBeforeWrite it does not wait for the disk at all.
	viewDurable        bool
	durableActiveEpoch uint64 // activeEpoch, sealedEpoch and view.Epoch as they are on disk, which heartbeats report
	durableSealedEpoch uint64
	durableViewEpoch   uint64

	writer    *diskWriter
	liveness  *liveness
	adoptView func(*View) // takes up a view that is chosen

	yieldProposal func() // is called before this node promises to another proposer
	announce      func() // tells the others of this node's state
}

// restart takes up the state that is on disk.
func (ac *acceptor) restart(state acceptorState) {
	ac.acceptorState = state
	ac.identityDurable, ac.viewDurable = true, state.view.Epoch > 0
	ac.durableActiveEpoch, ac.durableSealedEpoch, ac.durableViewEpoch = state.activeEpoch, state.sealedEpoch, state.view.Epoch
}

// isVoter reports whether this node votes on the view after v.
func (ac *acceptor) isVoter(v *View) bool {
	if v.Epoch == 0 {
		return ac.isInitialVoter()
	}
	if ac.cfg.Observer {
		return false
	}
	_, ok := v.Voter(ac.self.ID)
	return ok
}

// isInitialVoter reports whether this node votes on the first view: it is a seed at the first start of all, and has a disk unless none has.
func (ac *acceptor) isInitialVoter() bool {
	return ac.cfg.Bootstrap && slices.Contains(ac.cfg.Seeds, ac.self.Addr) && (!ac.cfg.Observer || ac.liveness.noSeedHasDisk())
}

// sendNewerView tells a sender that is at an earlier epoch of the present view, once that is on disk.
func (ac *acceptor) sendNewerView(to ID, epoch uint64) {
	if epoch < ac.view.Epoch && ac.viewDurable {
		ac.send(to, chosenMessage(ac.view))
	}
}

// syncViewWithProposer brings this node to the view that a proposer builds on; false when it is at another one.
func (ac *acceptor) syncViewWithProposer(from ID, current *View) bool {
	if current == nil {
		return false
	}
	ac.adoptView(current)
	ac.sendNewerView(from, current.Epoch)
	return current.Epoch == ac.view.Epoch
}

func (ac *acceptor) sendReject(to ID) {
	ac.send(to, rejectMessage(&replicationpb.Reject{Epoch: ac.view.Epoch, Promised: proposalNumberPB(ac.promised)}))
}

// promise promises to accept nothing below number, and runs then once the promise is on disk.
func (ac *acceptor) promise(number proposalNumber, then func()) {
	ac.promised = number
	ac.writer.persist(then)
}

// accept accepts a view under number, and runs then once that is on disk.
func (ac *acceptor) accept(number proposalNumber, value *View, then func()) {
	ac.accepted, ac.acceptedView = number, value
	ac.writer.persist(then)
}

// promiseReply is what this node answers to Prepare: its promise, and what it has accepted before.
func (ac *acceptor) promiseReply(number proposalNumber) *replicationpb.Promise {
	return &replicationpb.Promise{
		Epoch: ac.view.Epoch, Ballot: proposalNumberPB(number), Accepted: proposalNumberPB(ac.accepted),
		View: viewPB(ac.acceptedView), Addr: ac.self.Addr,
	}
}

// handlePrepare is phase 1b of Paxos.
func (ac *acceptor) handlePrepare(from ID, msg *replicationpb.Prepare) {
	if !ac.syncViewWithProposer(from, viewOf(msg.GetCurrent())) || !ac.isVoter(ac.view) {
		return
	}
	number := proposalNumberOf(msg.GetBallot())
	if number.less(ac.promised) {
		ac.sendReject(from)
		return
	}
	ac.yieldProposal()
	epoch, reply := ac.view.Epoch, ac.promiseReply(number)
	ac.promise(number, func() {
		if ac.view.Epoch == epoch && ac.promised == number {
			ac.send(from, promiseMessage(reply))
		}
	})
}

// handleAccept is phase 2b of Paxos. The voters of the view that is proposed vote on it too, see proposer.isChosen.
func (ac *acceptor) handleAccept(from ID, msg *replicationpb.Accept) {
	value := viewOf(msg.GetView())
	if value == nil || !ac.syncViewWithProposer(from, viewOf(msg.GetCurrent())) || value.Epoch != ac.view.Epoch+1 {
		return
	}
	if !ac.isVoter(ac.view) && !ac.isVoter(value) {
		return
	}
	number := proposalNumberOf(msg.GetBallot())
	if number.less(ac.promised) {
		ac.sendReject(from)
		return
	}
	epoch := ac.view.Epoch
	ac.promised = number
	ac.accept(number, value, func() {
		if ac.view.Epoch == epoch {
			ac.send(from, acceptedMessage(&replicationpb.Accepted{Epoch: epoch, Ballot: msg.GetBallot(), Addr: ac.self.Addr}))
		}
	})
}

// hasAcceptedLater reports whether this voter has accepted a view after the present one. It then no longer confirms the present epoch:
// the later view may be chosen and its chain acknowledge changes while a majority of the present voters, this one among them, has
// not learned of it. That it was chosen is not enough to ask for. The majority need not meet the later chain where a replica of
// that chain is new among the voters, or where a chain shorter than a majority may acknowledge. Scenario "an accepted view" plays it.
func (ac *acceptor) hasAcceptedLater() bool {
	return ac.acceptedView != nil && !ac.cfg.knobs.ConfirmAfterAccept
}

// handleSeal promises that this replica will never be active in the present epoch, unless it is already.
func (ac *acceptor) handleSeal(m *replicationpb.Seal) {
	epoch := ac.view.Epoch
	if m.GetEpoch() != epoch || ac.view.chainIndex(ac.self.ID) < 0 {
		return
	}
	if ac.activeEpoch >= epoch || ac.sealedEpoch >= epoch {
		return
	}
	ac.sealedEpoch = epoch
	ac.logEvent("replication: sealing an epoch whose active chain replicas are unavailable")
	ac.writer.persist(ac.announce)
}

// enterEpoch takes up the chosen view v, and begins the vote on the one after it.
func (ac *acceptor) enterEpoch(v *View) {
	ac.view, ac.viewDurable = v, false
	ac.promised, ac.accepted, ac.acceptedView = proposalNumber{}, proposalNumber{}, nil
	// The head must hold all that was acknowledged, see planner.mayLead.
	if v.Head() == ac.self.ID && (ac.activeEpoch >= v.minHeadEpoch || ac.cfg.knobs.AllowAnyHead) {
		ac.activeEpoch = v.Epoch
	}
}
