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

func (w *clusterSim) apply(f fault) {
	if w.faultsOver {
		return
	}
	w.recordDisturbance()
	first, second := w.nodes[f.a], w.nodes[f.b]
	switch f.kind {
	case faultKill:
		first.kill()
		first.restartAfter(f.duration)
	case faultPowerAll:
		w.powerAll(f)
	case faultPause:
		first.pause(f.duration)
	case faultPartitionPair:
		w.block(first.member.Addr, second.member.Addr, f.duration, f.n&4 != 0)
		w.block(second.member.Addr, first.member.Addr, f.duration, f.n&4 != 0)
	case faultPartitionOneWay:
		w.block(first.member.Addr, second.member.Addr, f.duration, f.n&4 != 0)
	case faultIsolate:
		w.isolate(first, f)
	case faultSplit:
		w.split(f)
	case faultLoss:
		w.loss = 0.3
		w.after(f.duration, func() { w.loss = 0; w.recordDisturbance() })
	case faultDelay:
		w.extraDelay = 400 * time.Millisecond
		w.after(f.duration, func() { w.extraDelay = 0; w.recordDisturbance() })
	case faultDiskFull:
		first.diskFull, first.acceptorReserve = true, f.n&1 == 1
		w.after(f.duration, func() { first.diskFull = false; w.recordDisturbance() })
	case faultDiskSlow:
		first.diskDelay = time.Duration(100+f.n%900) * time.Millisecond
		w.after(f.duration, func() { first.diskDelay = 0; w.recordDisturbance() })
	case faultDiskStall:
		first.diskStalled = true
		w.after(f.duration, func() { first.diskStalled = false; w.recordDisturbance() })
	case faultWipe:
		if w.lose(first) {
			first.restartAfter(f.duration)
		}
	case faultReplace:
		w.replace(first, f)
	case faultLeave:
		first.leave(f.ackTimeout(), func() {
			first.kill()
			first.restartAfter(f.duration)
		})
	case faultDisksFullButOne:
		w.fillDisksButOne(f, first)
	case faultPowerAfterAck:
		w.onAck = append(w.onAck, func() { w.powerAll(f) })
	case faultWipeAfterAck:
		w.onAck = append(w.onAck, func() {
			if w.lose(first) {
				first.restartAfter(f.duration)
			}
		})
	default:
		w.applyGrouped(f, first)
	}
}

// applyGrouped applies the faults that strike several nodes, or later ones.
func (w *clusterSim) applyGrouped(f fault, a *simNode) {
	act := f
	act.kind = f.act
	switch f.kind {
	case faultZone:
		if w.loseZoneDisks(a.member.Zone, f) {
			return
		}
		w.applyToAll(act, func(m *simNode) bool { return m.member.Zone == a.member.Zone })
	case faultGroup:
		w.applyToAll(act, func(m *simNode) bool { return f.n>>(m.name%16)&1 == 1 || m == a })
	case faultStep:
		w.arm(&stepTrigger{name: f.step, remaining: 1 + f.n%8, before: f.before, action: func(m *simNode) {
			if !m.removed {
				act.a = m.name
				w.apply(act)
			}
		}})
	case faultReplaceTwice:
		w.replaceTwice(a, f)
	case faultJoin:
		if len(w.nodes) < w.machines()+3 {
			w.stats.joins++
			w.successor(a, f).start()
		}
	case faultProxy:
		w.disturbProxy(f)
	}
}

// applyToAll applies a fault to each node that is chosen.
func (w *clusterSim) applyToAll(act fault, chosen func(*simNode) bool) {
	for _, m := range slices.Clone(w.nodes) {
		if chosen(m) && !m.removed {
			act.a = m.name
			w.apply(act)
		}
	}
}

// split partitions the nodes into two sides, by the bits of the fault.
func (w *clusterSim) split(f fault) {
	for _, x := range w.nodes {
		for _, y := range w.nodes {
			if f.n>>x.name&1 != f.n>>y.name&1 {
				w.block(x.member.Addr, y.member.Addr, f.duration, f.n&4 != 0)
			}
		}
	}
}

// fillDisksButOne fills all disks but that of one node, which is lost after the next acknowledgement.
func (w *clusterSim) fillDisksButOne(f fault, one *simNode) {
	for _, m := range w.nodes {
		if m != one {
			m.diskFull, m.acceptorReserve = true, true
			w.after(f.duration, func() { m.diskFull = false; w.recordDisturbance() })
		}
	}
	w.after(f.duration/2, func() { w.apply(fault{kind: faultWipeAfterAck, a: f.a, duration: f.duration}) })
}

// replaceTwice replaces a node, and soon its replacement.
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

// isolate cuts a node off: all its replicas or one direction of them, or only those to other nodes, so that operators
// and proxies still reach it. What it is sent meanwhile is gone, or comes after the cut.
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

// ackTimeout is how long a leaving node waits: half of them hardly do, as if they were killed soon after.
func (f fault) ackTimeout() time.Duration {
	if f.n&2 != 0 {
		return 200 * time.Millisecond
	}
	return 2 * time.Second
}

func (m *simNode) restartAfter(d time.Duration) { m.sim.after(d, m.start) }

// powerAll takes the power from all nodes; some lose their disks, as many as may.
func (w *clusterSim) powerAll(f fault) {
	for _, m := range w.nodes {
		m.kill()
	}
	if f.n&1 == 1 {
		for i := range w.losses {
			w.lose(w.nodes[(f.a+i*7)%len(w.nodes)])
		}
	}
	for _, m := range w.nodes {
		m.restartAfter(time.Duration(w.rng.IntN(3000)) * time.Millisecond)
	}
}
