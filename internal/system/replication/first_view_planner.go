package replication

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// firstViewDelay is how long the first view waits for a missing seed.
const firstViewDelay = 2 * time.Second

// This file plans the first view, which the seeds choose.

// planFirst returns the first view: the seeds with a disk, and other nodes up to the number of voters aimed at.
func (pl *planner) planFirst() (first *View, rank int) {
	if pl.peerHasView() {
		return nil, 0 // it will be sent here
	}
	seeds := pl.seedsWithDisk()
	members := pl.completeInitialVoters(seeds)
	if !pl.canFormFirstView(seeds, members) {
		pl.seedMajoritySince = -1
		return nil, 0
	}
	if pl.seedMajoritySince < 0 {
		pl.seedMajoritySince = pl.now
	}
	if !pl.isInitialVoterMissing(seeds, members) || pl.now-pl.seedMajoritySince >= firstViewDelay {
		return &View{Epoch: 1, Voters: members, Chain: pl.firstChain(members)}, pl.firstViewRank(members)
	}
	return nil, 0
}

// peerHasView reports whether a node has entered a view already.
func (pl *planner) peerHasView() bool {
	for _, p := range pl.liveness.peers {
		if p.heartbeat.GetEpoch() > 0 {
			return true
		}
	}
	return false
}

// canFormFirstView reports whether there are members for the first view, and votes of the seeds to choose it.
func (pl *planner) canFormFirstView(seeds, members []Member) bool {
	if len(members) == 0 {
		return false
	}
	if pl.liveness.noSeedHasDisk() {
		return true
	}
	known := voterSet{}
	for _, m := range seeds {
		known[m.ID] = m.Addr
	}
	return pl.acceptor.isQuorum(pl.acceptor.view, known)
}

// isInitialVoterMissing reports whether a seed is worth waiting for: it has not been heard from, or, where no seed has a disk, there are too
// few nodes that have one.
func (pl *planner) isInitialVoterMissing(seeds, members []Member) bool {
	if pl.liveness.noSeedHasDisk() {
		return len(members) < pl.cfg.targetVoters()
	}
	return len(seeds)+pl.liveness.observerSeeds() < len(pl.cfg.Seeds)
}

// firstChain picks the first chain out of the members, with a head that has the longest log.
func (pl *planner) firstChain(members []Member) []ID {
	heads := pl.longestLogs(members)
	replicas := []Member{heads[0]}
	for more := true; more && len(replicas) < pl.cfg.targetChainLength(); {
		replicas, more = pl.cfg.addBestSpread(replicas, members, func(Member) bool { return true })
	}
	arrange(replicas, slices.DeleteFunc(heads, func(m Member) bool { return !slices.Contains(replicas, m) }))
	return idsOfMembers(replicas)
}

// firstViewRank is this node's turn to propose the first view.
func (pl *planner) firstViewRank(members []Member) int {
	if pl.cfg.Observer {
		return max(slices.Index(pl.cfg.Seeds, pl.self.Addr), 0)
	}
	return max(slices.IndexFunc(members, func(m Member) bool { return m.ID == pl.self.ID }), 0)
}

// seedsWithDisk lists the seeds that may be initial voters and are alive, in the order of the seeds.
func (pl *planner) seedsWithDisk() []Member {
	var members []Member
	if !pl.cfg.Observer {
		members = append(members, pl.self)
	}
	for id, p := range pl.liveness.peers {
		isSeed := slices.Contains(pl.cfg.Seeds, p.member.Addr)
		if isSeed && p.heartbeat.GetBootstrap() && !p.heartbeat.GetObserver() && pl.liveness.isAlive(id) {
			members = append(members, p.member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(slices.Index(pl.cfg.Seeds, a.Addr), slices.Index(pl.cfg.Seeds, b.Addr)), cmp.Compare(a.ID, b.ID))
	})
	return slices.CompactFunc(members, func(a, b Member) bool { return a.Addr == b.Addr })
}

// completeInitialVoters adds nodes that are no seeds to the voters of the first view, up to the number aimed at. The view is chosen by a
// majority of the seeds, and of its own voters as any other.
func (pl *planner) completeInitialVoters(members []Member) []Member {
	var others []Member
	for _, id := range slices.Sorted(maps.Keys(pl.liveness.peers)) {
		p := pl.liveness.peers[id]
		known := slices.ContainsFunc(members, func(m Member) bool { return m.Addr == p.member.Addr })
		if !known && p.heartbeat.GetBootstrap() && p.heartbeat.GetEpoch() == 0 && pl.liveness.isEligible(id) {
			others = append(others, p.member)
		}
	}
	for more := true; more && len(members) < pl.cfg.targetVoters(); {
		members, more = pl.cfg.addBestSpread(members, others, func(m Member) bool {
			return !slices.ContainsFunc(members, func(o Member) bool { return o.Addr == m.Addr })
		})
	}
	return members
}

// longestLogs lists those of the members with the longest log: before the first view, what was restored.
func (pl *planner) longestLogs(members []Member) []Member {
	logEnd := func(m Member) uint64 {
		if m.ID == pl.self.ID {
			return pl.chain.commitIndex
		}
		if p := pl.liveness.peers[m.ID]; p != nil {
			return p.heartbeat.GetCommitted()
		}
		return 0
	}
	var longest uint64
	for _, m := range members {
		longest = max(longest, logEnd(m))
	}
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return logEnd(m) < longest })
}
