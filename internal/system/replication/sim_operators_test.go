package replication

import (
	"fmt"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// simCall is a change or read that is sent to one node, and what was known when it was requested.
type simCall struct {
	node           *simNode
	read           bool
	change         controlstate.Change
	fenced         bool          // it is sent with a fence that the node returns first
	ttl            time.Duration // 0: chosen at random
	sent           time.Duration
	acked          uint64 // newest record acknowledged or read when this attempt was sent
	first          uint64 // the same when the first attempt was sent
	onDone         func(Completion)
	onInternalRead func(Completion) // for a read that the node makes itself on behalf of a call; replaces onDone
	closed         bool             // the caller has an answer, or has given up
}

// sendCall sends a change or read to its node. The caller receives exactly one outcome, Unknown if none arrives in time.
func (w *clusterSim) sendCall(call *simCall) {
	call.acked, call.sent = max(w.acked, w.newestRead), w.now
	if call.ttl == 0 {
		call.ttl = 4 * time.Second
		if w.rng.IntN(3) == 0 {
			call.ttl = time.Duration(100+w.rng.IntN(1500)) * time.Millisecond
		}
	}
	if !call.read && !call.fenced {
		w.historyOf(keyOf(call.change)).attempts++
	}
	w.trace("%v asks machine %d: read %v, %s", w.now, call.node.name, call.read, keyOf(call.change))
	m, core := call.node, call.node.core
	if core == nil {
		w.after(time.Millisecond, func() { call.close(Completion{Outcome: Unknown}) })
		return
	}
	w.after(call.ttl+time.Second, func() { call.close(Completion{Outcome: Unknown}) })
	w.transmit(outside, m.member.Addr, time.Millisecond, func() {
		m.run(core, func() { m.submit(call) })
	})
}

// submit starts a call at the node. Its time to live begins here, regardless of how long it waited in a socket.
func (m *simNode) submit(a *simCall) {
	if a.fenced {
		m.submitFenced(a)
		return
	}
	id := m.registerCall(a)
	if a.read {
		m.core.Read(m.clock(), id, a.ttl)
		return
	}
	m.core.Submit(m.clock(), id, a.change, a.ttl)
}

// registerCall assigns a number to a call, starting again in each incarnation as Node does.
func (m *simNode) registerCall(a *simCall) uint64 {
	m.lastCallID++
	m.calls[m.lastCallID] = a
	return m.lastCallID
}

// submitFenced starts a zone change as operatorapi does: the node reads, and redirects the caller with the newest record as the fence. A
// caller that still waits then sends the change with the fence, and the node submits it whenever that arrives.
func (m *simNode) submitFenced(call *simCall) {
	w, core := m.sim, m.core
	read := &simCall{node: m, read: true, acked: max(w.acked, w.newestRead)}
	read.onInternalRead = func(d Completion) {
		if d.Outcome != Answered {
			w.answer(call, Completion{Outcome: Refused})
			return
		}
		fence := int64(core.chain.commitIndex)
		w.transmit(m.member.Addr, outside, time.Millisecond, func() {
			if !call.closed {
				w.sendWithFence(call, core, fence)
			}
		})
	}
	core.Read(m.clock(), m.registerCall(read), call.ttl)
}

// sendWithFence sends a zone change with the fence that its caller has received.
func (w *clusterSim) sendWithFence(call *simCall, core *Core, fence int64) {
	m := call.node
	call.change.Base = fence
	w.historyOf(keyOf(call.change)).attempts++
	w.transmit(outside, m.member.Addr, time.Millisecond, func() {
		m.run(core, func() { core.Submit(m.clock(), m.registerCall(call), call.change, call.ttl) })
	})
}

// answer delivers an answer to the caller, unless it is lost.
func (w *clusterSim) answer(a *simCall, d Completion) {
	if a.node.core == nil {
		a.close(d) // the connection is reset
		return
	}
	w.transmit(a.node.member.Addr, outside, time.Millisecond, func() { a.close(d) })
}

func (a *simCall) close(d Completion) {
	if a.closed {
		return
	}
	a.closed = true
	if a.onDone != nil {
		a.onDone(d)
	}
}

// isConclusive reports whether an answer states definitively whether a change was applied.
func isConclusive(d Completion) bool {
	return d.Outcome == Answered && d.Verdict.Kind != controlstate.Uncertain && d.Verdict.Kind != controlstate.Superseded
}

// pickNode picks a random running node, which may be paused or partitioned.
func (w *clusterSim) pickNode() *simNode {
	for range 8 {
		if m := w.nodes[w.rng.IntN(len(w.nodes))]; m.isRunning() {
			return m
		}
	}
	return nil
}

// client sends one call after another.
func (w *clusterSim) client(number int) {
	if w.violation != nil || w.clientsDone {
		return
	}
	m := w.pickNode()
	if m == nil {
		w.after(50*time.Millisecond, func() { w.client(number) })
		return
	}
	w.lastChange++
	a := &simCall{node: m, first: w.acked}
	switch k := w.rng.IntN(20); {
	case k < 6:
		a.read = true
	case k < 9:
		a.change = controlstate.Change{Op: controlstate.OpNone, Zone: fmt.Sprintf("n%d", w.lastChange)}
	case k < 10:
		a.change = controlstate.Change{Op: controlstate.OpReplace, Body: fmt.Appendf(nil, "bad%d", w.lastChange)}
	default:
		a.change = w.newChange(number)
	}
	w.submitUntilDone(a, 5, func() {
		w.after(time.Duration(10+w.rng.IntN(250))*time.Millisecond, func() { w.client(number) })
	})
}

// newChange returns a random change of the register. The version that an operator knows is at most as new as the last answer, and may
// not be confirmed by a node yet.
func (w *clusterSim) newChange(n int) controlstate.Change {
	base := w.states[len(w.states)-1].rev
	if w.rng.IntN(5) == 0 {
		base = max(0, w.states[w.acked].rev-int64(w.rng.IntN(2)))
	}
	op := controlstate.OpReplace
	if w.rng.IntN(4) == 0 {
		op = controlstate.OpAmend
	}
	w.lastChange++
	return controlstate.Change{Op: op, Base: base, Body: fmt.Appendf(nil, "c%d-%d", n, w.lastChange)}
}

// submitUntilDone sends a call, and retries at other nodes while the answer is not conclusive and attempts remain.
func (w *clusterSim) submitUntilDone(a *simCall, tries int, done func()) {
	a.onDone = func(d Completion) {
		if !a.read && a.change.Op != controlstate.OpNone && !isConclusive(d) && tries > 1 {
			w.resubmit(a, tries-1, done)
			return
		}
		if !a.read && a.change.Op != controlstate.OpNone {
			w.resendable = append(w.resendable, a.change)
		}
		done()
	}
	w.sendCall(a)
}

// resubmit sends the call again, through any node that runs then.
func (w *clusterSim) resubmit(a *simCall, tries int, done func()) {
	if w.clientsDone {
		return
	}
	w.after(time.Duration(w.rng.IntN(300))*time.Millisecond, func() {
		if m := w.pickNode(); m != nil {
			w.submitUntilDone(&simCall{node: m, change: a.change, first: a.first}, tries, done)
		} else {
			w.resubmit(a, tries, done)
		}
	})
}

// operator sends up to eight concurrent calls: one or several changes of the same version, each through several nodes.
func (w *clusterSim) operator(n int) {
	if w.violation != nil || w.clientsDone {
		return
	}
	bodies, left := 1+w.rng.IntN(3), 0
	done := func() {
		if left--; left == 0 {
			w.after(time.Duration(w.rng.IntN(600))*time.Millisecond, func() { w.operator(n) })
		}
	}
	first := w.newChange(n)
	for b := range bodies {
		change := first
		change.Body = fmt.Appendf(nil, "%s-%d", first.Body, b)
		for range max(1, 8/bodies) {
			if m := w.pickNode(); m != nil {
				left++
				w.submitUntilDone(&simCall{node: m, change: change, first: w.acked}, 4, done)
			}
		}
	}
	if left == 0 {
		left = 1
		w.after(50*time.Millisecond, done)
	}
}

// repeater resends old changes, regardless of their outcome: an accepted change must never be refused.
func (w *clusterSim) repeater() {
	if w.violation != nil || w.clientsDone {
		return
	}
	w.after(time.Duration(50+w.rng.IntN(400))*time.Millisecond, w.repeater)
	m := w.pickNode()
	if m == nil || len(w.resendable) == 0 {
		return
	}
	w.stats.resent++
	w.sendCall(&simCall{node: m, change: w.resendable[w.rng.IntN(len(w.resendable))]})
}

// evacuationZone is evacuated and readmitted by its own operator, one change after the other.
type evacuationZone struct {
	name         string
	wanted       controlstate.Op
	acknowledged bool // the last change was acknowledged, and the next has not been sent
}

func (w *clusterSim) zoneOf(name string) *evacuationZone {
	for _, z := range w.evacuationZones {
		if z.name == name {
			return z
		}
	}
	return nil
}

// zoneOperator sends the change that its zone waits for through one node after another until it is acknowledged.
func (w *clusterSim) zoneOperator(zone *evacuationZone) {
	if w.violation != nil || w.clientsDone {
		return
	}
	m := w.pickNode()
	if m == nil {
		w.after(50*time.Millisecond, func() { w.zoneOperator(zone) })
		return
	}
	if zone.acknowledged {
		zone.acknowledged = false
		zone.wanted = controlstate.OpEvacuate + controlstate.OpReadmit - zone.wanted
	}
	a := &simCall{node: m, change: controlstate.Change{Op: zone.wanted, Zone: zone.name}, fenced: true, ttl: time.Second, first: w.acked}
	a.onDone = func(d Completion) {
		if isConclusive(d) {
			zone.acknowledged = true
		}
		w.after(time.Duration(100+w.rng.IntN(900))*time.Millisecond, func() { w.zoneOperator(zone) })
	}
	w.sendCall(a)
}

// operate starts clients and operators.
func (w *clusterSim) operate() {
	for i := range 3 {
		w.after(2*time.Second, func() { w.client(i) })
	}
	w.after(3*time.Second, func() { w.operator(9) })
	w.after(3*time.Second, w.watchProgress)
	w.after(3*time.Second, w.repeater)
	for _, name := range []string{"east", "west"} {
		z := &evacuationZone{name: name, wanted: controlstate.OpEvacuate}
		w.evacuationZones = append(w.evacuationZones, z)
		w.after(2*time.Second, func() { w.zoneOperator(z) })
	}
}
