package replication

import "gradeusher.example/gradeusher/internal/system/controlstate"

// Committed returns the newest state that this node knows to be committed, and a channel that is closed when there is a newer one.
func (n *Node) Committed() (*controlstate.State, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, s := n.core.Committed()
	state, _ := s.(controlState)
	return state.State, n.changed
}

// RecordsAfter returns the committed records after seq, at most limit of them. It returns false if they are no longer or not yet
// known.
func (n *Node) RecordsAfter(seq uint64, limit int) ([]controlstate.Record, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.RecordsAfter(seq, limit)
}

// Current reports whether the state returned by Committed may be served as up to date: within the last 600 ms (900 ms on an observer)
// a majority of the voters confirmed that they know of no later epoch, and this node is a chain replica or a learner that has caught
// up.
func (n *Node) Current() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.stopped && n.core.Current(n.now())
}

// Partitioned reports whether this node has been unable to reach the chain for so long that a change requested here would not be
// accepted.
func (n *Node) Partitioned() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.stopped && n.core.Partitioned(n.now())
}

// WaitsFor describes what a change requested at this node waits for, as part of a sentence. It is empty if this node knows of no
// obstacle.
func (n *Node) WaitsFor() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.WaitsFor()
}

// Capacity compares the nodes that exist with the nodes that the configured tolerance needs, as this node currently sees them.
func (n *Node) Capacity() Capacity {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Capacity()
}

// View returns the newest view known to this node. The caller must not modify it.
func (n *Node) View() *View {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.View()
}

// Err returns why this node has permanently failed; the other nodes continue without it. It is nil while the node works.
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
