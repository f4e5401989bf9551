package replication

import "fmt"

// remedy returns a text for operators, in the terms of their runbooks. It is part of the status JSON.
func (c *Core) remedy(have Capacity) string {
	view := c.acceptor.view
	switch {
	case view.Epoch == 0:
		return "no view has been formed: start a majority of the seeds that have a disk, with bootstrap = true at the first start of all"
	case have.ToleranceMet:
		return ""
	case have.Voters < have.VotersDesired && have.Nodes <= have.Voters:
		return fmt.Sprintf("%d keepers with a disk vote and %d are needed: run keepers on %d more machines with a disk, or lower [tolerance]",
			have.Voters, have.VotersDesired, have.VotersDesired-have.Voters)
	case have.Voters < have.VotersDesired:
		return fmt.Sprintf("%d of %d voters: others are being taken in; if this lasts, see whether they reach each other", have.Voters, have.VotersDesired)
	case !c.cfg.votersTolerateLosses(view.Voters):
		return fmt.Sprintf("the worst loss takes %d of %d voters: run keepers with a disk in at least %d zones (and %d regions), or lower [tolerance]",
			c.cfg.worstToleratedLoss(view.Voters), len(view.Voters), 2*c.cfg.ZoneLosses+1, 2*c.cfg.RegionLosses+1)
	}
	return fmt.Sprintf("%d links hold the changes and the worst loss takes all of them: bring the voters back that are no links", len(view.chainMembers()))
}
