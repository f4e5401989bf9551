package replication

import (
	"slices"
	"time"
)

func (w *clusterSim) inject(f fault) {
	w.after(f.at-w.now, func() {
		if w.faultsOver {
			return
		}
		w.trace("%v FAULT %v", w.now, f)
		w.apply(f)
	})
}

// apply injects a fault now.
func (w *clusterSim) apply(cause fault) {
	if w.faultsOver {
		return
	}
	w.recordDisturbance()
	first, second := w.nodes[cause.a], w.nodes[cause.b]
	switch cause.kind {
	case faultKill:
		first.kill()
		first.restartAfter(cause.duration)
	case faultPowerAll:
		w.powerAll(cause)
	case faultPause:
		first.pause(cause.duration)
	case faultPartitionPair, faultPartitionOneWay, faultIsolate, faultSplit, faultLoss, faultDelay:
		w.applyToNetwork(cause, first, second)
	case faultDiskFull, faultDiskSlow, faultDiskStall, faultDisksFullButOne:
		w.applyToDisk(cause, first)
	case faultWipe:
		if w.loseDisk(first) {
			first.restartAfter(cause.duration)
		}
	case faultReplace:
		w.replace(first, cause)
	case faultLeave:
		first.leave(cause.ackTimeout(), func() {
			first.kill()
			first.restartAfter(cause.duration)
		})
	case faultPowerAfterAck:
		w.onAck = append(w.onAck, func() { w.powerAll(cause) })
	case faultWipeAfterAck:
		w.onAck = append(w.onAck, func() {
			if w.loseDisk(first) {
				first.restartAfter(cause.duration)
			}
		})
	default:
		w.applyGrouped(cause, first)
	}
}

// applyToNetwork injects partitions, losses and delays of messages.
func (w *clusterSim) applyToNetwork(cause fault, first, second *simNode) {
	late := cause.n&4 != 0
	switch cause.kind {
	case faultPartitionPair:
		w.block(first.member.Addr, second.member.Addr, cause.duration, late)
		w.block(second.member.Addr, first.member.Addr, cause.duration, late)
	case faultPartitionOneWay:
		w.block(first.member.Addr, second.member.Addr, cause.duration, late)
	case faultIsolate:
		w.isolate(first, cause)
	case faultSplit:
		w.split(cause)
	case faultLoss:
		w.loss = 0.3
		w.after(cause.duration, func() { w.loss = 0; w.recordDisturbance() })
	case faultDelay:
		w.extraDelay = 400 * time.Millisecond
		w.after(cause.duration, func() { w.extraDelay = 0; w.recordDisturbance() })
	}
}

// applyToDisk makes disks full, slow or unresponsive.
func (w *clusterSim) applyToDisk(cause fault, node *simNode) {
	switch cause.kind {
	case faultDiskFull:
		node.diskFull, node.acceptorReserve = true, cause.n&1 == 1
		w.after(cause.duration, func() { node.diskFull = false; w.recordDisturbance() })
	case faultDiskSlow:
		node.diskDelay = time.Duration(100+cause.n%900) * time.Millisecond
		w.after(cause.duration, func() { node.diskDelay = 0; w.recordDisturbance() })
	case faultDiskStall:
		node.diskStalled = true
		w.after(cause.duration, func() { node.diskStalled = false; w.recordDisturbance() })
	case faultDisksFullButOne:
		w.fillDisksButOne(cause, node)
	}
}

