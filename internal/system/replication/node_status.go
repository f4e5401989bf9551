package replication

import "gradeusher.example/gradeusher/internal/system/controlstate"

// Committed returns the newest state known here to be committed, and a channel that is closed when there is a newer one.
func (n *Node) Committed() (*controlstate.State, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, s := n.core.Committed()
	state, _ := s.(controlState)
	return state.State, n.changed
}

// RecordsAfter lists the committed records after seq, at most limit of them; false where they are no longer or not yet known.
func (n *Node) RecordsAfter(seq uint64, limit int) ([]controlstate.Record, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.RecordsAfter(seq, limit)
}

// Current reports whether what Committed gives may be passed on as new: within the last 600 ms (900 ms at an observer) a majority of the voters
// confirmed that they know of no later epoch, and this node is a chain replica or a learner that has caught up.
func (n *Node) Current() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.stopped && n.core.Current(n.now())
}

// Partitioned reports whether this node has had no way to the chain for so long that a change asked for here would not be accepted.
func (n *Node) Partitioned() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.stopped && n.core.Partitioned(n.now())
}

// WaitsFor says what a change that is asked for here waits for, as part of a sentence; empty where nothing known here is in its way.
func (n *Node) WaitsFor() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.WaitsFor()
}

// Capacity compares the nodes that exist with those that the tolerance needs, as this node sees them now.
func (n *Node) Capacity() Capacity {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Capacity()
}

// View returns the newest view known here. The caller must not change it.
func (n *Node) View() *View {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.View()
}

// Err tells why this node takes no part any more, for good; the others go on without it. It is nil as long as all is well.
func (n *Node) Err() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Err()
}

// Self returns this node's identity, address, zone and region.
func (n *Node) Self() Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Self()
}
