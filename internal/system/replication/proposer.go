package replication

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

const (
	proposalTimeout    = 800 * time.Millisecond // of the first proposal of an epoch, on healthy disks
	maxProposalTimeout = 5 * time.Minute
	// proposalWrites is the number of sequential writes that a proposal waits for: the promise and the acceptance, of this node and then
	// of the others, each after a write that may be in progress.
	proposalWrites   = 8
	rankDelay        = 150 * time.Millisecond // between the turns of two proposers
	planInterval     = 50 * time.Millisecond
	minProposerDelay = 100 * time.Millisecond // after a proposal that failed
	proposerJitter   = 500 * time.Millisecond
)

// proposer gets views chosen, as the proposer of Paxos: it asks the planner for a view, waits for its turn, and runs both phases. For
// liveness only, proposers take turns by rank and back off randomly; any of them may propose at any time.
type proposer struct {
	*environment
	proposal         *proposal     // in progress, nil: none
	proposeAt        time.Duration // when the next proposal starts; negative: none is scheduled
	backoffUntil     time.Duration
	slowBackoffUntil time.Duration // the same while this node's disk is slow
	slowTurn         bool          // proposeAt was computed for a slow disk
	lastPlannedAt    time.Duration
	highestRoundSeen uint64
	timeouts         int // proposals of this epoch that have timed out

	acceptor  *acceptor
	writer    *diskWriter
	liveness  *liveness
	planner   *planner
	adoptView func(*View) // adopts a chosen view
}

// proposal is an attempt of this node to have a view chosen.
type proposal struct {
	current             *View // whose voters decide
	number              proposalNumber
	startedAt           time.Duration
	promisedBy          voterSet // addresses of those who promised
	highestAccepted     proposalNumber
	highestAcceptedView *View // accepted by one of them under highestAccepted
	value               *View // nil in phase one
	acceptedBy          voterSet
}

// isFor reports whether an acceptor's answer is for this proposal.
func (p *proposal) isFor(epoch uint64, ballot *replicationpb.Ballot) bool {
	return epoch == p.current.Epoch && proposalNumberOf(ballot) == p.number
}

// observeAccepted records the view accepted under the highest number, which phase two must propose.
func (p *proposal) observeAccepted(m *replicationpb.Promise) {
	number := proposalNumberOf(m.GetAccepted())
	if m.GetView() != nil && p.highestAccepted.less(number) {
		p.highestAccepted, p.highestAcceptedView = number, viewOf(m.GetView())
	}
}

// tickProposer ends a proposal that has timed out and starts one that is due.
func (pr *proposer) tickProposer() {
	if pr.proposal != nil && pr.now-pr.proposal.startedAt > pr.timeout() {
		pr.proposal = nil
		pr.timeouts++
		pr.backOff()
	}
	if pr.slowTurn && pr.writer.slowWriteTime() == 0 {
		pr.slowTurn, pr.proposeAt = false, -1 // the disk has recovered: take the usual turn
	}
	if !pr.canPropose() || !pr.isDue() || pr.now-pr.lastPlannedAt < planInterval {
		return
	}
	pr.lastPlannedAt = pr.now
	next, rank := pr.wantedView()
	if next == nil {
		pr.proposeAt = -1
		return
	}
	if pr.proposeAt < 0 {
		slowness := pr.writer.slowWriteTime()
		turn := rankDelay + 2*slowness // in which the previous proposer has sent its Prepare, after a write that may be in progress
		pr.slowTurn = slowness > 0
		pr.proposeAt = pr.now + time.Duration(rank)*turn + pr.jitter(rankDelay/3)
	}
	if pr.now >= pr.proposeAt {
		pr.propose(next)
	}
}

// timeout returns how long a proposal may take: as long as its writes take on a disk like this node's, doubled for each proposal that
// has timed out, since the disks of others may be slower. A fixed timeout would end every proposal of a fleet of slow disks. If no
// disk is known to be slow, lost messages are the more likely reason, and the timeout doubles only maxHealthyDoublings times.
func (pr *proposer) timeout() time.Duration {
	if pr.cfg.knobs.FixedTimeouts {
		return proposalTimeout
	}
	first := max(proposalTimeout, proposalWrites*pr.writer.writeTime())
	doublings := maxHealthyDoublings
	if pr.writer.slowWriteTime() > 0 || pr.liveness.hasUnhealthyVoter() {
		doublings = maxTimeoutDoublings
	}
	return min(first<<min(pr.timeouts, doublings), maxProposalTimeout)
}

