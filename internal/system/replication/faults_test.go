package replication

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

type faultKind int

const (
	faultKill faultKind = iota
	faultPowerAll
	faultFreeze
	faultCutPair
	faultCutOneWay
	faultIsolate
	faultSplit
	faultLoss
	faultSlack
	faultFull
	faultSlow
	faultStall
	faultWipe
	faultReplace
	faultLeave
	faultPowerAfterAck
	faultWipeAfterAck
	faultFullButOne
	faultZone         // all machines of a zone suffer the act
	faultGroup        // some machines suffer the act at once
	faultStep         // the act comes at the n-th step of a name
	faultReplaceTwice // a machine, and soon its successor
	faultJoin         // a machine more
	faultProxy        // a proxy restarts, freezes or is cut off
	faultKinds
)

var faultNames = [...]string{"kill", "power all", "freeze", "cut pair", "cut one way", "isolate", "split", "loss", "slack", "full disk",
	"slow disk", "stalled disk", "wipe", "replace", "leave", "power all after ack", "wipe after ack",
	"full disks but one, which is wiped after ack", "zone", "group", "step", "replace twice", "join", "proxy"}

// acts are the faults that may strike several machines at once, or at a step.
var acts = [...]faultKind{faultKill, faultFreeze, faultIsolate, faultWipe, faultPowerAll, faultReplace, faultLeave, faultStall}

type fault struct {
	at     time.Duration
	kind   faultKind
	a, b   int // machines
	dur    time.Duration
	n      int
	act    faultKind // of a zone, group or step
	step   string
	before bool
}

func (f fault) String() string {
	s := fmt.Sprintf("%v: %s of %d (other %d) for %v, %d", f.at, faultNames[f.kind], f.a, f.b, f.dur, f.n)
	switch f.kind {
	case faultZone, faultGroup:
		s += ": " + faultNames[f.act]
	case faultStep:
		s += fmt.Sprintf(": %s at %q, before %v", faultNames[f.act], f.step, f.before)
	}
	return s
}

// faultsFor draws the faults of a seed.
func faultsFor(rng *rand.Rand, machines int, until time.Duration) []fault {
	var out []fault
	// Half of the seeds have their faults in bursts, so that one meets what the one before has not yet been repaired.
	bursts := []time.Duration{}
	if rng.IntN(2) == 0 {
		for range 1 + rng.IntN(4) {
			bursts = append(bursts, 3*time.Second+time.Duration(rng.Int64N(int64(until-5*time.Second))))
		}
	}
	names := stepNames()
	for range 3 + rng.IntN(14+4*len(bursts)) {
		f := fault{
			at: 3*time.Second + time.Duration(rng.Int64N(int64(until-3*time.Second))), kind: faultKind(rng.IntN(int(faultKinds))),
			a: rng.IntN(machines), b: rng.IntN(machines), n: rng.IntN(1 << 16),
			dur: time.Duration(50+rng.IntN(3000)) * time.Millisecond,
			act: acts[rng.IntN(len(acts))], step: names[rng.IntN(len(names))], before: rng.IntN(2) == 0,
		}
		if rng.IntN(4) == 0 {
			f.kind = faultStep
		}
		if len(bursts) > 0 {
			f.at = bursts[rng.IntN(len(bursts))] + time.Duration(rng.Int64N(int64(2*time.Second)))
		}
		out = append(out, f)
	}
	if until > faultsEnd {
		for range 1 + rng.IntN(2) {
			out = append(out, longFault(rng, machines, until))
		}
	}
	return out
}

// longFault is a machine that is cut off or away for 20 s and more.
func longFault(rng *rand.Rand, machines int, until time.Duration) fault {
	kinds := [...]faultKind{faultIsolate, faultIsolate, faultCutPair, faultFreeze, faultKill, faultSplit}
	dur := 20*time.Second + time.Duration(rng.IntN(4000))*time.Millisecond
	return fault{
		at: 3*time.Second + time.Duration(rng.Int64N(int64(until-dur-3*time.Second))), kind: kinds[rng.IntN(len(kinds))],
		a: rng.IntN(machines), b: rng.IntN(machines), n: rng.IntN(1 << 16), dur: dur,
	}
}

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

