package replication

import "slices"

// voterSet is a set of nodes that have promised, accepted or confirmed, with their addresses. The addresses matter only in epoch 0,
// where the seeds vote, which are known by address. readConfirmation, which asks no voters before there is a view, leaves them empty.
type voterSet map[ID]string

// isQuorum reports whether the nodes of the set are a majority of v's voters. In epoch 0 the seeds vote, identified by address,
// except those that are known to be observers.
//
// Two quorums of epoch 0 intersect: let D be the seeds with a disk, which are the only ones that vote, and K the observers among the
// seeds that a proposer knows of. K and D are disjoint, so the proposer counts over at least |D| seeds and needs more than |D|/2
// votes, all of them from D. The same holds for any other proposer, whichever observers it knows of. Knowing of fewer observers makes
// the quorum larger, never smaller. This assumes that a seed does not turn from observer to voter before the first view:
// a vote belongs to a disk of the initial bootstrap (first_start.go), and Config.Observer is a property of the machine.
//
// If all seeds have reported that they are observers, D is empty, and the seeds vote for the first view nevertheless: a majority of
// all of them is required, with their promises in memory. A process that ends has no vote afterwards, since it starts without
// Config.Bootstrap, so no node votes twice. The seeds name nodes with a disk, and do not vote once there is a view.
func (ac *acceptor) isQuorum(v *View, set voterSet) bool {
	if v.Epoch == 0 {
		return ac.isSeedQuorum(set)
	}
	votes := 0
	for _, m := range v.Voters {
		if _, ok := set[m.ID]; ok {
			votes++
		}
	}
	return votes > len(v.Voters)/2
}

// isSeedQuorum reports whether the nodes of the set are a majority of the seeds that vote on the first view.
func (ac *acceptor) isSeedQuorum(set voterSet) bool {
	votes := 0
	counted := map[string]bool{}
	for _, addr := range set {
		if slices.Contains(ac.cfg.Seeds, addr) && !counted[addr] {
			counted[addr] = true
			votes++
		}
	}
	voters := len(ac.cfg.Seeds)
	if !ac.liveness.noSeedHasDisk() {
		voters -= ac.liveness.observerSeeds()
	}
	return voters > 0 && votes > voters/2
}
