package registry

import (
	"context"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/replica"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

const (
	removalCheckInterval = time.Second
	removalCheckTimeout  = 3 * time.Second // without contact to a leader, after which the other nodes are asked
)

// awaitRemoval returns true once this node was removed from the cluster, false when ctx is done. A leader that is removed knows it by itself; a
// follower receives nothing more, and asks the other nodes.
func (n *Node) awaitRemoval(ctx context.Context) bool {
	ticker := time.NewTicker(removalCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
		if n.replica.Removed() {
			return true
		}
		age, known := n.replica.Age()
		if known && age > removalCheckTimeout && n.removedByLeader(ctx) {
			return true
		}
	}
}

// removedByLeader tells whether a leader has other members than this node. Only a leader's members count: a node that was partitioned off before
// this one was added does not have it either.
func (n *Node) removedByLeader(ctx context.Context) bool {
	c, err := client.New(n.otherAddresses())
	if err != nil {
		return false // there are no other nodes
	}
	defer c.Close()
	statuses, _ := client.Status[Status](ctx, c) // nodes that do not answer decide nothing
	for _, status := range statuses {
		if status.excludes(n.config.Name) {
			return true
		}
	}
	return false
}

// otherAddresses returns the HTTP addresses of the other nodes, in the state and in the configuration.
func (n *Node) otherAddresses() []string {
	var addresses []string
	n.store.read(func(m *state.Machine) {
		for _, node := range m.Nodes() {
			addresses = append(addresses, node.HTTPAddress)
		}
	})
	for _, peer := range n.config.Peers {
		addresses = append(addresses, peer.HTTP)
	}
	own := n.httpAddress()
	addresses = slices.DeleteFunc(addresses, func(address string) bool { return address == own })
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// excludes tells whether a status is that of a leader, in contact with its majority, without a member of a name.
func (s *Status) excludes(name string) bool {
	leads := s.Role == "leader" && s.AgeMS == 0
	isMember := slices.ContainsFunc(s.Peers, func(peer replica.Peer) bool { return peer.Name == name })
	return leads && len(s.Peers) > 0 && !isMember
}
