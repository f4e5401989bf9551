package replication

import (
	"slices"
	"time"
)

func (w *world) inject(f fault) {
	w.after(f.at-w.now, func() {
		if w.quiet {
			return
		}
		w.trace("%v FAULT %v", w.now, f)
		w.apply(f)
	})
}

func (w *world) apply(f fault) {
	if w.quiet {
		return
	}
	w.disturbed()
	a, b := w.nodes[f.a], w.nodes[f.b]
	switch f.kind {
	case faultKill:
		a.kill()
		a.back(f.dur)
	case faultPowerAll:
		w.powerAll(f)
	case faultFreeze:
		a.freeze(f.dur)
	case faultCutPair:
		w.block(a.member.Addr, b.member.Addr, f.dur, f.n&4 != 0)
		w.block(b.member.Addr, a.member.Addr, f.dur, f.n&4 != 0)
	case faultCutOneWay:
		w.block(a.member.Addr, b.member.Addr, f.dur, f.n&4 != 0)
	case faultIsolate:
		w.isolate(a, f)
	case faultSplit:
		for _, x := range w.nodes {
			for _, y := range w.nodes {
				if f.n>>x.name&1 != f.n>>y.name&1 {
					w.block(x.member.Addr, y.member.Addr, f.dur, f.n&4 != 0)
				}
			}
		}
	case faultLoss:
		w.loss = 0.3
		w.after(f.dur, func() { w.loss = 0; w.disturbed() })
	case faultSlack:
		w.slack = 400 * time.Millisecond
		w.after(f.dur, func() { w.slack = 0; w.disturbed() })
	case faultFull:
		a.full, a.reserve = true, f.n&1 == 1
		w.after(f.dur, func() { a.full = false; w.disturbed() })
	case faultSlow:
		a.slow = time.Duration(100+f.n%900) * time.Millisecond
		w.after(f.dur, func() { a.slow = 0; w.disturbed() })
	case faultStall:
		a.stall = true
		w.after(f.dur, func() { a.stall = false; w.disturbed() })
	case faultWipe:
		if w.lose(a) {
			a.back(f.dur)
		}
	case faultReplace:
		w.replace(a, f)
	case faultLeave:
		a.leave(f.patience(), func() {
			a.kill()
			a.back(f.dur)
		})
	case faultFullButOne:
		for _, m := range w.nodes {
			if m != a {
				m.full, m.reserve = true, true
				w.after(f.dur, func() { m.full = false; w.disturbed() })
			}
		}
		w.after(f.dur/2, func() { w.apply(fault{kind: faultWipeAfterAck, a: f.a, dur: f.dur}) })
	case faultPowerAfterAck:
		w.onAck = append(w.onAck, func() { w.powerAll(f) })
	case faultWipeAfterAck:
		w.onAck = append(w.onAck, func() {
			if w.lose(a) {
				a.back(f.dur)
			}
		})
	default:
		w.applyGrouped(f, a)
	}
}

// applyGrouped applies the faults that strike several machines, or later ones.
func (w *world) applyGrouped(f fault, a *machine) {
	act := f
	act.kind = f.act
	switch f.kind {
	case faultZone:
		if w.loseZone(a.member.Zone, f) {
			return
		}
		for _, m := range slices.Clone(w.nodes) {
			if m.member.Zone == a.member.Zone && !m.gone {
				act.a = m.name
				w.apply(act)
			}
		}
	case faultGroup:
		for _, m := range slices.Clone(w.nodes) {
			if (f.n>>(m.name%16)&1 == 1 || m == a) && !m.gone {
				act.a = m.name
				w.apply(act)
			}
		}
	case faultStep:
		w.arm(&armedStep{name: f.step, left: 1 + f.n%8, before: f.before, do: func(m *machine) {
			if !m.gone {
				act.a = m.name
				w.apply(act)
			}
		}})
	case faultReplaceTwice:
		w.replace(a, f)
		next := f
		w.after(f.dur+time.Duration(f.n%4000)*time.Millisecond, func() {
			if m := w.nodes[len(w.nodes)-1]; !m.gone && !w.quiet {
				next.n >>= 1
				w.replace(m, next)
			}
		})
	case faultJoin:
		if len(w.nodes) < w.machines()+3 {
			w.stats.joins++
			w.successor(a, f).start()
		}
	case faultProxy:
		w.disturbProxy(f)
	}
}

// isolate cuts a machine off: all its links or one direction of them, or only those to other keepers, so that operators
// and proxies still reach it. What it is sent meanwhile is gone, or comes after the cut.
func (w *world) isolate(a *machine, f fault) {
	others := []string{}
	for _, m := range w.nodes {
		others = append(others, m.member.Addr)
	}
	if f.n&8 != 0 {
		others = append(others, outside)
		for _, p := range w.proxies {
			others = append(others, p.addr)
		}
	}
	for _, o := range others {
		if f.n%3 != 1 {
			w.block(a.member.Addr, o, f.dur, f.n&4 != 0)
		}
		if f.n%3 != 2 {
			w.block(o, a.member.Addr, f.dur, f.n&4 != 0)
		}
	}
}

// patience is how long a leaver waits: half of them hardly do, as if they were killed soon after.
func (f fault) patience() time.Duration {
	if f.n&2 != 0 {
		return 200 * time.Millisecond
	}
	return 2 * time.Second
}

func (m *machine) back(d time.Duration) { m.w.after(d, m.start) }

// powerAll takes the power from all machines; some lose their disks, as many as may.
func (w *world) powerAll(f fault) {
	for _, m := range w.nodes {
		m.kill()
	}
	if f.n&1 == 1 {
		for i := range w.losses {
			w.lose(w.nodes[(f.a+i*7)%len(w.nodes)])
		}
	}
	for _, m := range w.nodes {
		m.back(time.Duration(w.rng.IntN(3000)) * time.Millisecond)
	}
}
