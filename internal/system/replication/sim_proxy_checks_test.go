package replication

import (
	"fmt"
	"sort"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/distribution/catchup"
)

const (
	currentBound = time.Second // how much a current node may lag, see checkCurrent

	// freshBound is the maximum age of the state of a proxy that counts as fresh.
	freshBound = catchup.FreshnessTTL + currentBound
	// undisturbedTime is how long a proxy and the nodes must have been undisturbed for the proxy to count as connected.
	undisturbedTime = 5 * time.Second
	// connectedLagBound is the time within which a connected proxy must hold what was acknowledged.
	connectedLagBound = 3 * time.Second
)

// checkState compares the state of a proxy with what is committed.
func (p *proxy) checkState(before uint64) {
	w := p.w
	switch {
	case w.violation != nil:
	case p.seq < before:
		w.fail(fmt.Errorf("proxy %s went back from record %d to %d", p.name, before, p.seq))
	case p.seq >= uint64(len(w.states)):
		w.fail(fmt.Errorf("proxy %s holds record %d, but only %d are committed", p.name, p.seq, len(w.committedRecords)))
	case describe(p.state) != describe(w.states[p.seq]):
		w.fail(fmt.Errorf("proxy %s holds %q after record %d, nodes %q", p.name, describe(p.state), p.seq, describe(w.states[p.seq])))
	}
}

// watchAge periodically compares what the proxy's clients get with what was acknowledged.
func (p *proxy) watchAge(incarnation int) {
	if p.incarnation != incarnation || !p.running {
		return
	}
	p.checkAge()
	p.w.after(100*time.Millisecond, func() { p.watchAge(incarnation) })
}

// isFresh reports whether a node's statement that there is nothing newer is still valid.
func (p *proxy) isFresh() bool {
	return p.freshAt >= 0 && p.w.now-p.freshAt <= catchup.FreshnessTTL
}

// checkAge checks that a proxy that is fresh or connected does not serve a state that is too old.
func (p *proxy) checkAge() {
	w := p.w
	if w.violation != nil || p.paused {
		return
	}
	if p.isFresh() {
		if seq := w.ackedBefore(w.now - freshBound); p.seq < seq {
			w.fail(fmt.Errorf("proxy %s is fresh with record %d, but %d was acknowledged over %v ago", p.name, p.seq, seq, freshBound))
		}
	}
	if p.hasContact() {
		if seq := w.ackedBefore(w.now - connectedLagBound); p.seq < seq {
			w.fail(fmt.Errorf("proxy %s is connected with record %d, but %d was acknowledged over %v ago", p.name, p.seq, seq, connectedLagBound))
		}
	}
}

// ackedBefore returns the newest record that was acknowledged by the given time.
func (w *clusterSim) ackedBefore(at time.Duration) uint64 {
	i := sort.Search(len(w.acks), func(i int) bool { return w.acks[i].at > at })
	if i == 0 {
		return 0
	}
	return w.acks[i-1].seq
}

// hasContact reports whether the proxy and the nodes have been undisturbed for undisturbedTime, and the proxy reaches all
// well-connected nodes.
func (p *proxy) hasContact() bool {
	w := p.w
	if w.now-p.eventAt < undisturbedTime || !w.stable() {
		return false
	}
	for _, m := range w.wellConnectedNodes() {
		if !w.connected(p.addr, m.member.Addr) {
			return false
		}
	}
	return true
}

// knownView returns the newest view of a healthy node that reaches most of the others. A view that only a partitioned node holds does
// not repair a loss.
func (w *clusterSim) knownView() *View {
	var newest *View
	for _, node := range w.nodes {
		if !node.isHealthy() || newest != nil && node.core.acceptor.view.Epoch <= newest.Epoch {
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

// wellConnectedNodes returns the healthy nodes that are connected with a majority of the voters in both directions.
func (w *clusterSim) wellConnectedNodes() []*simNode {
	var out []*simNode
	view := w.knownView()
	if view == nil {
		return nil
	}
	for _, m := range w.nodes {
		if !m.isHealthy() {
			continue
		}
		n := 0
		for _, v := range view.Voters {
			if o := w.nodeAt(v.Addr); o != nil && o.isHealthy() && w.connected(m.member.Addr, v.Addr) && o.core.self.ID == v.ID {
				n++
			}
		}
		if n > len(view.Voters)/2 {
			out = append(out, m)
		}
	}
	return out
}

// stable reports whether nothing has recently disturbed the nodes and no more are faulty than may be lost.
func (w *clusterSim) stable() bool {
	view := w.knownView()
	if w.now-w.eventAt < undisturbedTime || w.loss > 0 || w.extraDelay > 0 || view == nil {
		return false
	}
	connected := w.wellConnectedNodes()
	for i, a := range connected {
		for _, b := range connected[i+1:] {
			if !w.connected(a.member.Addr, b.member.Addr) {
				return false // partially connected: the result depends on which node is asked
			}
		}
	}
	in := map[ID]bool{}
	for _, m := range connected {
		in[m.core.self.ID] = true
	}
	missing := 0
	for _, v := range view.Voters {
		if !in[v.ID] {
			missing++
		}
	}
	return missing <= w.losses && len(connected) > w.losses
}

// progressBound is the time within which a change must be acknowledged that reaches a node while the nodes are stable.
const progressBound = 4 * time.Second

// watchProgress periodically submits a change through a well-connected node while the nodes are stable: it must be acknowledged,
// unless something disturbs the nodes in the meantime.
func (w *clusterSim) watchProgress() {
	if w.violation != nil || w.clientsDone {
		return
	}
	w.after(500*time.Millisecond, w.watchProgress)
	if !w.stable() {
		return
	}
	connected, began, event := w.wellConnectedNodes(), w.now, w.eventAt
	m := connected[w.rng.IntN(len(connected))]
	if !w.connected(outside, m.member.Addr) {
		return
	}
	w.lastChange++
	w.stats.probes++
	a := &simCall{node: m, change: controlstate.Change{Op: controlstate.OpNone, Zone: fmt.Sprintf("p%d", w.lastChange)}, first: w.acked, ttl: progressBound}
	a.onDone = func(d Completion) {
		if d.Outcome != Answered && w.eventAt == event && w.connected(outside, m.member.Addr) {
			w.fail(fmt.Errorf("the nodes are stable, but a change that node %d received %v ago is not acknowledged", m.name, w.now-began))
		}
	}
	w.sendCall(a)
}

// disturbProxy restarts, pauses or partitions a proxy.
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
