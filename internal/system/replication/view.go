package replication

import "slices"

// ID is the random identity of a node's disk, in hexadecimal. An empty disk gets a new one, which has never voted.
type ID string

// Member describes a node to the other nodes.
type Member struct {
	ID           ID
	Addr         string // IP address of the machine
	Zone, Region string
}

// View is what the nodes agree on: who votes, and who replicates in which order. It is immutable.
type View struct {
	Epoch  uint64 // 0: no view has been agreed yet
	Chain  []ID   // the head first; all replicas are voters
	Voters []Member

	minHeadEpoch  uint64          // the head may lead only if it was active in this epoch or a later one
	earlierChains map[uint64][]ID // chains of the epochs after the newest one whose replicas are all known to have been active in it
}

// Head returns the chain replica where changes enter, or an empty ID if there is no chain.
func (v *View) Head() ID {
	if len(v.Chain) == 0 {
		return ""
	}
	return v.Chain[0]
}

// Tail returns the chain replica that commits records and answers reads, or an empty ID if there is no chain.
func (v *View) Tail() ID {
	if len(v.Chain) == 0 {
		return ""
	}
	return v.Chain[len(v.Chain)-1]
}

// Voter returns the voter with the given identity.
func (v *View) Voter(id ID) (Member, bool) {
	for _, m := range v.Voters {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// chainIndex returns the position of a replica in the chain, 0 for the head, or a negative number for a node outside the chain.
func (v *View) chainIndex(id ID) int {
	return slices.Index(v.Chain, id)
}

// chainMembers returns the chain replicas with their addresses, zones and regions.
func (v *View) chainMembers() []Member {
	var members []Member
	for _, id := range v.Chain {
		if m, ok := v.Voter(id); ok {
			members = append(members, m)
		}
	}
	return members
}

// chainOf returns the chain of an epoch up to this one, or nil if it is no longer known.
func (v *View) chainOf(epoch uint64) []ID {
	if epoch == v.Epoch {
		return v.Chain
	}
	return v.earlierChains[epoch]
}

// String returns the addresses of the chain and the voters.
func (v *View) String() string {
	s := "chain"
	for _, id := range v.Chain {
		m, _ := v.Voter(id)
		s += " " + m.Addr
	}
	s += ", voters"
	for _, m := range v.Voters {
		s += " " + m.Addr
	}
	return s
}

// hasSameMembers reports whether both views have the same chain and the same voters, in the same order.
func (v *View) hasSameMembers(other *View) bool {
	return slices.Equal(v.Chain, other.Chain) &&
		slices.EqualFunc(v.Voters, other.Voters, func(a, b Member) bool { return a.ID == b.ID })
}
