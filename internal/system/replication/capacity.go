package replication

// Capacity compares the nodes that exist with the nodes that the configured tolerance needs.
type Capacity struct {
	Nodes                 int    // alive, with a disk
	Observers             int    // alive, without a disk
	Voters                int    // of the current view
	TimedOutVoters        int    // of those, not alive: they count towards the losses that must be tolerated
	VotersDesired         int    // so that a majority remains after any loss that must be tolerated
	ChainReplicas         int    // of the current view
	ChainReplicasRequired int    // a shorter chain acknowledges no change
	ChainReplicasDesired  int    // so that after the loss of one, changes need not wait until another has caught up
	ToleranceMet          bool   // a majority of the voters and a chain replica remain after any loss that must be tolerated
	Remedy                string // one line that states what is missing and what to do; empty if nothing is missing
}

// Capacity returns the capacity of the fleet as seen by this core.
func (c *Core) Capacity() Capacity {
	v := c.acceptor.view
	replicas := v.chainMembers()
	have := Capacity{
		Voters: len(v.Voters), VotersDesired: c.cfg.targetVoters(), ChainReplicas: len(v.Chain),
		ChainReplicasRequired: c.cfg.minChainLength(), ChainReplicasDesired: min(c.cfg.targetVoters(), c.cfg.targetChainLength()),
		ToleranceMet: v.Epoch > 0 && c.cfg.votersTolerateLosses(v.Voters) && c.cfg.chainToleratesLosses(replicas),
	}
	have.Nodes, have.Observers = c.countNodes()
	for _, m := range v.Voters {
		if !c.liveness.isAlive(m.ID) {
			have.TimedOutVoters++
		}
	}
	have.Remedy = c.remedy(have)
	return have
}

// countNodes counts the nodes that are alive, including this one.
func (c *Core) countNodes() (withDisk, observers int) {
	if c.cfg.Observer {
		observers++
	} else {
		withDisk++
	}
	for id, p := range c.liveness.peers {
		switch {
		case !c.liveness.isAlive(id):
		case p.heartbeat.GetObserver():
			observers++
		default:
			withDisk++
		}
	}
	return withDisk, observers
}

// needsSameAction reports whether two capacities need the same action by the operator.
func (c *Capacity) needsSameAction(other Capacity) bool {
	return c.ToleranceMet == other.ToleranceMet && c.Remedy == other.Remedy
}