// applyGrouped injects the faults that affect several nodes, or occur later.
func (w *clusterSim) applyGrouped(cause fault, node *simNode) {
	act := cause
	act.kind = cause.act
	switch cause.kind {
	case faultZone:
		if w.loseZoneDisks(node.member.Zone, cause) {
			return
		}
		w.applyToAll(act, func(m *simNode) bool { return m.member.Zone == node.member.Zone })
	case faultGroup:
		w.applyToAll(act, func(m *simNode) bool { return cause.n>>(m.name%16)&1 == 1 || m == node })
	case faultStep:
		w.arm(&stepTrigger{name: cause.step, remaining: 1 + cause.n%8, before: cause.before, action: func(m *simNode) {
			if !m.removed {
				act.a = m.name
				w.apply(act)
			}
		}})
	case faultReplaceTwice:
		w.replaceTwice(node, cause)
	case faultJoin:
		if len(w.nodes) < w.machines()+3 {
			w.stats.joins++
			w.successor(node, cause).start()
		}
	case faultProxy:
		w.disturbProxy(cause)
	}
}

// applyToAll injects a fault into each selected node.
func (w *clusterSim) applyToAll(act fault, chosen func(*simNode) bool) {
	for _, m := range slices.Clone(w.nodes) {
		if chosen(m) && !m.removed {
			act.a = m.name
			w.apply(act)
		}
	}
}

// split partitions the nodes into two sides, according to the bits of the fault.
func (w *clusterSim) split(f fault) {
	for _, x := range w.nodes {
		for _, y := range w.nodes {
			if f.n>>x.name&1 != f.n>>y.name&1 {
				w.block(x.member.Addr, y.member.Addr, f.duration, f.n&4 != 0)
			}
		}
	}
}

// fillDisksButOne fills all disks except that of one node, which is lost after the next acknowledgement.
func (w *clusterSim) fillDisksButOne(f fault, one *simNode) {
	for _, m := range w.nodes {
		if m != one {
			m.diskFull, m.acceptorReserve = true, true
			w.after(f.duration, func() { m.diskFull = false; w.recordDisturbance() })
		}
	}
	w.after(f.duration/2, func() { w.apply(fault{kind: faultWipeAfterAck, a: f.a, duration: f.duration}) })
}

// replaceTwice replaces a node, and soon afterwards its replacement.
func (w *clusterSim) replaceTwice(node *simNode, f fault) {
	w.replace(node, f)
	next := f
	w.after(f.duration+time.Duration(f.n%4000)*time.Millisecond, func() {
		if m := w.nodes[len(w.nodes)-1]; !m.removed && !w.faultsOver {
			next.n >>= 1
			w.replace(m, next)
		}
	})
}

// isolate partitions a node: from all peers, in both directions or one, or only from other nodes, so that operators and proxies still
// reach it. Messages sent to it in the meantime are lost, or arrive after the partition.
func (w *clusterSim) isolate(node *simNode, isolation fault) {
	others := []string{}
	for _, m := range w.nodes {
		others = append(others, m.member.Addr)
	}
	if isolation.n&8 != 0 {
		others = append(others, outside)
		for _, p := range w.proxies {
			others = append(others, p.addr)
		}
	}
	for _, o := range others {
		if isolation.n%3 != 1 {
			w.block(node.member.Addr, o, isolation.duration, isolation.n&4 != 0)
		}
		if isolation.n%3 != 2 {
			w.block(o, node.member.Addr, isolation.duration, isolation.n&4 != 0)
		}
	}
}

// ackTimeout returns how long a leaving node waits: half of them wait hardly at all, as if they were killed soon afterwards.
func (f fault) ackTimeout() time.Duration {
	if f.n&2 != 0 {
		return 200 * time.Millisecond
	}
	return 2 * time.Second
}

func (m *simNode) restartAfter(d time.Duration) { m.sim.after(d, m.start) }

// powerAll cuts the power of all nodes; some lose their disks, as many as are tolerated.
func (w *clusterSim) powerAll(f fault) {
	for _, m := range w.nodes {
		m.kill()
	}
	if f.n&1 == 1 {
		for i := range w.losses {
			w.loseDisk(w.nodes[(f.a+i*7)%len(w.nodes)])
		}
	}
	for _, m := range w.nodes {
		m.restartAfter(time.Duration(w.rng.IntN(3000)) * time.Millisecond)
	}
}
