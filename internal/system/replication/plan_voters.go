package replication

import (
	"maps"
	"slices"
	"time"
)

const (
	replaceVote    = 1500 * time.Millisecond // silence after which a joiner takes a voter's place
	rebalanceAfter = 600 * time.Millisecond  // a keeper is good for this long before it takes the place of a voter that works
)

// planVoters takes in one joiner at most: in the place of a voter that is lost, as one more, or in the place of a voter
// that works where the voters do not bear the loss of a zone. It gives the voter whose place is taken.
func (c *Core) planVoters() (voters []Member, out ID) {
	voters = slices.Clone(c.reg.view.Voters)
	joiners := c.joiners()
	if len(joiners) == 0 {
		return voters, ""
	}
	if i, in, ok := c.replacement(joiners); ok {
		out = voters[i].ID
		voters[i] = in
		return voters, out
	}
	if len(voters) < c.cfg.voters() {
		voters, _ = c.cfg.pick(voters, joiners, func(Member) bool { return true })
		return voters, ""
	}
	return c.rebalanced(voters, joiners)
}

// joiners lists the keepers that could become voters, by identity; where no voter may lead, those that may.
func (c *Core) joiners() []Member {
	var all, heads []Member
	for _, id := range slices.Sorted(maps.Keys(c.peers)) {
		if _, ok := c.reg.view.Voter(id); ok || !c.good(id) || c.peers[id].goodAt < 0 {
			continue
		}
		all = append(all, c.peers[id].member)
		if c.noHeadSince >= 0 && c.mayLead(id, true) {
			heads = append(heads, c.peers[id].member)
		}
	}
	if len(heads) > 0 {
		return heads
	}
	return all
}

// replacement finds a voter that is lost and the joiner that takes its place: at its machine's address, or else where it
// leaves the voters spread best.
func (c *Core) replacement(joiners []Member) (place int, in Member, ok bool) {
	voters := c.reg.view.Voters
	for _, j := range joiners {
		if i := slices.IndexFunc(voters, func(m Member) bool { return m.Addr == j.Addr && !c.alive(m.ID) }); i >= 0 {
			return i, j, true
		}
	}
	if place, in, ok = c.bestSwap(voters, joiners, c.gone); ok {
		return place, in, true
	}
	if c.noHeadSince >= 0 && len(voters) >= c.cfg.voters() && c.mayLead(joiners[0].ID, true) {
		// None of the voters can lead, so one who can must become one first, in anyone's place if need be.
		return c.bestSwap(voters, joiners, func(m Member) bool { return m.ID != c.reg.self.ID && !c.mayLead(m.ID, true) })
	}
	return 0, Member{}, false
}

// gone tells whether a voter was not heard for long.
func (c *Core) gone(m Member) bool {
	p := c.peers[m.ID]
	return m.ID != c.reg.self.ID && !c.alive(m.ID) && (p == nil || c.now-p.heardAt > replaceVote)
}

// bestSwap finds the voter, of those that may go, and the joiner in its place that leave the voters spread best; the
// first of those that are alike.
func (c *Core) bestSwap(voters, joiners []Member, mayGo func(Member) bool) (place int, in Member, ok bool) {
	var best spread
	for i, m := range voters {
		if !mayGo(m) {
			continue
		}
		for _, j := range joiners {
			with := slices.Clone(voters)
			with[i] = j
			if s := c.cfg.spread(with); !ok || s.compare(best) < 0 {
				place, in, ok, best = i, j, true, s
			}
		}
	}
	return place, in, ok
}

// rebalanced puts a joiner in the place of a voter that works, where the loss of a zone or region would take the
// majority and this makes it smaller. It never takes the head, nor a link that the chain cannot spare.
func (c *Core) rebalanced(voters, joiners []Member) ([]Member, ID) {
	if c.cfg.votersBear(voters) || c.noHeadSince >= 0 || !c.allWell() {
		return voters, ""
	}
	joiners = slices.DeleteFunc(joiners, func(m Member) bool { return c.now-c.peers[m.ID].goodAt < rebalanceAfter })
	chain := c.reg.view.Chain
	place, in, ok := c.bestSwap(voters, joiners, func(m Member) bool {
		return m.ID != c.reg.view.Head() && (c.reg.view.place(m.ID) < 0 || len(chain) > c.cfg.links())
	})
	if !ok {
		return voters, ""
	}
	with := slices.Clone(voters)
	with[place] = in
	if c.cfg.spread(with).compare(c.cfg.spread(voters)) >= 0 {
		return voters, ""
	}
	return with, voters[place].ID
}

// allWell tells whether every voter is good and every link active in the present epoch.
func (c *Core) allWell() bool {
	v := c.reg.view
	return !slices.ContainsFunc(v.Voters, func(m Member) bool { return !c.good(m.ID) }) &&
		!slices.ContainsFunc(v.Chain, func(id ID) bool { return c.standing(id).active != v.Epoch })
}
