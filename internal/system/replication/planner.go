package replication

import (
	"cmp"
	"slices"
	"time"
)

const (
	defaultChainLength = 5
	minEligibleTime    = 300 * time.Millisecond // a node is eligible for this long before it becomes a chain replica
	maxCaughtUpLag     = 64                     // records that a new chain replica may lack
)

// planner works out the view that this node would have instead of the present one, from what heartbeats say of the others. It sends
// nothing and decides nothing: mayLead sees to it that a head holds what was acknowledged, and the acceptors decide what is chosen.
type planner struct {
	*environment
	headlessSince     time.Duration // when it was first seen that no chain replica may lead; negative: one may
	seedMajoritySince time.Duration // when a majority of the seeds was first known; negative: never

	acceptor *acceptor
	liveness *liveness
	chain    *chainReplica
}

// viewPlan is what a planner works out.
type viewPlan struct {
	next        *View // that this node would have instead of the present one; nil: all is well or nothing can be done
	rank        int   // its turn to propose next, among the nodes that see the same
	sealsWanted bool  // replicas are to seal the present epoch, so that a head is found later
}

// plan works out the next view. It sends nothing, but remembers since when there has been no replica that may lead.
func (pl *planner) plan() viewPlan {
	current := pl.acceptor.view
	if current.Epoch == 0 {
		next, rank := pl.planFirst()
		return viewPlan{next: next, rank: rank}
	}
	voters, replaced := pl.planVoters()
	if !pl.liveness.hasMajorityAlive(current.Voters) || !pl.liveness.hasMajorityAlive(voters) {
		return viewPlan{}
	}
	chain, sealsWanted := pl.planChain(voters, replaced)
	if chain == nil {
		return viewPlan{sealsWanted: sealsWanted}
	}
	next := &View{Epoch: current.Epoch + 1, Chain: chain, Voters: voters}
	if next.hasSameMembers(current) && !pl.isSealed() {
		return viewPlan{}
	}
	next.minHeadEpoch = pl.liveness.durableEpochsOf(chain[0]).active
	next.earlierChains = pl.earlierChains()
	return viewPlan{next: next, rank: pl.rank()}
}

// rank counts the eligible voters before this node.
func (pl *planner) rank() int {
	rank := 0
	for _, m := range pl.acceptor.view.Voters {
		if m.ID == pl.self.ID {
			break
		}
		if pl.liveness.isEligible(m.ID) {
			rank++
		}
	}
	return rank
}

// planChain picks the chain: the present replicas that are fit to stay, and voters that have caught up. It is nil when no chain that
// may acknowledge can be formed, and sealsWanted says whether seals may help. replaced is the voter that planVoters gives up, empty for
// none.
func (pl *planner) planChain(voters []Member, replaced ID) (chain []ID, sealsWanted bool) {
	replicas := pl.stayingReplicas(replaced)
	heads := pl.possibleHeads(replicas)
	if len(heads) > 0 {
		pl.headlessSince = -1
	} else {
		if heads, sealsWanted = pl.findHead(voters); len(heads) == 0 {
			return nil, sealsWanted
		}
		replicas = slices.DeleteFunc(replicas, func(m Member) bool { return m == heads[0] })
		replicas = pl.mutuallyReachable(append(replicas, heads...))
		if !slices.Contains(replicas, heads[0]) {
			return nil, false
		}
	}
	if replicas = pl.addReplicas(replicas, heads, voters); len(replicas) < pl.cfg.minChainLength() {
		return nil, false
	}
	arrange(replicas, heads)
	pl.keepHead(replicas, heads)
	if current := pl.acceptor.view; isChainOf(replicas, current) && replicas[0].ID == current.Head() {
		return current.Chain, false
	}
	return idsOfMembers(replicas), false
}

// keepHead puts the present head in front where the chain keeps its members and the head may lead: to change a head that works costs
// more than a better placed one gains.
func (pl *planner) keepHead(replicas, heads []Member) {
	current := pl.acceptor.view
	isHead := func(m Member) bool { return m.ID == current.Head() }
	if isHead(replicas[0]) || !isChainOf(replicas, current) || !slices.ContainsFunc(heads, isHead) {
		return
	}
	i := slices.IndexFunc(replicas, isHead)
	replicas[0], replicas[i] = replicas[i], replicas[0]
}

