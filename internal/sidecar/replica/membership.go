package replica

import (
	"fmt"
	"slices"

	"github.com/hashicorp/raft"
)

// Peers returns the members of the cluster, as far as this replica knows.
func (r *Replica) Peers() ([]Peer, error) {
	future := r.raft.GetConfiguration()
	if err := future.Error(); err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	var peers []Peer
	for _, server := range future.Configuration().Servers {
		peers = append(peers, Peer{Name: string(server.ID), Address: string(server.Address), Voter: server.Suffrage == raft.Voter})
	}
	return peers, nil
}

// Add adds a member without a vote, which Promote gives once the member has caught up. It does nothing for a voter. Raft makes one change of
// members at a time. Errors wrap ErrNotLeader or ErrUncertain, or say which member has the name or the address.
func (r *Replica) Add(peer Peer) error {
	peers, err := r.peersOfLeader()
	if err != nil {
		return err
	}
	for _, member := range peers {
		sameName, sameAddress := member.Name == peer.Name, member.Address == peer.Address
		switch {
		case sameName && sameAddress && member.Voter:
			return nil
		case sameName && sameAddress: // an earlier addition that was not completed
		case sameName:
			return fmt.Errorf("%s is a member at %s: remove it first", peer.Name, member.Address)
		case sameAddress:
			return fmt.Errorf("%s is the address of member %s", peer.Address, member.Name)
		}
	}
	return wait(r.raft.AddNonvoter(raft.ServerID(peer.Name), raft.ServerAddress(peer.Address), 0, membershipTimeout))
}

// peersOfLeader returns the members, or ErrNotLeader.
func (r *Replica) peersOfLeader() ([]Peer, error) {
	if !r.Ready() {
		return nil, ErrNotLeader
	}
	return r.Peers()
}

// wait waits for a change of members.
func wait(future raft.IndexFuture) error {
	if err := future.Error(); err != nil {
		return translateError(err)
	}
	return nil
}

// Promote gives a member that has caught up its vote.
func (r *Replica) Promote(peer Peer) error {
	return wait(r.raft.AddVoter(raft.ServerID(peer.Name), raft.ServerAddress(peer.Address), 0, membershipTimeout))
}

// Remove removes a member. The last voter cannot be removed.
func (r *Replica) Remove(name string) error {
	peers, err := r.peersOfLeader()
	if err != nil {
		return err
	}
	otherVoters, found := 0, false
	for _, member := range peers {
		switch {
		case member.Name == name:
			found = true
		case member.Voter:
			otherVoters++
		}
	}
	switch {
	case !found:
		return fmt.Errorf("no member %q", name)
	case otherVoters == 0:
		return fmt.Errorf("%s is the last member", name)
	}
	return wait(r.raft.RemoveServer(raft.ServerID(name), 0, membershipTimeout))
}

// RemoveIfMember removes a member that comes again with an empty store, if it is a member.
func (r *Replica) RemoveIfMember(name string) error {
	peers, err := r.peersOfLeader()
	if err != nil {
		return err
	}
	if !slices.ContainsFunc(peers, func(member Peer) bool { return member.Name == name }) {
		return nil
	}
	return r.Remove(name)
}
