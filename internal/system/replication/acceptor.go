package replication

import (
	"slices"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// proposalNumber orders the proposals of one epoch. The ID makes the numbers of different proposers distinct.
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

// acceptorState is what a node must remember across a restart: its vote, and the epochs in which its log counts as the log of the
// chain.
type acceptorState struct {
	identity     Member
	view         *View          // newest known chosen view
	activeEpoch  uint64         // newest epoch in which this replica was active
	sealedEpoch  uint64         // epoch in which this replica will never be active
	promised     proposalNumber // for the epoch after view's
	accepted     proposalNumber
	acceptedView *View // accepted under that number, possibly chosen
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
// voters of e (Lamport 2001). The acceptor answers only after its promise or acceptance is on disk, so that neither is lost in a
// restart. It also tracks which of its epochs are on disk; heartbeats may report only those.
type acceptor struct {
	*environment
	acceptorState
	identityDurable bool // the identity is on disk
	// viewDurable: the view is on disk and this node has entered it (Core.adoptView). It is set later than durableViewEpoch: other
	// callbacks that waited for the same write run in between, and with SendBeforeWrite it does not wait for the disk at all.
	viewDurable        bool
	durableActiveEpoch uint64 // activeEpoch, sealedEpoch and view.Epoch as stored on disk, which heartbeats report
	durableSealedEpoch uint64
	durableViewEpoch   uint64

	writer    *diskWriter
	liveness  *liveness
	adoptView func(*View) // adopts a chosen view

	yieldProposal func() // called before this node promises to another proposer
	announce      func() // reports this node's state to the others
}

// restart restores the state that is on disk.
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

// isInitialVoter reports whether this node votes on the first view: it must be a seed in the initial bootstrap, and have a disk
// unless no seed has one.
func (ac *acceptor) isInitialVoter() bool {
	return ac.cfg.Bootstrap && slices.Contains(ac.cfg.Seeds, ac.self.Addr) && (!ac.cfg.Observer || ac.liveness.noSeedHasDisk())
}

// sendNewerView sends the current view to a sender that is at an earlier epoch, once that view is on disk.
func (ac *acceptor) sendNewerView(to ID, epoch uint64) {
	if epoch < ac.view.Epoch && ac.viewDurable {
		ac.send(to, chosenMessage(ac.view))
	}
}

// syncViewWithProposer brings this node to the view that a proposer builds on. It returns false if this node is at a different view.
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

// accept accepts a view under number, and runs then once the acceptance is on disk.
func (ac *acceptor) accept(number proposalNumber, value *View, then func()) {
	ac.accepted, ac.acceptedView = number, value
	ac.writer.persist(then)
}

// promiseReply returns this node's answer to Prepare: its promise, and the view that it has accepted before.
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

// handleAccept is phase 2b of Paxos. The voters of the proposed view vote on it too, see proposer.isChosen.
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

// hasAcceptedLater reports whether this voter has accepted a view after the current one. It then no longer confirms the current
// epoch: the later view may be chosen, and its chain may acknowledge changes, while a majority of the current voters, including this
// one, has not learned of it. It is not sufficient to check whether the later view is known to be chosen. The majority need not
// intersect the later chain if a replica of that chain is new among the voters, or if a chain shorter than a majority may
// acknowledge. The scenario "an accepted view" covers this.
func (ac *acceptor) hasAcceptedLater() bool {
	return ac.acceptedView != nil && !ac.cfg.knobs.ConfirmAfterAccept
}

// handleSeal promises that this replica will never be active in the current epoch, unless it is active already.
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

// enterEpoch adopts the chosen view v, and opens the vote on the next one.
func (ac *acceptor) enterEpoch(v *View) {
	ac.view, ac.viewDurable = v, false
	ac.promised, ac.accepted, ac.acceptedView = proposalNumber{}, proposalNumber{}, nil
	// The head must hold everything that was acknowledged, see planner.mayLead.
	if v.Head() == ac.self.ID && (ac.activeEpoch >= v.minHeadEpoch || ac.cfg.knobs.AllowAnyHead) {
		ac.activeEpoch = v.Epoch
	}
}
