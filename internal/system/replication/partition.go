package replication

// observeReach remembers when the chain was last reachable.
func (lv *liveness) observeReach() {
	if lv.reachesChain() {
		lv.chainReachedAt = max(lv.chainReachedAt, lv.now)
	}
}

// isPartitioned reports whether the chain has been out of reach for long.
func (lv *liveness) isPartitioned() bool {
	return lv.now-lv.chainReachedAt >= lv.cfg.partitionedTimeout()
}

// reachesChain reports whether a change asked for here may be accepted by the present chain, or by one that a repair makes.
func (lv *liveness) reachesChain() bool {
	v := lv.acceptor.view
	if v.Epoch == 0 {
		return lv.reachesAnyone() // any peer may send a view
	}
	return lv.reachesHead(v) || lv.hasMajorityAlive(v.Voters)
}

func (lv *liveness) reachesAnyone() bool {
	for id := range lv.peers {
		if lv.isAlive(id) {
			return true
		}
	}
	return false
}

// reachesHead reports whether this node exchanges messages with the head, or as the head with its successor.
func (lv *liveness) reachesHead(v *View) bool {
	if v.Head() != lv.self.ID {
		return lv.isAlive(v.Head())
	}
	return len(v.Chain) == 1 || lv.isAlive(v.Chain[1])
}
