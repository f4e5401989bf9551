package replication

import (
	"cmp"
	"slices"
	"time"
)

const (
	defaultChainLength = 5
	minEligibleTime    = 300 * time.Millisecond // a node must be eligible for this long before it becomes a chain replica
	maxCaughtUpLag     = 64                     // number of records that a new chain replica may lack
)

// planner computes the view that this node would have in place of the current one, from the heartbeats of the other nodes. It sends
// nothing and decides nothing: mayLead ensures that a head holds what was acknowledged, and the acceptors decide what is chosen.
type planner struct {
	*environment
	headlessSince     time.Duration // when it was first found that no chain replica may lead; negative: one may
	seedMajoritySince time.Duration // when a majority of the seeds was first known; negative: never

	acceptor *acceptor
	liveness *liveness
	chain    *chainReplica
}

// viewPlan is the result of the planner.
type viewPlan struct {
	next        *View // view to replace the current one; nil: no change is needed or possible
	rank        int   // this node's turn to propose next, among the nodes that plan the same view
	sealsWanted bool  // replicas should seal the current epoch, so that a head can be found later
}

// plan computes the next view. It sends nothing, but records since when there has been no replica that may lead.
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

// planChain selects the chain: the current replicas that are fit to stay, and voters that have caught up. The chain is nil if no
// chain that may acknowledge can be formed, and sealsWanted reports whether seals may help. replaced is the voter that planVoters
// replaces, or empty.
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
	orderChain(replicas, heads)
	pl.keepHead(replicas, heads)
	if current := pl.acceptor.view; isChainOf(replicas, current) && replicas[0].ID == current.Head() {
		return current.Chain, false
	}
	return idsOfMembers(replicas), false
}

// keepHead moves the current head to the front if the chain keeps its members and the head may lead: replacing a working head costs
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

// possibleHeads returns the replicas that may lead. It excludes those that are about to leave, unless no others remain.
func (pl *planner) possibleHeads(replicas []Member) []Member {
	heads := slices.DeleteFunc(slices.Clone(replicas), func(m Member) bool { return !pl.mayLead(m.ID, reportedSealsOnly) })
	isEligible := func(m Member) bool { return pl.liveness.isEligible(m.ID) }
	if !slices.ContainsFunc(heads, isEligible) {
		return heads
	}
	return slices.DeleteFunc(heads, func(m Member) bool { return !isEligible(m) })
}

// stayingReplicas returns the current replicas that stay in the chain. It includes those that are about to leave as long as too few
// others hold what was acknowledged.
func (pl *planner) stayingReplicas(replaced ID) []Member {
	stalled := pl.stalledReplicas()
	replicas := pl.remainingReplicas(replaced, stalled, pl.liveness.isEligible)
	if pl.countHolders(replicas) >= pl.cfg.minChainLength() {
		return replicas
	}
	return pl.remainingReplicas(replaced, stalled, pl.liveness.isHealthy)
}

// stalledReplicas returns the replicas whose predecessors report that they do not acknowledge what they are sent.
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

// remainingReplicas returns the current replicas that are fit, not stalled and mutually reachable.
func (pl *planner) remainingReplicas(replaced ID, stalled map[ID]bool, canStay func(ID) bool) []Member {
	var replicas []Member
	for _, id := range pl.acceptor.view.Chain {
		if m, ok := pl.acceptor.view.Voter(id); ok && id != replaced && canStay(id) && !stalled[id] {
			replicas = append(replicas, m)
		}
	}
	return pl.mutuallyReachable(replicas)
}

// countHolders counts the replicas that hold everything that the current chain and those before it have acknowledged.
func (pl *planner) countHolders(replicas []Member) int {
	n := 0
	for _, m := range replicas {
		if pl.liveness.durableEpochsOf(m.ID).active == pl.acceptor.view.Epoch {
			n++
		}
	}
	return n
}

// addReplicas adds voters to the replicas that stay: those that have caught up, up to the target length, and others only if too few
// replicas would remain.
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

// spreadReplicas exchanges one replica for a voter in another failure domain, where one tolerated loss would take the complete chain
// and no more replicas may be added.
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

// mutuallyReachable removes replicas until all that remain exchange messages with each other: first the one that lacks contact with
// the most others; among equals one that may not lead, then the later one.
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

// isolationScore returns zero for a replica that exchanges messages with all others. Otherwise it adds two for each that it does not
// exchange messages with, and one if the replica may not lead.
func (pl *planner) isolationScore(m Member, replicas []Member) int {
	score := 0
	for _, other := range replicas {
		if !pl.liveness.haveContact(m.ID, other.ID) {
			score += 2
		}
	}
	if score > 0 && !pl.mayLead(m.ID, reportedSealsOnly) {
		score++
	}
	return score
}

// isCaughtUp reports whether a node outside the chain has nearly everything that is committed.
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

// orderChain orders a chain: first the one of the heads that is in the region of the most replicas, then the other replicas of its
// region, then the replicas of each other region next to each other, so that a record crosses each border once.
func orderChain(replicas, heads []Member) {
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
