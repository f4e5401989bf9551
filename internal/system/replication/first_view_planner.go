package replication

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// firstViewDelay is how long the formation of the first view waits for a missing seed.
const firstViewDelay = 2 * time.Second

// This file plans the first view, which the seeds choose.

// planFirst returns the first view: the seeds with a disk, and other nodes up to the target number of voters.
func (pl *planner) planFirst() (first *View, rank int) {
	if pl.peerHasView() {
		return nil, 0 // the peer will send it
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

// peerHasView reports whether a peer has already entered a view.
func (pl *planner) peerHasView() bool {
	for _, p := range pl.liveness.peers {
		if p.heartbeat.GetEpoch() > 0 {
			return true
		}
	}
	return false
}

// canFormFirstView reports whether there are members for the first view, and enough votes of the seeds to choose it.
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

// isInitialVoterMissing reports whether it is worth waiting for more nodes: a seed has not been heard from or, if no seed has a disk,
// too few nodes have one.
func (pl *planner) isInitialVoterMissing(seeds, members []Member) bool {
	if pl.liveness.noSeedHasDisk() {
		return len(members) < pl.cfg.targetVoters()
	}
	return len(seeds)+pl.liveness.observerSeeds() < len(pl.cfg.Seeds)
}

// firstChain selects the first chain from the members, with a head that has the longest log.
func (pl *planner) firstChain(members []Member) []ID {
	heads := pl.longestLogs(members)
	replicas := []Member{heads[0]}
	for more := true; more && len(replicas) < pl.cfg.targetChainLength(); {
		replicas, more = pl.cfg.addBestSpread(replicas, members, func(Member) bool { return true })
	}
	orderChain(replicas, slices.DeleteFunc(heads, func(m Member) bool { return !slices.Contains(replicas, m) }))
	return idsOfMembers(replicas)
}

// firstViewRank returns this node's turn to propose the first view.
func (pl *planner) firstViewRank(members []Member) int {
	if pl.cfg.Observer {
		return max(slices.Index(pl.cfg.Seeds, pl.self.Addr), 0)
	}
	return max(slices.IndexFunc(members, func(m Member) bool { return m.ID == pl.self.ID }), 0)
}

// seedsWithDisk returns the seeds that may be initial voters and are alive, in the order of the seeds.
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

// completeInitialVoters adds nodes that are not seeds to the voters of the first view, up to the target number. Like any other view,
// it is chosen by a majority of the current voters, here the seeds, and of its own voters.
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

// longestLogs returns the members with the longest log. Before the first view, a log holds only what was restored.
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