// possibleHeads lists the replicas that may lead, without those that are about to leave where others are left.
func (pl *planner) possibleHeads(replicas []Member) []Member {
	heads := slices.DeleteFunc(slices.Clone(replicas), func(m Member) bool { return !pl.mayLead(m.ID, asSealed) })
	isEligible := func(m Member) bool { return pl.liveness.isEligible(m.ID) }
	if !slices.ContainsFunc(heads, isEligible) {
		return heads
	}
	return slices.DeleteFunc(heads, func(m Member) bool { return !isEligible(m) })
}

// stayingReplicas lists the present replicas that stay in the chain, with those that are about to leave as long as too few others hold
// what was acknowledged.
func (pl *planner) stayingReplicas(replaced ID) []Member {
	stalled := pl.stalledReplicas()
	replicas := pl.remainingReplicas(replaced, stalled, pl.liveness.isEligible)
	if pl.countHolders(replicas) >= pl.cfg.minChainLength() {
		return replicas
	}
	return pl.remainingReplicas(replaced, stalled, pl.liveness.isHealthy)
}

// stalledReplicas lists the replicas of which their predecessors say that they do not acknowledge what they are sent.
func (pl *planner) stalledReplicas() map[ID]bool {
	current := pl.acceptor.view
	stalled := map[ID]bool{}
	for i := 0; i+1 < len(current.Chain); i++ {
		id, successor := current.Chain[i], current.Chain[i+1]
		if id == pl.self.ID {
			stalled[successor] = pl.chain.stalledSuccessor() == successor
		} else if p := pl.liveness.peers[id]; p != nil && pl.liveness.isAlive(id) && p.heartbeat.GetEpoch() == current.Epoch {
			stalled[successor] = ID(p.heartbeat.GetStuck()) == successor
		}
	}
	return stalled
}

// remainingReplicas lists the present replicas that are fit, not stalled and mutually reachable.
func (pl *planner) remainingReplicas(replaced ID, stalled map[ID]bool, isFit func(ID) bool) []Member {
	var replicas []Member
	for _, id := range pl.acceptor.view.Chain {
		if m, ok := pl.acceptor.view.Voter(id); ok && id != replaced && isFit(id) && !stalled[id] {
			replicas = append(replicas, m)
		}
	}
	return pl.mutuallyReachable(replicas)
}

// countHolders counts the replicas that hold all that the present chain and those before it have acknowledged.
func (pl *planner) countHolders(replicas []Member) int {
	n := 0
	for _, m := range replicas {
		if pl.liveness.durableEpochsOf(m.ID).active == pl.acceptor.view.Epoch {
			n++
		}
	}
	return n
}

// addReplicas adds voters to the replicas that stay: those that have caught up, up to the length aimed at, and others only where too few
// would be left.
func (pl *planner) addReplicas(replicas, heads, voters []Member) []Member {
	for more := true; more && len(replicas) < pl.cfg.targetChainLength(); {
		replicas, more = pl.cfg.addBestSpread(replicas, voters, func(m Member) bool { return pl.canJoin(replicas, m) && pl.isCaughtUp(m.ID) })
	}
	for more := true; more && len(replicas) < pl.cfg.minChainLength(); {
		replicas, more = pl.cfg.addBestSpread(replicas, voters, func(m Member) bool { return pl.canJoin(replicas, m) })
	}
	if pl.cfg.chainToleratesLosses(replicas) || len(replicas) < pl.cfg.targetChainLength() {
		return replicas
	}
	return pl.spreadReplicas(replicas, heads, voters)
}

// canJoin reports whether a voter outside the chain is eligible and exchanges messages with all the replicas.
func (pl *planner) canJoin(replicas []Member, m Member) bool {
	return pl.acceptor.view.chainIndex(m.ID) < 0 && pl.liveness.isEligible(m.ID) &&
		!slices.ContainsFunc(replicas, func(r Member) bool { return !pl.liveness.haveContact(r.ID, m.ID) })
}

