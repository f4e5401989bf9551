package replication

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
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
func (c *planner) plan() (*View, int) {
	cur := c.acceptor.view
	if cur.Epoch == 0 {
		return c.planFirst()
	}
	var chain []ID
	voters, out := c.planVoters()
	if c.liveness.hasMajorityAlive(cur.Voters) && c.liveness.hasMajorityAlive(voters) {
		chain = c.planChain(voters, out)
	}
	if chain == nil {
		return nil, 0
	}
	next := &View{Epoch: cur.Epoch + 1, Chain: chain, Voters: voters}
	if next.hasSameMembers(cur) && !c.isSealed() {
		return nil, 0
	}
	next.base = c.liveness.durableEpochsOf(chain[0]).active
	next.past = c.earlierChains()
	rank := 0
	for _, m := range cur.Voters {
		if m.ID == c.self.ID {
			break
		}
		if c.liveness.isEligible(m.ID) {
			rank++
		}
	}
	return next, rank
}

// planFirst gives the first view: of the seeds with a disk, and others up to the number of voters aimed at.
func (c *planner) planFirst() (*View, int) {
	for _, id := range slices.Sorted(maps.Keys(c.liveness.peers)) {
		if c.liveness.peers[id].heartbeat.GetEpoch() > 0 {
			return nil, 0 // the view is on its way
		}
	}
	founders := c.seedsWithDisk()
	members := c.completeFounders(founders)
	enough := len(founders)+c.liveness.observerSeeds() >= len(c.cfg.Seeds)
	if c.liveness.noSeedHasDisk() {
		enough = len(members) >= c.cfg.targetVoters()
	}
	known := map[ID]string{}
	for _, m := range founders {
		known[m.ID] = m.Addr
	}
	if len(members) == 0 || !c.liveness.noSeedHasDisk() && !c.acceptor.isQuorum(c.acceptor.view, known) {
		c.seedMajoritySince = -1
		return nil, 0
	}
	if c.seedMajoritySince < 0 {
		c.seedMajoritySince = c.now
	}
	if !enough && c.now-c.seedMajoritySince < firstViewDelay {
		return nil, 0
	}
	heads := c.longestLogs(members)
	links := []Member{heads[0]}
	for more := true; more && len(links) < c.cfg.targetChainLength(); {
		links, more = c.cfg.addBestSpread(links, members, func(Member) bool { return true })
	}
	arrange(links, slices.DeleteFunc(heads, func(m Member) bool { return !slices.Contains(links, m) }))
	v := &View{Epoch: 1, Voters: members}
	for _, m := range links {
		v.Chain = append(v.Chain, m.ID)
	}
	rank := slices.IndexFunc(members, func(m Member) bool { return m.ID == c.self.ID })
	if c.cfg.Observer {
		rank = slices.Index(c.cfg.Seeds, c.self.Addr)
	}
	return v, max(rank, 0)
}

// seedsWithDisk lists the seeds that may found the first view and are heard, in the order of the seeds.
func (c *planner) seedsWithDisk() []Member {
	var members []Member
	if !c.cfg.Observer {
		members = append(members, c.self)
	}
	for id, p := range c.liveness.peers {
		if slices.Contains(c.cfg.Seeds, p.member.Addr) && p.heartbeat.GetBootstrap() && !p.heartbeat.GetObserver() && c.liveness.isAlive(id) {
			members = append(members, p.member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(slices.Index(c.cfg.Seeds, a.Addr), slices.Index(c.cfg.Seeds, b.Addr)), cmp.Compare(a.ID, b.ID))
	})
	return slices.CompactFunc(members, func(a, b Member) bool { return a.Addr == b.Addr })
}

// completeFounders fills up the voters of the first view with keepers that are no seeds. The view is chosen by a majority of
// the seeds, and of its own voters as any other.
func (c *planner) completeFounders(members []Member) []Member {
	var others []Member
	for _, id := range slices.Sorted(maps.Keys(c.liveness.peers)) {
		p := c.liveness.peers[id]
		known := slices.ContainsFunc(members, func(m Member) bool { return m.Addr == p.member.Addr })
		if !known && p.heartbeat.GetBootstrap() && p.heartbeat.GetEpoch() == 0 && c.liveness.isEligible(id) {
			others = append(others, p.member)
		}
	}
	for more := true; more && len(members) < c.cfg.targetVoters(); {
		members, more = c.cfg.addBestSpread(members, others, func(m Member) bool {
			return !slices.ContainsFunc(members, func(o Member) bool { return o.Addr == m.Addr })
		})
	}
	return members
}

func (c *liveness) hasMajorityAlive(voters []Member) bool {
	n := 0
	for _, m := range voters {
		if c.isAlive(m.ID) {
			n++
		}
	}
	return n > len(voters)/2
}

