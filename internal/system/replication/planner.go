package replication

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	firstViewDelay     = 2 * time.Second // a missing seed is waited for
	defaultChainLength = 5
	minEligibleTime    = 300 * time.Millisecond // a keeper is good for this long before it becomes a link
	maxCaughtUpLag     = 64                     // records that a new link may be behind
)

// planner works out the view that this node would have instead of the present one, from what heartbeats say of the others. It
// only proposes: what may lead is decided by mayLead, and the acceptors decide what is chosen.
type planner struct {
	*environment
	headlessSince     time.Duration // when it was first seen that no chain replica may lead; negative: one may
	seedMajoritySince time.Duration // when a majority of the seeds was first known; negative: never

	acceptor *acceptor
	liveness *liveness
	chain    *chainReplica
}

// plan gives the view that this keeper would have instead of the present one, nil when all is well or nothing can be
// done, and its turn among those who see the same.
func (pl *planner) plan() (*View, int) {
	cur := pl.acceptor.view
	if cur.Epoch == 0 {
		return pl.planFirst()
	}
	var chain []ID
	voters, out := pl.planVoters()
	if pl.liveness.hasMajorityAlive(cur.Voters) && pl.liveness.hasMajorityAlive(voters) {
		chain = pl.planChain(voters, out)
	}
	if chain == nil {
		return nil, 0
	}
	next := &View{Epoch: cur.Epoch + 1, Chain: chain, Voters: voters}
	if next.hasSameMembers(cur) && !pl.isSealed() {
		return nil, 0
	}
	next.base = pl.liveness.durableEpochsOf(chain[0]).active
	next.past = pl.earlierChains()
	rank := 0
	for _, m := range cur.Voters {
		if m.ID == pl.self.ID {
			break
		}
		if pl.liveness.isEligible(m.ID) {
			rank++
		}
	}
	return next, rank
}

// planFirst gives the first view: of the seeds with a disk, and others up to the number of voters aimed at.
func (pl *planner) planFirst() (*View, int) {
	for _, id := range slices.Sorted(maps.Keys(pl.liveness.peers)) {
		if pl.liveness.peers[id].heartbeat.GetEpoch() > 0 {
			return nil, 0 // the view is on its way
		}
	}
	founders := pl.seedsWithDisk()
	members := pl.completeFounders(founders)
	enough := len(founders)+pl.liveness.observerSeeds() >= len(pl.cfg.Seeds)
	if pl.liveness.noSeedHasDisk() {
		enough = len(members) >= pl.cfg.targetVoters()
	}
	known := map[ID]string{}
	for _, m := range founders {
		known[m.ID] = m.Addr
	}
	if len(members) == 0 || !pl.liveness.noSeedHasDisk() && !pl.acceptor.isQuorum(pl.acceptor.view, known) {
		pl.seedMajoritySince = -1
		return nil, 0
	}
	if pl.seedMajoritySince < 0 {
		pl.seedMajoritySince = pl.now
	}
	if !enough && pl.now-pl.seedMajoritySince < firstViewDelay {
		return nil, 0
	}
	heads := pl.longestLogs(members)
	links := []Member{heads[0]}
	for more := true; more && len(links) < pl.cfg.targetChainLength(); {
		links, more = pl.cfg.addBestSpread(links, members, func(Member) bool { return true })
	}
	arrange(links, slices.DeleteFunc(heads, func(m Member) bool { return !slices.Contains(links, m) }))
	v := &View{Epoch: 1, Voters: members}
	for _, m := range links {
		v.Chain = append(v.Chain, m.ID)
	}
	rank := slices.IndexFunc(members, func(m Member) bool { return m.ID == pl.self.ID })
	if pl.cfg.Observer {
		rank = slices.Index(pl.cfg.Seeds, pl.self.Addr)
	}
	return v, max(rank, 0)
}