// spreadReplicas exchanges one replica for a voter elsewhere, where one tolerated loss would take the whole chain and no more replicas
// may be added.
func (pl *planner) spreadReplicas(replicas, heads, voters []Member) []Member {
	best := replicas
	for i, replica := range replicas {
		if replica == heads[0] || replica.ID == pl.acceptor.view.Head() {
			continue
		}
		rest := slices.Delete(slices.Clone(replicas), i, i+1)
		with, ok := pl.cfg.addBestSpread(rest, voters, func(m Member) bool {
			return m != replica && pl.canJoin(rest, m) && pl.isCaughtUp(m.ID)
		})
		if ok && pl.cfg.exposure(with).compare(pl.cfg.exposure(best)) < 0 {
			best = with
		}
	}
	return best
}

// mutuallyReachable drops replicas until all that are left exchange messages with each other: first the one that lacks contact with the
// most, of two alike one that may not lead, then the later one.
func (pl *planner) mutuallyReachable(replicas []Member) []Member {
	for {
		worst, maxScore := -1, 0
		for i, m := range replicas {
			if score := pl.isolationScore(m, replicas); score > 0 && score >= maxScore {
				worst, maxScore = i, score
			}
		}
		if worst < 0 {
			return replicas
		}
		replicas = slices.Delete(replicas, worst, worst+1)
	}
}

// isolationScore is zero for a replica that exchanges messages with all others: else two for each that it does not, and one where it may
// not lead.
func (pl *planner) isolationScore(m Member, replicas []Member) int {
	score := 0
	for _, other := range replicas {
		if !pl.liveness.haveContact(m.ID, other.ID) {
			score += 2
		}
	}
	if score > 0 && !pl.mayLead(m.ID, asSealed) {
		score++
	}
	return score
}

// isCaughtUp reports whether a node outside the chain has nearly all that is committed.
func (pl *planner) isCaughtUp(id ID) bool {
	if id == pl.self.ID {
		return pl.chain.caughtUp
	}
	p := pl.liveness.peers[id]
	if p == nil || !p.isEligibleFor(minEligibleTime, pl.now) || p.heartbeat.GetEpoch() != pl.acceptor.view.Epoch {
		return false
	}
	newest := pl.chain.commitIndex
	for _, replica := range pl.acceptor.view.Chain {
		if q := pl.liveness.peers[replica]; q != nil && pl.liveness.isAlive(replica) {
			newest = max(newest, q.heartbeat.GetCommitted())
		}
	}
	return p.heartbeat.GetCommitted()+maxCaughtUpLag >= newest
}

// isChainOf reports whether the replicas are those of the view's chain, in any order.
func isChainOf(replicas []Member, v *View) bool {
	return len(replicas) == len(v.Chain) && !slices.ContainsFunc(replicas, func(m Member) bool { return v.chainIndex(m.ID) < 0 })
}

func idsOfMembers(members []Member) []ID {
	var ids []ID
	for _, m := range members {
		ids = append(ids, m.ID)
	}
	return ids
}

// arrange orders a chain: in front the first of the heads that is in the region of the most replicas, the rest of its region next, and
// replicas of one region side by side, so that a record crosses each border once.
func arrange(replicas, heads []Member) {
	inRegion := map[string]int{}
	for _, m := range replicas {
		inRegion[m.Region]++
	}
	head := heads[0]
	for _, m := range heads {
		if inRegion[m.Region] > inRegion[head.Region] {
			head = m
		}
	}
	first := map[string]int{} // index of a region's first replica
	for i, m := range replicas {
		if _, ok := first[m.Region]; !ok {
			first[m.Region] = i
		}
	}
	first[head.Region] = -1
	slices.SortStableFunc(replicas, func(a, b Member) int {
		if (a.ID == head.ID) != (b.ID == head.ID) {
			if a.ID == head.ID {
				return -1
			}
			return 1
		}
		return cmp.Compare(first[a.Region], first[b.Region])
	})
}
