package replication

// recordChainReachability records when the chain was last reachable.
func (lv *liveness) recordChainReachability() {
	if lv.canReachChain() {
		lv.chainReachedAt = max(lv.chainReachedAt, lv.now)
	}
}

// isPartitioned reports whether the chain has been unreachable for at least partitionedTimeout.
func (lv *liveness) isPartitioned() bool {
	return lv.now-lv.chainReachedAt >= lv.cfg.partitionedTimeout()
}

// canReachChain reports whether a change requested at this node may be accepted by the current chain, or by one formed by a repair.
func (lv *liveness) canReachChain() bool {
	v := lv.acceptor.view
	if v.Epoch == 0 {
		return lv.canReachAnyPeer() // any peer may send a view
	}
	return lv.canReachHead(v) || lv.hasMajorityAlive(v.Voters)
}

func (lv *liveness) canReachAnyPeer() bool {
	for id := range lv.peers {
		if lv.isAlive(id) {
			return true
		}
	}
	return false
}

// canReachHead reports whether this node exchanges messages with the head or, if it is the head, with its successor.
func (lv *liveness) canReachHead(v *View) bool {
	if v.Head() != lv.self.ID {
		return lv.isAlive(v.Head())
	}
	return len(v.Chain) == 1 || lv.isAlive(v.Chain[1])
}
