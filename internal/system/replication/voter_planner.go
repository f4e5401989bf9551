package replication

import (
	"maps"
	"slices"
	"time"
)

const (
	replaceVoterTimeout      = 1500 * time.Millisecond // silence after which a joiner takes a voter's place
	minRebalanceEligibleTime = 600 * time.Millisecond  // a keeper is good for this long before it takes the place of a voter that works
)

// planVoters takes in one joiner at most: in the place of a voter that is lost, as one more, or in the place of a voter
// that works where the voters do not bear the loss of a zone. It gives the voter whose place is taken.
func (pl *planner) planVoters() (voters []Member, out ID) {
	voters = slices.Clone(pl.acceptor.view.Voters)
	joiners := pl.joiners()
	if len(joiners) == 0 {
		return voters, ""
	}
	if i, in, ok := pl.replacement(joiners); ok {
		out = voters[i].ID
		voters[i] = in
		return voters, out
	}
	if len(voters) < pl.cfg.targetVoters() {
		voters, _ = pl.cfg.addBestSpread(voters, joiners, func(Member) bool { return true })
		return voters, ""
	}
	return pl.rebalanced(voters, joiners)
}

// joiners lists the keepers that could become voters, by identity; where no voter may lead, those that may.
func (pl *planner) joiners() []Member {
	var all, heads []Member
	for _, id := range slices.Sorted(maps.Keys(pl.liveness.peers)) {
		if _, ok := pl.acceptor.view.Voter(id); ok || !pl.liveness.isEligible(id) || pl.liveness.peers[id].eligibleSince < 0 {
			continue
		}
		all = append(all, pl.liveness.peers[id].member)
		if pl.headlessSince >= 0 && pl.mayLead(id, true) {
			heads = append(heads, pl.liveness.peers[id].member)
		}
	}
	if len(heads) > 0 {
		return heads
	}
	return all
}

// replacement finds a voter that is lost and the joiner that takes its place: at its machine's address, or else where it
// leaves the voters spread best.
func (pl *planner) replacement(joiners []Member) (place int, in Member, ok bool) {
	voters := pl.acceptor.view.Voters
	for _, j := range joiners {
		if i := slices.IndexFunc(voters, func(m Member) bool { return m.Addr == j.Addr && !pl.liveness.isAlive(m.ID) }); i >= 0 {
			return i, j, true
		}
	}
	if place, in, ok = pl.bestSwap(voters, joiners, pl.liveness.isLost); ok {
		return place, in, true
	}
	if pl.headlessSince >= 0 && len(voters) >= pl.cfg.targetVoters() && pl.mayLead(joiners[0].ID, true) {
		// None of the voters can lead, so one who can must become one first, in anyone's place if need be.
		return pl.bestSwap(voters, joiners, func(m Member) bool { return m.ID != pl.self.ID && !pl.mayLead(m.ID, true) })
	}
	return 0, Member{}, false
}

// isLost tells whether a voter was not heard for long.
func (lv *liveness) isLost(m Member) bool {
	p := lv.peers[m.ID]
	return m.ID != lv.self.ID && !lv.isAlive(m.ID) && (p == nil || lv.now-p.lastContactAt > replaceVoterTimeout)
}

// bestSwap finds the voter, of those that may go, and the joiner in its place that leave the voters spread best; the
// first of those that are alike.
func (pl *planner) bestSwap(voters, joiners []Member, mayGo func(Member) bool) (place int, in Member, ok bool) {
	var best spread
	for i, m := range voters {
		if !mayGo(m) {
			continue
		}
		for _, j := range joiners {
			with := slices.Clone(voters)
			with[i] = j
			if s := pl.cfg.spread(with); !ok || s.compare(best) < 0 {
				place, in, ok, best = i, j, true, s
			}
		}
	}
	return place, in, ok
}

// rebalanced puts a joiner in the place of a voter that works, where the loss of a zone or region would take the
// majority and this makes it smaller. It never takes the head, nor a link that the chain cannot spare.
func (pl *planner) rebalanced(voters, joiners []Member) ([]Member, ID) {
	if pl.cfg.votersTolerateLosses(voters) || pl.headlessSince >= 0 || !pl.isStable() {
		return voters, ""
	}
	joiners = slices.DeleteFunc(joiners, func(m Member) bool { return pl.now-pl.liveness.peers[m.ID].eligibleSince < minRebalanceEligibleTime })
	chain := pl.acceptor.view.Chain
	place, in, ok := pl.bestSwap(voters, joiners, func(m Member) bool {
		return m.ID != pl.acceptor.view.Head() && (pl.acceptor.view.chainIndex(m.ID) < 0 || len(chain) > pl.cfg.minChainLength())
	})
	if !ok {
		return voters, ""
	}
	with := slices.Clone(voters)
	with[place] = in
	if pl.cfg.spread(with).compare(pl.cfg.spread(voters)) >= 0 {
		return voters, ""
	}
	return with, voters[place].ID
}

// isStable tells whether every voter is good and every link active in the present epoch.
func (pl *planner) isStable() bool {
	v := pl.acceptor.view
	return !slices.ContainsFunc(v.Voters, func(m Member) bool { return !pl.liveness.isEligible(m.ID) }) &&
		!slices.ContainsFunc(v.Chain, func(id ID) bool { return pl.liveness.durableEpochsOf(id).active != v.Epoch })
}