const (
	maxHealthyDoublings = 2 // to 3.2 s: other nodes whose disks are not unhealthy yet take up to 0.5 s for each of the writes
	maxTimeoutDoublings = 9 // after which the timeout has reached maxProposalTimeout
)

// canPropose reports whether this node votes and can write its promises.
func (pr *proposer) canPropose() bool {
	return pr.err == nil && pr.acceptor.identityDurable && pr.liveness.hasUsableDisk() && pr.acceptor.isVoter(pr.acceptor.view)
}

// isDue reports whether no proposal is in progress, and neither a backoff nor a grace period is pending.
func (pr *proposer) isDue() bool {
	isSlowBackoffOver := pr.now >= pr.slowBackoffUntil || pr.writer.slowWriteTime() == 0
	return pr.proposal == nil && pr.now >= pr.liveness.graceUntil && pr.now >= pr.backoffUntil && isSlowBackoffOver
}

// wantedView returns the view to propose, or nil if there is none, and this node's turn.
func (pr *proposer) wantedView() (next *View, rank int) {
	if wanted := pr.plan(); wanted.next != nil || pr.acceptor.acceptedView == nil {
		return wanted.next, wanted.rank
	}
	// A proposal that was left incomplete keeps the voters from confirming this epoch: complete it.
	index := slices.IndexFunc(pr.acceptor.view.Voters, func(m Member) bool { return m.ID == pr.self.ID })
	return pr.acceptor.acceptedView, 1 + index
}

// plan asks the planner for a plan, and requests the seals that it wants from the replicas.
func (pr *proposer) plan() viewPlan {
	wanted := pr.planner.plan()
	if wanted.sealsWanted {
		pr.requestSeals()
	}
	return wanted
}

// backOff prevents two proposers from preempting each other forever.
func (pr *proposer) backOff() {
	pr.backoffUntil = pr.now + minProposerDelay + pr.jitter(proposerJitter)
	pr.slowBackoffUntil = pr.backoffUntil + proposalWrites*pr.writer.slowWriteTime()
	pr.proposeAt = -1
}

// yield gives another proposer, to which this node has promised, time to complete its proposal if the disk is slow. On a healthy disk
// that time is so short that taking turns by rank is sufficient.
func (pr *proposer) yield() {
	if pr.writer.slowWriteTime() == 0 {
		return
	}
	pr.proposal = nil // the promise has a higher number
	pr.backOff()
}

// propose starts phase one. This node promises first, so that it does not reuse the number after a restart.
func (pr *proposer) propose(next *View) {
	current := pr.acceptor.view
	number := proposalNumber{round: max(pr.acceptor.promised.round, pr.highestRoundSeen) + 1, id: pr.self.ID}
	pr.proposal = &proposal{current: current, number: number, startedAt: pr.now, promisedBy: voterSet{}, acceptedBy: voterSet{}}
	pr.logEvent(fmt.Sprintf("replication: proposing view %d: %s", next.Epoch, next))
	prepare := &replicationpb.Prepare{Current: viewPB(current), Ballot: proposalNumberPB(number)}
	own := pr.acceptor.promiseReply(number)
	pr.acceptor.promise(number, func() {
		if pr.proposal == nil || pr.proposal.number != number || pr.acceptor.view != current {
			return
		}
		pr.broadcastToVoters(current, nil, func() *replicationpb.Message { return prepareMessage(prepare) })
		pr.recordPromise(pr.self.ID, own)
	})
}

// broadcastToVoters sends a message to the voters of both views except this node, ordered by identity. The view of epoch 0 has no
// voters: the seeds that take part in the bootstrap vote in their place. Each receiver gets its own message, since environment.send
// sets its To field.
func (pr *proposer) broadcastToVoters(current, next *View, newMessage func() *replicationpb.Message) {
	receivers := map[ID]bool{}
	if current.Epoch == 0 {
		for _, p := range pr.liveness.peers {
			if slices.Contains(pr.cfg.Seeds, p.member.Addr) && p.heartbeat.GetBootstrap() {
				receivers[p.member.ID] = true
			}
		}
	}
	for _, v := range []*View{current, next} {
		if v == nil {
			continue
		}
		for _, m := range v.Voters {
			receivers[m.ID] = true
		}
	}
	delete(receivers, pr.self.ID)
	for _, id := range slices.Sorted(maps.Keys(receivers)) {
		pr.sendToVoter(id, next, newMessage())
	}
}

