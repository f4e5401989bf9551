package replication

import "slices"

// isQuorum tells whether the keepers in set are a majority of v's voters. Those of epoch 0 are the seeds' addresses, without
// the seeds that are known to be observers.
//
// That two majorities of epoch 0 meet: let D be the seeds with a disk, which alone vote, and K the observers among the
// seeds that a proposer knows of. K holds no member of D, so it counts over at least |D| seeds and needs more than |D|/2
// votes, all of them out of D. Whatever another proposer knows, it needs as many. Knowing fewer observers makes the
// majority larger, never smaller. This takes that a seed does not turn from observer to voter before the first view:
// Config.Bootstrap is set only at the first start of all, and Config.Observer is a property of the machine.
//
// Where all seeds have said that they are observers, D is empty, and the seeds vote for the first view all the same: a
// majority of all of them, with their promises in memory. One whose process ends has no vote any more, since it starts
// without Config.Bootstrap; so nobody votes twice. They name keepers with a disk, and vote no more once there is a view.
func (ac *acceptor) isQuorum(v *View, set map[ID]string) bool {
	n := 0
	if v.Epoch == 0 {
		seen := map[string]bool{}
		for _, a := range set {
			if slices.Contains(ac.cfg.Seeds, a) && !seen[a] {
				seen[a] = true
				n++
			}
		}
		total := len(ac.cfg.Seeds)
		if !ac.liveness.noSeedHasDisk() {
			total -= ac.liveness.observerSeeds()
		}
		return total > 0 && n > total/2
	}
	for _, m := range v.Voters {
		if _, ok := set[m.ID]; ok {
			n++
		}
	}
	return n > len(v.Voters)/2
}
