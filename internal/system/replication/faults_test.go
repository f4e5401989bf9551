package replication

import (
	"fmt"
	"math/rand/v2"
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
	faultKinds
)

var faultNames = [...]string{"kill", "power all", "freeze", "cut pair", "cut one way", "isolate", "split", "loss", "slack", "full disk",
	"slow disk", "stalled disk", "wipe", "replace", "leave", "power all after ack", "wipe after ack",
	"full disks but one, which is wiped after ack"}

type fault struct {
	at   time.Duration
	kind faultKind
	a, b int // machines
	dur  time.Duration
	n    int
}

func (f fault) String() string {
	return fmt.Sprintf("%v: %s of %d (other %d) for %v, %d", f.at, faultNames[f.kind], f.a, f.b, f.dur, f.n)
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
	for range 3 + rng.IntN(14+4*len(bursts)) {
		f := fault{
			at: 3*time.Second + time.Duration(rng.Int64N(int64(until-3*time.Second))), kind: faultKind(rng.IntN(int(faultKinds))),
			a: rng.IntN(machines), b: rng.IntN(machines), n: rng.IntN(1 << 16),
			dur: time.Duration(50+rng.IntN(3000)) * time.Millisecond,
		}
		if len(bursts) > 0 {
			f.at = bursts[rng.IntN(len(bursts))] + time.Duration(rng.Int64N(int64(2*time.Second)))
		}
		out = append(out, f)
	}
	return out
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
	a, b := w.nodes[f.a], w.nodes[f.b]
	back := func(m *machine, d time.Duration) { w.after(d, m.start) }
	block := func(x, y string) {
		k := [2]string{x, y}
		w.cut[k] = true
		w.after(f.dur, func() { delete(w.cut, k) })
	}
	switch f.kind {
	case faultKill:
		a.kill()
		back(a, f.dur)
	case faultPowerAll:
		w.powerAll(f)
	case faultFreeze:
		a.freeze(f.dur)
	case faultCutPair:
		block(a.member.Addr, b.member.Addr)
		block(b.member.Addr, a.member.Addr)
	case faultCutOneWay:
		block(a.member.Addr, b.member.Addr)
	case faultIsolate:
		for _, m := range w.nodes {
			if f.n%3 != 1 {
				block(a.member.Addr, m.member.Addr)
			}
			if f.n%3 != 2 {
				block(m.member.Addr, a.member.Addr)
			}
		}
	case faultSplit:
		for _, x := range w.nodes {
			for _, y := range w.nodes {
				if f.n>>x.name&1 != f.n>>y.name&1 {
					block(x.member.Addr, y.member.Addr)
				}
			}
		}
	case faultLoss:
		w.loss = 0.3
		w.after(f.dur, func() { w.loss = 0 })
	case faultSlack:
		w.slack = 400 * time.Millisecond
		w.after(f.dur, func() { w.slack = 0 })
	case faultFull:
		a.full, a.reserve = true, f.n&1 == 1
		w.after(f.dur, func() { a.full = false })
	case faultSlow:
		a.slow = time.Duration(100+f.n%900) * time.Millisecond
		w.after(f.dur, func() { a.slow = 0 })
	case faultStall:
		a.stall = true
		w.after(f.dur, func() { a.stall = false })
	case faultWipe:
		if w.lose(a) {
			back(a, f.dur)
		}
	case faultReplace:
		w.replace(a, f)
	case faultLeave:
		if a.up() && !a.frozen {
			a.core.Leave(a.clock())
			a.drain()
			w.after(200*time.Millisecond, func() {
				a.kill()
				back(a, f.dur)
			})
		}
	case faultFullButOne:
		for _, m := range w.nodes {
			if m != a {
				m.full, m.reserve = true, true
				w.after(f.dur, func() { m.full = false })
			}
		}
		w.after(f.dur/2, func() { w.apply(fault{kind: faultWipeAfterAck, a: f.a, dur: f.dur}) })
	case faultPowerAfterAck:
		w.onAck = append(w.onAck, func() { w.powerAll(f) })
	case faultWipeAfterAck:
		w.onAck = append(w.onAck, func() {
			if w.lose(a) {
				back(a, f.dur)
			}
		})
	}
}

func (m *machine) freeze(d time.Duration) {
	core := m.core
	m.frozen = core != nil
	m.w.after(d, func() {
		if m.core == core && core != nil {
			m.thaw()
		}
	})
}

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
		w.after(time.Duration(w.rng.IntN(3000))*time.Millisecond, m.start)
	}
}

// lose empties the disk of a machine, when the number of disks that may be lost allows it.
func (w *world) lose(m *machine) bool {
	if m.gone {
		return false
	}
	if !w.mayLose() {
		return false
	}
	w.lost++
	m.wipe()
	return true
}

func (w *world) replace(a *machine, f fault) {
	back := func(m *machine, d time.Duration) { w.after(d, m.start) }
	if a.gone || !w.mayLose() || len(w.nodes) > 12 {
		return
	}
	end := func() {
		if a.gone || !w.mayLose() { // another was lost meanwhile: this one comes back
			a.kill()
			back(a, f.dur)
			return
		}
		w.lost++
		a.kill()
		a.gone = true
		m := w.newMachine(fmt.Sprintf("10.0.2.%d", len(w.nodes)), a.member.Zone, a.member.Region)
		m.seeds = nil // the operator's list as it is now, three of them
		for i := range w.nodes {
			if n := w.nodes[(i+f.n)%len(w.nodes)]; !n.gone && n != m && len(m.seeds) < 3 {
				m.seeds = append(m.seeds, n.member.Addr)
			}
		}
		w.after(f.dur, m.start)
	}
	if f.n&1 == 1 && a.up() && !a.frozen {
		a.core.Leave(a.clock())
		a.drain()
		w.after(200*time.Millisecond, end)
		return
	}
	end()
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
	for _, m := range v.Voters {
		// A view that is accepted but not chosen names disks of its own, on which the next one depends.
		if r, ok := disks[m.ID]; !ok || r.view.Epoch != v.Epoch || r.next != nil {
			return false
		}
	}
	return true
}

func (w *world) mayLose() bool {
	if w.whole() {
		w.lost = 0
	}
	return w.lost < w.losses
}