// sendToVoter sends a message to a voter that may be known only from the next view.
func (pr *proposer) sendToVoter(id ID, next *View, m *replicationpb.Message) {
	if pr.liveness.addressOf(id) != "" || next == nil {
		pr.send(id, m)
		return
	}
	if voter, ok := next.Voter(id); ok {
		m.From, m.To = string(pr.self.ID), string(id)
		pr.out.Messages = append(pr.out.Messages, Envelope{Addr: voter.Addr, Msg: m})
	}
}

func (pr *proposer) handlePromise(from ID, m *replicationpb.Promise) {
	if p := pr.proposal; p != nil && p.value == nil && p.isFor(m.GetEpoch(), m.GetBallot()) {
		pr.recordPromise(from, m)
	}
}

// recordPromise starts phase two once a majority of the voters has promised.
func (pr *proposer) recordPromise(from ID, m *replicationpb.Promise) {
	attempt := pr.proposal
	attempt.promisedBy[from] = m.GetAddr()
	if !pr.cfg.knobs.IgnoreAcceptedViews {
		attempt.observeAccepted(m)
	}
	if !pr.acceptor.isQuorum(attempt.current, attempt.promisedBy) || pr.acceptor.promised != attempt.number {
		return
	}
	if attempt.value = attempt.highestAcceptedView; attempt.value == nil {
		attempt.value = pr.plan().next
	}
	if attempt.value == nil {
		pr.proposal = nil // the reason for the proposal no longer exists
		return
	}
	pr.requestAccept(attempt)
}

// requestAccept starts phase two. This node accepts first.
func (pr *proposer) requestAccept(p *proposal) {
	current, value, number := p.current, p.value, p.number
	pr.acceptor.accept(number, value, func() {
		if pr.proposal != p || pr.acceptor.view != current {
			return
		}
		accept := &replicationpb.Accept{Current: viewPB(current), Ballot: proposalNumberPB(number), View: viewPB(value)}
		pr.broadcastToVoters(current, value, func() *replicationpb.Message { return acceptMessage(accept) })
		pr.recordAccepted(pr.self.ID, pr.self.Addr)
	})
}

func (pr *proposer) handleAccepted(from ID, m *replicationpb.Accepted) {
	if p := pr.proposal; p != nil && p.value != nil && p.isFor(m.GetEpoch(), m.GetBallot()) {
		pr.recordAccepted(from, m.GetAddr())
	}
}

// recordAccepted publishes the view once it is chosen.
func (pr *proposer) recordAccepted(from ID, addr string) {
	p := pr.proposal
	p.acceptedBy[from] = addr
	if !pr.isChosen(p) {
		return
	}
	pr.proposal = nil
	pr.logEvent(fmt.Sprintf("replication: view %d is chosen: %s", p.value.Epoch, p.value))
	pr.broadcastToVoters(p.current, p.value, func() *replicationpb.Message { return chosenMessage(p.value) })
	pr.liveness.notifyObservers(p.value)
	pr.adoptView(p.value)
}

// isChosen reports whether majorities of the voters of both views have accepted. The old majority decides, as in any Paxos. The new
// one ensures that a majority of the voters who decide on the next view knows the view that it starts from. Phase one needs only the
// old majority, which intersects every old majority that may have accepted.
func (pr *proposer) isChosen(p *proposal) bool {
	return pr.acceptor.isQuorum(p.current, p.acceptedBy) && pr.acceptor.isQuorum(p.value, p.acceptedBy)
}

func (pr *proposer) handleReject(m *replicationpb.Reject) {
	promised := proposalNumberOf(m.GetPromised())
	if p := pr.proposal; p != nil && m.GetEpoch() == p.current.Epoch && p.number.less(promised) {
		pr.highestRoundSeen = max(pr.highestRoundSeen, promised.round)
		pr.proposal = nil
		pr.backOff()
	}
}

// reset discards a proposal that is obsolete because a view was chosen.
func (pr *proposer) reset() {
	pr.proposal, pr.proposeAt, pr.highestRoundSeen, pr.timeouts = nil, -1, 0, 0
}
