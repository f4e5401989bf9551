package replication

import (
	"maps"
	"slices"
	"time"
)

const (
	replaceVoterTimeout      = 1500 * time.Millisecond // time without contact until another node may replace a voter
	minRebalanceEligibleTime = 600 * time.Millisecond  // a node must be eligible for this long before it replaces a working voter
)

// replacement replaces a voter with a joiner.
type replacement struct {
	index  int // of the voter
	joiner Member
}

// planVoters adds at most one node: in place of a lost voter, as an additional voter, or in place of a working voter if the voters do
// not tolerate the loss of a zone. One exchange per view ensures that the quorums of consecutive views overlap. It also returns the
// voter that is replaced, or an empty ID.
func (pl *planner) planVoters() (voters []Member, replaced ID) {
	voters = slices.Clone(pl.acceptor.view.Voters)
	joiners := pl.joiners()
	if len(joiners) == 0 {
		return voters, ""
	}
	if r, ok := pl.replaceLostVoter(joiners); ok {
		replaced = voters[r.index].ID
		voters[r.index] = r.joiner
		return voters, replaced
	}
	if len(voters) < pl.cfg.targetVoters() {
		voters, _ = pl.cfg.addBestSpread(voters, joiners, func(Member) bool { return true })
		return voters, ""
	}
	return pl.rebalanceVoters(voters, joiners)
}

// joiners returns the nodes that could become voters, ordered by identity. If no voter may lead, it returns only those that may lead,
// if there are any.
func (pl *planner) joiners() []Member {
	var all, heads []Member
	for _, id := range slices.Sorted(maps.Keys(pl.liveness.peers)) {
		p := pl.liveness.peers[id]
		if _, isVoter := pl.acceptor.view.Voter(id); isVoter || !pl.liveness.isEligible(id) || p.eligibleSince < 0 {
			continue
		}
		all = append(all, p.member)
		if pl.isHeadless() && pl.mayLead(id, assumeAliveSealed) {
			heads = append(heads, p.member)
		}
	}
	if len(heads) > 0 {
		return heads
	}
	return all
}

// isHeadless reports whether no chain replica may lead.
func (pl *planner) isHeadless() bool { return pl.headlessSince >= 0 }

// replaceLostVoter finds a lost voter and the joiner that replaces it: a joiner at the same address or, if there is none, the one
// that leaves the voters best spread. If no voter can lead, a joiner that can may replace any of them.
func (pl *planner) replaceLostVoter(joiners []Member) (replacement, bool) {
	voters := pl.acceptor.view.Voters
	for _, joiner := range joiners {
		i := slices.IndexFunc(voters, func(m Member) bool { return m.Addr == joiner.Addr && !pl.liveness.isAlive(m.ID) })
		if i >= 0 {
			return replacement{index: i, joiner: joiner}, true
		}
	}
	if r, ok := pl.bestReplacement(voters, joiners, pl.liveness.isLost); ok {
		return r, true
	}
	if pl.isHeadless() && len(voters) >= pl.cfg.targetVoters() && pl.mayLead(joiners[0].ID, assumeAliveSealed) {
		return pl.bestReplacement(voters, joiners, func(m Member) bool {
			return m.ID != pl.self.ID && !pl.mayLead(m.ID, assumeAliveSealed)
		})
	}
	return replacement{}, false
}

// bestReplacement finds the replacement, among the voters that may be replaced, that leaves the voters best spread; among equals, the
// first one.
func (pl *planner) bestReplacement(voters, joiners []Member, isReplaceable func(Member) bool) (best replacement, found bool) {
	var bestExposure exposure
	for i, voter := range voters {
		if !isReplaceable(voter) {
			continue
		}
		for _, joiner := range joiners {
			with := slices.Clone(voters)
			with[i] = joiner
			if s := pl.cfg.exposure(with); !found || s.compare(bestExposure) < 0 {
				best, found, bestExposure = replacement{index: i, joiner: joiner}, true, s
			}
		}
	}
	return best, found
}

// rebalanceVoters replaces a working voter with a joiner, if the loss of a zone or region would take the majority and this reduces
// the exposure. It never replaces the head, nor a replica that the chain needs.
func (pl *planner) rebalanceVoters(voters, joiners []Member) ([]Member, ID) {
	if pl.cfg.votersTolerateLosses(voters) || pl.isHeadless() || !pl.isStable() {
		return voters, ""
	}
	joiners = slices.DeleteFunc(joiners, func(m Member) bool {
		return !pl.liveness.peers[m.ID].isEligibleFor(minRebalanceEligibleTime, pl.now)
	})
	best, ok := pl.bestReplacement(voters, joiners, pl.isSpare)
	if !ok {
		return voters, ""
	}
	with := slices.Clone(voters)
	with[best.index] = best.joiner
	if pl.cfg.exposure(with).compare(pl.cfg.exposure(voters)) >= 0 {
		return voters, ""
	}
	return with, voters[best.index].ID
}

// isSpare reports whether the chain does not need the voter.
func (pl *planner) isSpare(m Member) bool {
	v := pl.acceptor.view
	return m.ID != v.Head() && (v.chainIndex(m.ID) < 0 || len(v.Chain) > pl.cfg.minChainLength())
}

// isStable reports whether every voter is eligible and every chain replica is active in the current epoch.
func (pl *planner) isStable() bool {
	v := pl.acceptor.view
	return !slices.ContainsFunc(v.Voters, func(m Member) bool { return !pl.liveness.isEligible(m.ID) }) &&
		!slices.ContainsFunc(v.Chain, func(id ID) bool { return pl.liveness.durableEpochsOf(id).active != v.Epoch })
}
