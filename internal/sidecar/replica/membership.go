package replica

import (
	"context"
	"fmt"
	"slices"

	"github.com/hashicorp/raft"
)

// Peers are the members of the cluster, as far as this replica knows.
func (r *Replica) Peers() ([]Peer, error) {
	f := r.raft.GetConfiguration()
	if err := f.Error(); err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	var all []Peer
	for _, s := range f.Configuration().Servers {
		all = append(all, Peer{string(s.ID), string(s.Address), s.Suffrage == raft.Voter})
	}
	return all, nil
}

// Add takes a member in, first without a vote, and with one once it has caught up. Only one change of members goes on at a
// time; errors wrap ErrNotLeader or say why.
func (r *Replica) Add(ctx context.Context, p Peer) error {
	if !r.Ready() {
		return ErrNotLeader
	}
	peers, err := r.Peers()
	if err != nil {
		return err
	}
	for _, old := range peers {
		switch {
		case old.Name == p.Name && old.Address == p.Address && old.Voter:
			return nil
		case old.Name == p.Name && old.Address == p.Address: // an addition that broke off
		case old.Name == p.Name:
			return fmt.Errorf("%s is a member at %s: remove it first", p.Name, old.Address)
		case old.Address == p.Address:
			return fmt.Errorf("%s is the address of member %s", p.Address, old.Name)
		}
	}
	if err := r.raft.AddNonvoter(raft.ServerID(p.Name), raft.ServerAddress(p.Address), 0, membershipTimeout).Error(); err != nil {
		return translateError(err)
	}
	return nil
}

// Promote gives a member that has caught up its vote.
func (r *Replica) Promote(p Peer) error {
	if err := r.raft.AddVoter(raft.ServerID(p.Name), raft.ServerAddress(p.Address), 0, membershipTimeout).Error(); err != nil {
		return translateError(err)
	}
	return nil
}

// Remove takes a member out. The last one stays.
func (r *Replica) Remove(name string) error {
	if !r.Ready() {
		return ErrNotLeader
	}
	peers, err := r.Peers()
	if err != nil {
		return err
	}
	voters, found := 0, false
	for _, p := range peers {
		if found = found || p.Name == name; p.Voter && p.Name != name {
			voters++
		}
	}
	switch {
	case !found:
		return fmt.Errorf("no member %q", name)
	case voters == 0:
		return fmt.Errorf("%s is the last member", name)
	}
	if err := r.raft.RemoveServer(raft.ServerID(name), 0, membershipTimeout).Error(); err != nil {
		return translateError(err)
	}
	return nil
}

// RemoveIfMember removes a member that comes again with nothing, if it is there.
func (r *Replica) RemoveIfMember(name string) error {
	if !r.Ready() {
		return ErrNotLeader
	}
	peers, err := r.Peers()
	if err != nil {
		return err
	}
	if !slices.ContainsFunc(peers, func(p Peer) bool { return p.Name == name }) {
		return nil
	}
	return r.Remove(name)
}
