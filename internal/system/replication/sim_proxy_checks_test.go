package replication

import (
	"fmt"
	"sort"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/distribution/catchup"
)

const (
	currentBound = time.Second // what a node that is current may lack, see checkCurrent

	// freshBound is how old what a proxy holds may be while it counts as fresh.
	freshBound = catchup.FreshnessTTL + currentBound
	// contact is how long a proxy and the nodes must have been undisturbed for the proxy to count as in touch.
	contact = 5 * time.Second
	// touchBound is within what a proxy in touch holds what was acknowledged.
	touchBound = 3 * time.Second
)

// checkState holds what a proxy has taken against what is committed.
func (p *proxy) checkState(before uint64) {
	w := p.w
	switch {
	case w.violation != nil:
	case p.seq < before:
		w.fail(fmt.Errorf("proxy %s went back from record %d to %d", p.name, before, p.seq))
	case p.seq >= uint64(len(w.states)):
		w.fail(fmt.Errorf("proxy %s holds record %d, but only %d are committed", p.name, p.seq, len(w.truth)))
	case describe(p.state) != describe(w.states[p.seq]):
		w.fail(fmt.Errorf("proxy %s holds %q after record %d, nodes %q", p.name, describe(p.state), p.seq, describe(w.states[p.seq])))
	}
}

// watch holds what clients of the proxy get against what was acknowledged, again and again.
func (p *proxy) watch(life int) {
	if p.incarnation != life || !p.running {
		return
	}
	p.checkAge()
	p.w.after(100*time.Millisecond, func() { p.watch(life) })
}

// isFresh reports whether a node's word that there is nothing newer still counts.
func (p *proxy) isFresh() bool {
	return p.freshAt >= 0 && p.w.now-p.freshAt <= catchup.FreshnessTTL
}

// checkAge: a proxy that counts as fresh, or that is in touch, does not serve what is too old.
func (p *proxy) checkAge() {
	w := p.w
	if w.violation != nil || p.paused {
		return
	}
	if p.isFresh() {
		if seq := w.ackedBefore(w.now - freshBound); p.seq < seq {
			w.fail(fmt.Errorf("proxy %s counts as fresh with record %d, but %d was acknowledged over %v ago", p.name, p.seq, seq, freshBound))
		}
	}
	if p.hasContact() {
		if seq := w.ackedBefore(w.now - touchBound); p.seq < seq {
			w.fail(fmt.Errorf("proxy %s is in touch with record %d, but %d was acknowledged over %v ago", p.name, p.seq, seq, touchBound))
		}
	}
}

// ackedBefore is the newest record that was acknowledged at the time.
func (w *clusterSim) ackedBefore(at time.Duration) uint64 {
	i := sort.Search(len(w.acks), func(i int) bool { return w.acks[i].at > at })
	if i == 0 {
		return 0
	}
	return w.acks[i-1].seq
}

// hasContact: the proxy and the nodes have been undisturbed for long, and it reaches all that are well connected.
func (p *proxy) hasContact() bool {
	w := p.w
	if w.now-p.eventAt < contact || !w.stable() {
		return false
	}
	for _, m := range w.core() {
		if !w.connected(p.addr, m.member.Addr) {
			return false
		}
	}
	return true
}

// knownView is the newest view that a healthy node holds which reaches most of the others. One that only a node
// holds which is partitioned makes no loss good.
func (w *clusterSim) knownView() *View {
	var newest *View
	for _, node := range w.nodes {
		if !node.healthy() || newest != nil && node.core.acceptor.view.Epoch <= newest.Epoch {
			continue
		}
		reached, all := 0, 0
		for _, o := range w.nodes {
			if !o.removed {
				all++
				if w.connected(node.member.Addr, o.member.Addr) {
					reached++
				}
			}
		}
		if reached > all/2 && node.core.acceptor.view.Epoch > 0 {
			newest = node.core.acceptor.view
		}
	}
	return newest
}

// core lists the healthy nodes that reach a majority of the voters both ways.
func (w *clusterSim) core() []*simNode {
	var out []*simNode
	view := w.knownView()
	if view == nil {
		return nil
	}
	for _, m := range w.nodes {
		if !m.healthy() {
			continue
		}
		n := 0
		for _, v := range view.Voters {
			if o := w.at(v.Addr); o != nil && o.healthy() && w.connected(m.member.Addr, v.Addr) && o.core.self.ID == v.ID {
				n++
			}
		}
		if n > len(view.Voters)/2 {
			out = append(out, m)
		}
	}
	return out
}

// stable reports whether nothing has disturbed the nodes of late and no more are in fault than may be lost.
func (w *clusterSim) stable() bool {
	view := w.knownView()
	if w.now-w.eventAt < contact || w.loss > 0 || w.extraDelay > 0 || view == nil {
		return false
	}
	well := w.core()
	for i, a := range well {
		for _, b := range well[i+1:] {
			if !w.connected(a.member.Addr, b.member.Addr) {
				return false // a part of the core only: who is in it depends on who is asked
			}
		}
	}
	in := map[ID]bool{}
	for _, m := range well {
		in[m.core.self.ID] = true
	}
	missing := 0
	for _, v := range view.Voters {
		if !in[v.ID] {
			missing++
		}
	}
	return missing <= w.losses && len(well) > w.losses
}

// progressBound is within what a change is acknowledged that comes to a node while the nodes are stable.
const progressBound = 4 * time.Second

// watchProgress asks for a change through a node of the core, again and again while the nodes are stable: it must be
// acknowledged, unless something disturbs them meanwhile.
func (w *clusterSim) watchProgress() {
	if w.violation != nil || w.clientsDone {
		return
	}
	w.after(500*time.Millisecond, w.watchProgress)
	if !w.stable() {
		return
	}
	well, began, event := w.core(), w.now, w.eventAt
	m := well[w.rng.IntN(len(well))]
	if !w.connected(outside, m.member.Addr) {
		return
	}
	w.lastChange++
	w.stats.probes++
	a := &simCall{node: m, change: controlstate.Change{Op: controlstate.OpNone, Zone: fmt.Sprintf("p%d", w.lastChange)}, first: w.acked, ttl: progressBound}
	a.onDone = func(d Completion) {
		if d.Outcome != Answered && w.eventAt == event && w.connected(outside, m.member.Addr) {
			w.fail(fmt.Errorf("the nodes are stable, and a change that node %d got %v ago is not acknowledged", m.name, w.now-began))
		}
	}
	w.ask(a)
}

// disturbProxy restarts, pauses or cuts off a proxy.
func (w *clusterSim) disturbProxy(cause fault) {
	target := w.proxies[cause.n%len(w.proxies)]
	switch cause.n / 2 % 3 {
	case 0:
		target.stop()
		w.after(cause.duration, target.start)
	case 1:
		target.pause(cause.duration)
	case 2:
		for _, m := range w.nodes {
			w.block(target.addr, m.member.Addr, cause.duration, cause.n&8 != 0)
			w.block(m.member.Addr, target.addr, cause.duration, cause.n&8 != 0)
		}
		target.eventAt = w.now
		w.after(cause.duration, func() { target.eventAt = w.now })
	}
}
