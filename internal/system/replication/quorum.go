package replication

import "slices"

// voterSet is nodes that promised, accepted or confirmed, with their addresses. The addresses count in epoch 0 alone, where the seeds vote,
// which are known by address; readConfirmation, which asks nobody before there is a view, leaves them empty.
type voterSet map[ID]string

// isQuorum reports whether the nodes of the set are a majority of v's voters. In epoch 0 the seeds vote, by address, without those that
// are known to be observers.
//
// That two quorums of epoch 0 meet: let D be the seeds with a disk, which alone vote, and K the observers among the seeds that a
// proposer knows of. K and D have no member in common, so the proposer counts over at least |D| seeds and needs more than |D|/2 votes,
// all of them out of D. Whatever another proposer knows, it needs as many. To know of fewer observers makes the quorum larger, never
// smaller. This assumes that a seed does not turn from observer to voter before the first view: Config.Bootstrap is set only at the
// first start of all, and Config.Observer is a property of the machine.
//
// Where all seeds have said that they are observers, D is empty, and the seeds vote for the first view all the same: a majority of all
// of them, with their promises in memory. A process that ends has no vote afterwards, since it starts without Config.Bootstrap, so
// nobody votes twice. They name nodes with a disk, and do not vote once there is a view.
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