// seedsWithDisk lists the seeds that may found the first view and are heard, in the order of the seeds.
func (pl *planner) seedsWithDisk() []Member {
	var members []Member
	if !pl.cfg.Observer {
		members = append(members, pl.self)
	}
	for id, p := range pl.liveness.peers {
		if slices.Contains(pl.cfg.Seeds, p.member.Addr) && p.heartbeat.GetBootstrap() && !p.heartbeat.GetObserver() && pl.liveness.isAlive(id) {
			members = append(members, p.member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(slices.Index(pl.cfg.Seeds, a.Addr), slices.Index(pl.cfg.Seeds, b.Addr)), cmp.Compare(a.ID, b.ID))
	})
	return slices.CompactFunc(members, func(a, b Member) bool { return a.Addr == b.Addr })
}

// completeFounders fills up the voters of the first view with keepers that are no seeds. The view is chosen by a majority of
// the seeds, and of its own voters as any other.
func (pl *planner) completeFounders(members []Member) []Member {
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

func (lv *liveness) hasMajorityAlive(voters []Member) bool {
	n := 0
	for _, m := range voters {
		if lv.isAlive(m.ID) {
			n++
		}
	}
	return n > len(voters)/2
}

// planChain picks the links: those of the present chain that work, and voters that have caught up. It is nil when no
// chain that may acknowledge can be had.
func (pl *planner) planChain(voters []Member, out ID) []ID {
	cur := pl.acceptor.view
	stuck := map[ID]bool{}
	for i := 0; i+1 < len(cur.Chain); i++ {
		a, b := cur.Chain[i], cur.Chain[i+1]
		if a == pl.self.ID {
			stuck[b] = pl.chain.stalledSuccessor() == b
		} else if p := pl.liveness.peers[a]; p != nil && pl.liveness.isAlive(a) && p.heartbeat.GetEpoch() == cur.Epoch {
			stuck[b] = ID(p.heartbeat.GetStuck()) == b
		}
	}
	links := pl.remainingReplicas(out, stuck, pl.liveness.isEligible)
	if pl.countHolders(links) < pl.cfg.minChainLength() {
		// Those who leave stay until enough others hold what was acknowledged.
		links = pl.remainingReplicas(out, stuck, pl.liveness.isHealthy)
	}
	heads := slices.DeleteFunc(slices.Clone(links), func(m Member) bool { return !pl.mayLead(m.ID, false) })
	if slices.ContainsFunc(heads, func(m Member) bool { return pl.liveness.isEligible(m.ID) }) {
		heads = slices.DeleteFunc(heads, func(m Member) bool { return !pl.liveness.isEligible(m.ID) })
	}
	if len(heads) > 0 {
		pl.headlessSince = -1
	} else {
		if heads = pl.findHead(voters); len(heads) == 0 {
			return nil
		}
		links = pl.mutuallyReachable(append(slices.DeleteFunc(links, func(m Member) bool { return m == heads[0] }), heads...))
		if !slices.Contains(links, heads[0]) {
			return nil
		}
	}
	if links = pl.addReplicas(links, heads, voters); len(links) < pl.cfg.minChainLength() {
		return nil
	}
	arrange(links, heads)
	if links[0].ID != cur.Head() && sameSet(links, cur) && slices.ContainsFunc(heads, func(m Member) bool { return m.ID == cur.Head() }) {
		// A head that works is worth more than one in a better place.
		i := slices.IndexFunc(links, func(m Member) bool { return m.ID == cur.Head() })
		links[0], links[i] = links[i], links[0]
	}
	if sameSet(links, cur) && links[0].ID == cur.Head() {
		return cur.Chain
	}
	var chain []ID
	for _, m := range links {
		chain = append(chain, m.ID)
	}
	return chain
}

// remainingReplicas lists the present links that are fit to stay and hear each other.
func (pl *planner) remainingReplicas(out ID, stuck map[ID]bool, fit func(ID) bool) []Member {
	var links []Member
	for _, l := range pl.acceptor.view.Chain {
		if m, ok := pl.acceptor.view.Voter(l); ok && l != out && fit(l) && !stuck[l] {
			links = append(links, m)
		}
	}
	return pl.mutuallyReachable(links)
}

// countHolders counts the links that hold all that the present chain and those before it have acknowledged.
func (pl *planner) countHolders(links []Member) int {
	n := 0
	for _, m := range links {
		if pl.liveness.durableEpochsOf(m.ID).active == pl.acceptor.view.Epoch {
			n++
		}
	}
	return n
}

// addReplicas adds voters to the links that stay: those that have caught up, and others only where too few would be left.
func (pl *planner) addReplicas(links, heads, voters []Member) []Member {
	fits := func(links []Member, m Member) bool {
		return pl.acceptor.view.chainIndex(m.ID) < 0 && pl.liveness.isEligible(m.ID) &&
			!slices.ContainsFunc(links, func(l Member) bool { return !pl.liveness.hasContact(l.ID, m.ID) || !pl.liveness.hasContact(m.ID, l.ID) })
	}
	for more := true; more && len(links) < pl.cfg.targetChainLength(); {
		links, more = pl.cfg.addBestSpread(links, voters, func(m Member) bool { return fits(links, m) && pl.isCaughtUp(m.ID) })
	}
	for more := true; more && len(links) < pl.cfg.minChainLength(); {
		links, more = pl.cfg.addBestSpread(links, voters, func(m Member) bool { return fits(links, m) })
	}
	if pl.cfg.chainToleratesLosses(links) || len(links) < pl.cfg.targetChainLength() {
		return links
	}
	// All the links there may be stand where one loss takes them all: one gives its place to a voter elsewhere.
	best := links
	for i, l := range links {
		if l == heads[0] || l.ID == pl.acceptor.view.Head() {
			continue
		}
		rest := slices.Delete(slices.Clone(links), i, i+1)
		with, ok := pl.cfg.addBestSpread(rest, voters, func(m Member) bool { return m != l && fits(rest, m) && pl.isCaughtUp(m.ID) })
		if ok && pl.cfg.spread(with).compare(pl.cfg.spread(best)) < 0 {
			best = with
		}
	}
	return best
}

func sameSet(links []Member, v *View) bool {
	return len(links) == len(v.Chain) && !slices.ContainsFunc(links, func(m Member) bool { return v.chainIndex(m.ID) < 0 })
}

// mutuallyReachable drops links until all that are left hear each other.
func (pl *planner) mutuallyReachable(links []Member) []Member {
	for {
		worst, most := -1, 0
		for i, a := range links {
			n := 0
			for _, b := range links {
				if !pl.liveness.hasContact(a.ID, b.ID) || !pl.liveness.hasContact(b.ID, a.ID) {
					n += 2
				}
			}
			if n > 0 && !pl.mayLead(a.ID, false) {
				n++
			}
			if n >= most && n > 0 {
				worst, most = i, n
			}
		}
		if worst < 0 {
			return links
		}
		links = slices.Delete(links, worst, worst+1)
	}
}

// isCaughtUp tells whether a keeper outside the chain has nearly all that is committed.
func (pl *planner) isCaughtUp(id ID) bool {
	if id == pl.self.ID {
		return pl.chain.caughtUp
	}
	p := pl.liveness.peers[id]
	if p == nil || p.eligibleSince < 0 || pl.now-p.eligibleSince < minEligibleTime || p.heartbeat.GetEpoch() != pl.acceptor.view.Epoch {
		return false
	}
	most := pl.chain.commitIndex
	for _, l := range pl.acceptor.view.Chain {
		if q := pl.liveness.peers[l]; q != nil && pl.liveness.isAlive(l) {
			most = max(most, q.heartbeat.GetCommitted())
		}
	}
	return p.heartbeat.GetCommitted()+maxCaughtUpLag >= most
}

// arrange puts the first of heads that is in the region of most links in front, the rest of its region next, and links
// of one region side by side, so that a record crosses each border once.
func arrange(links, heads []Member) {
	count := map[string]int{}
	for _, m := range links {
		count[m.Region]++
	}
	head := heads[0]
	for _, m := range heads {
		if count[m.Region] > count[head.Region] {
			head = m
		}
	}
	first := map[string]int{}
	for i, m := range links {
		if _, ok := first[m.Region]; !ok {
			first[m.Region] = i
		}
	}
	first[head.Region] = -1
	slices.SortStableFunc(links, func(a, b Member) int {
		if (a.ID == head.ID) != (b.ID == head.ID) {
			if a.ID == head.ID {
				return -1
			}
			return 1
		}
		return cmp.Compare(first[a.Region], first[b.Region])
	})
}
