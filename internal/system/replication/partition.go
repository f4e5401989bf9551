package replication

// observeReach records when the chain was last reachable.
func (lv *liveness) observeReach() {
	if lv.reachesChain() {
		lv.chainReachedAt = max(lv.chainReachedAt, lv.now)
	}
}

// isPartitioned reports whether the chain has been unreachable for at least partitionedTimeout.
func (lv *liveness) isPartitioned() bool {
	return lv.now-lv.chainReachedAt >= lv.cfg.partitionedTimeout()
}

// reachesChain reports whether a change requested at this node may be accepted by the current chain, or by one formed by a repair.
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

// reachesHead reports whether this node exchanges messages with the head or, if it is the head, with its successor.
func (lv *liveness) reachesHead(v *View) bool {
	if v.Head() != lv.self.ID {
		return lv.isAlive(v.Head())
	}
	return len(v.Chain) == 1 || lv.isAlive(v.Chain[1])
}