// planChain picks the links: those of the present chain that work, and voters that have caught up. It is nil when no
// chain that may acknowledge can be had.
func (c *planner) planChain(voters []Member, out ID) []ID {
	cur := c.acceptor.view
	stuck := map[ID]bool{}
	for i := 0; i+1 < len(cur.Chain); i++ {
		a, b := cur.Chain[i], cur.Chain[i+1]
		if a == c.self.ID {
			stuck[b] = c.chain.stalledSuccessor() == b
		} else if p := c.liveness.peers[a]; p != nil && c.liveness.isAlive(a) && p.heartbeat.GetEpoch() == cur.Epoch {
			stuck[b] = ID(p.heartbeat.GetStuck()) == b
		}
	}
	links := c.remainingReplicas(out, stuck, c.liveness.isEligible)
	if c.countHolders(links) < c.cfg.minChainLength() {
		// Those who leave stay until enough others hold what was acknowledged.
		links = c.remainingReplicas(out, stuck, c.liveness.isHealthy)
	}
	heads := slices.DeleteFunc(slices.Clone(links), func(m Member) bool { return !c.mayLead(m.ID, false) })
	if slices.ContainsFunc(heads, func(m Member) bool { return c.liveness.isEligible(m.ID) }) {
		heads = slices.DeleteFunc(heads, func(m Member) bool { return !c.liveness.isEligible(m.ID) })
	}
	if len(heads) > 0 {
		c.headlessSince = -1
	} else {
		if heads = c.findHead(voters); len(heads) == 0 {
			return nil
		}
		links = c.mutuallyReachable(append(slices.DeleteFunc(links, func(m Member) bool { return m == heads[0] }), heads...))
		if !slices.Contains(links, heads[0]) {
			return nil
		}
	}
	if links = c.addReplicas(links, heads, voters); len(links) < c.cfg.minChainLength() {
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
func (c *planner) remainingReplicas(out ID, stuck map[ID]bool, fit func(ID) bool) []Member {
	var links []Member
	for _, l := range c.acceptor.view.Chain {
		if m, ok := c.acceptor.view.Voter(l); ok && l != out && fit(l) && !stuck[l] {
			links = append(links, m)
		}
	}
	return c.mutuallyReachable(links)
}

// countHolders counts the links that hold all that the present chain and those before it have acknowledged.
func (c *planner) countHolders(links []Member) int {
	n := 0
	for _, m := range links {
		if c.liveness.durableEpochsOf(m.ID).active == c.acceptor.view.Epoch {
			n++
		}
	}
	return n
}

// addReplicas adds voters to the links that stay: those that have caught up, and others only where too few would be left.
func (c *planner) addReplicas(links, heads, voters []Member) []Member {
	fits := func(links []Member, m Member) bool {
		return c.acceptor.view.chainIndex(m.ID) < 0 && c.liveness.isEligible(m.ID) &&
			!slices.ContainsFunc(links, func(l Member) bool { return !c.liveness.hasContact(l.ID, m.ID) || !c.liveness.hasContact(m.ID, l.ID) })
	}
	for more := true; more && len(links) < c.cfg.targetChainLength(); {
		links, more = c.cfg.addBestSpread(links, voters, func(m Member) bool { return fits(links, m) && c.isCaughtUp(m.ID) })
	}
	for more := true; more && len(links) < c.cfg.minChainLength(); {
		links, more = c.cfg.addBestSpread(links, voters, func(m Member) bool { return fits(links, m) })
	}
	if c.cfg.chainToleratesLosses(links) || len(links) < c.cfg.targetChainLength() {
		return links
	}
	// All the links there may be stand where one loss takes them all: one gives its place to a voter elsewhere.
	best := links
	for i, l := range links {
		if l == heads[0] || l.ID == c.acceptor.view.Head() {
			continue
		}
		rest := slices.Delete(slices.Clone(links), i, i+1)
		with, ok := c.cfg.addBestSpread(rest, voters, func(m Member) bool { return m != l && fits(rest, m) && c.isCaughtUp(m.ID) })
		if ok && c.cfg.spread(with).compare(c.cfg.spread(best)) < 0 {
			best = with
		}
	}
	return best
}

func sameSet(links []Member, v *View) bool {
	return len(links) == len(v.Chain) && !slices.ContainsFunc(links, func(m Member) bool { return v.chainIndex(m.ID) < 0 })
}

// mutuallyReachable drops links until all that are left hear each other.
func (c *planner) mutuallyReachable(links []Member) []Member {
	for {
		worst, most := -1, 0
		for i, a := range links {
			n := 0
			for _, b := range links {
				if !c.liveness.hasContact(a.ID, b.ID) || !c.liveness.hasContact(b.ID, a.ID) {
					n += 2
				}
			}
			if n > 0 && !c.mayLead(a.ID, false) {
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
func (c *planner) isCaughtUp(id ID) bool {
	if id == c.self.ID {
		return c.chain.caughtUp
	}
	p := c.liveness.peers[id]
	if p == nil || p.eligibleSince < 0 || c.now-p.eligibleSince < minEligibleTime || p.heartbeat.GetEpoch() != c.acceptor.view.Epoch {
		return false
	}
	most := c.chain.commitIndex
	for _, l := range c.acceptor.view.Chain {
		if q := c.liveness.peers[l]; q != nil && c.liveness.isAlive(l) {
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
