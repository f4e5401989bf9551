package replication

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// loseDisk empties the disk of a node, if the number of disks that may be lost permits it.
func (w *clusterSim) loseDisk(m *simNode) bool {
	if m.removed || m.observer || !w.canLoseDisk() {
		return false
	}
	w.lost++
	w.lostAt = w.now
	w.trace("%v LOST the disk of machine %d", w.now, m.name)
	m.wipe()
	return true
}

// replace permanently stops a node and starts another one, at a new address and with an empty disk.
func (w *clusterSim) replace(node *simNode, cause fault) {
	if node.removed || node.observer || !w.canLoseDisk() || len(w.nodes) > 40 {
		return
	}
	w.lost++
	w.lostAt = w.now
	w.trace("%v REPLACED machine %d", w.now, node.name)
	end := func() {
		if node.removed {
			return
		}
		node.kill()
		node.removed = true
		w.successor(node, cause).restartAfter(cause.duration)
	}
	if cause.n&1 == 1 && node.isRunning() && !node.paused {
		w.pending++
		node.leave(cause.ackTimeout(), func() {
			w.pending--
			end()
		})
		return
	}
	end()
}

// successor creates a node that replaces a.
func (w *clusterSim) successor(a *simNode, f fault) *simNode {
	m := w.newNode(fmt.Sprintf("10.0.2.%d", len(w.nodes)), a.member.Zone, a.member.Region)
	m.seeds = nil // three nodes of the operator's current list
	for i := range w.nodes {
		if n := w.nodes[(i+f.n)%len(w.nodes)]; !n.removed && n != m && len(m.seeds) < 3 {
			m.seeds = append(m.seeds, n.member.Addr)
		}
	}
	return m
}

// durableState returns the acceptor state on the node's disk.
func (m *simNode) durableState() (acceptorState, bool) {
	data, ok := m.disk.meta[metaAcceptor]
	if !ok || m.removed {
		return acceptorState{}, false
	}
	var p replicationpb.Register
	if proto.Unmarshal(data, &p) != nil {
		return acceptorState{}, false
	}
	return acceptorStateOf(&p), true
}

// isFullyReplicated reports whether all disks that the newest view relies on exist, and are as many as required.
func (w *clusterSim) isFullyReplicated() bool {
	view := w.newest
	if view == nil || len(view.Chain) <= w.losses || len(view.Voters) < 2*w.losses+1 {
		return false
	}
	disks := map[ID]acceptorState{}
	for _, m := range w.nodes {
		if r, ok := m.durableState(); ok {
			disks[r.identity.ID] = r
		}
	}
	for _, l := range view.Chain {
		if r, ok := disks[l]; !ok || r.activeEpoch != view.Epoch || r.view.Epoch != view.Epoch {
			return false
		}
	}
	if !w.toleratesLosses(view) {
		return false
	}
	for _, m := range view.Voters {
		// A view that is accepted but not chosen relies on other disks, on which the next view depends.
		if r, ok := disks[m.ID]; !ok || r.view.Epoch != view.Epoch || r.acceptedView != nil {
			return false
		}
	}
	return true
}

// toleratesLosses reports whether enough voters and a replica remain after the loss of any zones that may be lost.
func (w *clusterSim) toleratesLosses(v *View) bool {
	c := Config{MachineLosses: w.losses, ZoneLosses: w.zoneLosses}
	var links []Member
	for _, id := range v.Chain {
		m, _ := v.Voter(id)
		links = append(links, m)
	}
	return w.zoneLosses == 0 || c.votersTolerateLosses(v.Voters) && c.chainToleratesLosses(links)
}

// loseZoneDisks empties all disks of a zone at once, if that must be tolerated.
func (w *clusterSim) loseZoneDisks(zone string, f fault) bool {
	if w.zoneLosses == 0 || !w.canLoseDisk() || w.lost > 0 {
		return false
	}
	w.trace("%v LOST the disks of zone %s", w.now, zone)
	w.lost, w.lostAt = w.losses, w.now
	for _, m := range w.nodes {
		if m.member.Zone == zone && !m.removed && !m.observer {
			m.wipe()
			m.restartAfter(f.duration)
		}
	}
	w.stats.zones++
	return true
}

func (w *clusterSim) canLoseDisk() bool {
	if w.pending == 0 && w.isFullyReplicated() {
		w.lost = 0
	}
	return w.lost < w.losses
}