// lose empties the disk of a machine, when the number of disks that may be lost allows it.
func (w *world) lose(m *machine) bool {
	if m.gone || m.watcher || !w.mayLose() {
		return false
	}
	w.lost++
	w.lostAt = w.now
	w.trace("%v LOST the disk of machine %d", w.now, m.name)
	m.wipe()
	return true
}

// replace ends a machine for good and starts another, at a new address and with an empty disk.
func (w *world) replace(a *machine, f fault) {
	if a.gone || a.watcher || !w.mayLose() || len(w.nodes) > 40 {
		return
	}
	w.lost++
	w.lostAt = w.now
	w.trace("%v REPLACED machine %d", w.now, a.name)
	end := func() {
		if a.gone {
			return
		}
		a.kill()
		a.gone = true
		w.successor(a, f).back(f.dur)
	}
	if f.n&1 == 1 && a.up() && !a.frozen {
		w.pending++
		a.leave(f.patience(), func() {
			w.pending--
			end()
		})
		return
	}
	end()
}

// successor makes a machine in the place of a.
func (w *world) successor(a *machine, f fault) *machine {
	m := w.newMachine(fmt.Sprintf("10.0.2.%d", len(w.nodes)), a.member.Zone, a.member.Region)
	m.seeds = nil // the operator's list as it is now, three of them
	for i := range w.nodes {
		if n := w.nodes[(i+f.n)%len(w.nodes)]; !n.gone && n != m && len(m.seeds) < 3 {
			m.seeds = append(m.seeds, n.member.Addr)
		}
	}
	return m
}

// held is what the machine's disk says of it.
func (m *machine) held() (register, bool) {
	data, ok := m.disk.meta[metaRegister]
	if !ok || m.gone {
		return register{}, false
	}
	var p replicationpb.Register
	if proto.Unmarshal(data, &p) != nil {
		return register{}, false
	}
	return registerOf(&p), true
}

// whole tells whether the newest view stands on disks that are all there, as many as it should.
func (w *world) whole() bool {
	v := w.newest
	if v == nil || len(v.Chain) <= w.losses || len(v.Voters) < 2*w.losses+1 {
		return false
	}
	disks := map[ID]register{}
	for _, m := range w.nodes {
		if r, ok := m.held(); ok {
			disks[r.self.ID] = r
		}
	}
	for _, l := range v.Chain {
		if r, ok := disks[l]; !ok || r.active != v.Epoch || r.view.Epoch != v.Epoch {
			return false
		}
	}
	if !w.bears(v) {
		return false
	}
	for _, m := range v.Voters {
		// A view that is accepted but not chosen names disks of its own, on which the next one depends.
		if r, ok := disks[m.ID]; !ok || r.view.Epoch != v.Epoch || r.next != nil {
			return false
		}
	}
	return true
}

// bears tells whether enough voters and a link are left whatever zones are lost of those that may be.
func (w *world) bears(v *View) bool {
	c := Config{MachineLosses: w.losses, ZoneLosses: w.zoneLosses}
	var links []Member
	for _, id := range v.Chain {
		m, _ := v.Voter(id)
		links = append(links, m)
	}
	return w.zoneLosses == 0 || c.votersBear(v.Voters) && c.linksBear(links)
}

// loseZone empties all disks of a zone at once, where that must be borne.
func (w *world) loseZone(zone string, f fault) bool {
	if w.zoneLosses == 0 || !w.mayLose() || w.lost > 0 {
		return false
	}
	w.trace("%v LOST the disks of zone %s", w.now, zone)
	w.lost, w.lostAt = w.losses, w.now
	for _, m := range w.nodes {
		if m.member.Zone == zone && !m.gone && !m.watcher {
			m.wipe()
			m.back(f.dur)
		}
	}
	w.stats.zones++
	return true
}

func (w *world) mayLose() bool {
	if w.pending == 0 && w.whole() {
		w.lost = 0
	}
	return w.lost < w.losses
}
