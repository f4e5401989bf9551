package replication

// How long a keeper goes on without a way to the chain before it counts as cut off, as part of Config.Suspect: 500 ms with
// the default times, after those that it counted on are suspected.
const partitionedNumerator, partitionedDenominator = 5, 7

// observeReach notes when there was last a way to the chain.
func (c *liveness) observeReach() {
	if c.reachesChain() {
		c.chainReachedAt = max(c.chainReachedAt, c.now)
	}
}

// reachesChain tells whether a change asked for here may be taken by the present chain, or by one that a repair makes.
func (c *liveness) reachesChain() bool {
	v := c.acceptor.view
	if v.Epoch == 0 { // whoever answers may tell of a view
		for id := range c.peers {
			if c.isAlive(id) {
				return true
			}
		}
		return false
	}
	return c.reachesHead(v) || c.reachesMajority(v)
}

// reachesHead tells whether this keeper exchanges messages with the head, or as the head with the link after it.
func (c *liveness) reachesHead(v *View) bool {
	if v.Head() != c.self.ID {
		return c.isAlive(v.Head())
	}
	return len(v.Chain) == 1 || c.isAlive(v.Chain[1])
}

// reachesMajority tells whether this keeper exchanges messages with a majority of the voters, itself among them if it votes.
func (c *liveness) reachesMajority(v *View) bool {
	reached := map[ID]string{}
	for _, m := range v.Voters {
		if c.isAlive(m.ID) {
			reached[m.ID] = m.Addr
		}
	}
	return c.acceptor.isQuorum(v, reached)
}
