package replication

// How long a keeper goes on without a way to the chain before it counts as cut off, as part of Config.Suspect: 500 ms with
// the default times, after those that it counted on are suspected.
const partitionedNumerator, partitionedDenominator = 5, 7

// observeReach notes when there was last a way to the chain.
func (lv *liveness) observeReach() {
	if lv.reachesChain() {
		lv.chainReachedAt = max(lv.chainReachedAt, lv.now)
	}
}

// reachesChain tells whether a change asked for here may be taken by the present chain, or by one that a repair makes.
func (lv *liveness) reachesChain() bool {
	v := lv.acceptor.view
	if v.Epoch == 0 { // whoever answers may tell of a view
		for id := range lv.peers {
			if lv.isAlive(id) {
				return true
			}
		}
		return false
	}
	return lv.reachesHead(v) || lv.reachesMajority(v)
}

// reachesHead tells whether this keeper exchanges messages with the head, or as the head with the link after it.
func (lv *liveness) reachesHead(v *View) bool {
	if v.Head() != lv.self.ID {
		return lv.isAlive(v.Head())
	}
	return len(v.Chain) == 1 || lv.isAlive(v.Chain[1])
}

// reachesMajority tells whether this keeper exchanges messages with a majority of the voters, itself among them if it votes.
func (lv *liveness) reachesMajority(v *View) bool {
	reached := map[ID]string{}
	for _, m := range v.Voters {
		if lv.isAlive(m.ID) {
			reached[m.ID] = m.Addr
		}
	}
	return lv.acceptor.isQuorum(v, reached)
}
