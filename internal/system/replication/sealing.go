package replication

import (
	"slices"
	"time"
)

const sealTimeout = time.Second // time without a chain replica that may lead

// findHead looks for a head outside the chain when no replica of the chain may lead because all that were active are lost. If a voter
// could lead once the others have sealed the epoch, it requests seals, once per sealTimeout, and continues the search when the seals
// have been reported.
func (pl *planner) findHead(voters []Member) (head []Member, sealsWanted bool) {
	if pl.headlessSince < 0 {
		pl.headlessSince = pl.now
	}
	if pl.now-pl.headlessSince < sealTimeout {
		return nil, false
	}
	canLead := func(seals sealAssumption) func(Member) bool {
		return func(m Member) bool { return pl.liveness.isHealthy(m.ID) && pl.mayLead(m.ID, seals) }
	}
	if i := slices.IndexFunc(voters, canLead(reportedSealsOnly)); i >= 0 {
		return []Member{voters[i]}, false
	}
	if sealsWanted = slices.ContainsFunc(voters, canLead(assumeAliveSealed)); sealsWanted {
		pl.headlessSince = pl.now
	}
	return nil, sealsWanted
}

// requestSeals asks the replicas that are alive to seal the epoch.
func (pr *proposer) requestSeals() {
	view := pr.acceptor.view
	for _, id := range view.Chain {
		if pr.liveness.isAlive(id) {
			pr.send(id, sealMessage(view.Epoch))
		}
	}
}

// isSealed reports whether a replica has sealed the current epoch, so that the epoch needs a successor even if nothing else is wrong.
func (pl *planner) isSealed() bool {
	return slices.ContainsFunc(pl.acceptor.view.Chain, func(id ID) bool {
		return pl.liveness.durableEpochsOf(id).sealed == pl.acceptor.view.Epoch
	})
}
