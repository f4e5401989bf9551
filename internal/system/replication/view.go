package replication

import "slices"

// ID is the random identity of a node's disk, in hexadecimal. An empty disk gets a new one, which never had a vote.
type ID string

// Member is a node as the others see it.
type Member struct {
	ID           ID
	Addr         string // IP address of the machine
	Zone, Region string
}

// View is what the nodes agree on: who votes, and who replicates in which order. It is never changed once made.
type View struct {
	Epoch  uint64 // 0: none has been agreed yet
	Chain  []ID   // the head first; all of them voters
	Voters []Member

	minHeadEpoch  uint64          // the head leads only when it was active in this epoch or a later one
	earlierChains map[uint64][]ID // chains of the epochs after the newest one whose replicas are all known to have been active in it
}

// Head is the chain replica where changes enter, empty without a chain.
func (v *View) Head() ID {
	if len(v.Chain) == 0 {
		return ""
	}
	return v.Chain[0]
}

// Tail is the chain replica that commits records and answers reads, empty without a chain.
func (v *View) Tail() ID {
	if len(v.Chain) == 0 {
		return ""
	}
	return v.Chain[len(v.Chain)-1]
}

// Voter finds the voter with the identity.
func (v *View) Voter(id ID) (Member, bool) {
	for _, m := range v.Voters {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// chainIndex is the position of a replica in the chain, 0 for the head, negative for a node outside.
func (v *View) chainIndex(id ID) int {
	return slices.Index(v.Chain, id)
}

// chainMembers lists the chain replicas with addresses, zones and regions.
func (v *View) chainMembers() []Member {
	var members []Member
	for _, id := range v.Chain {
		if m, ok := v.Voter(id); ok {
			members = append(members, m)
		}
	}
	return members
}

// chainOf is the chain of an epoch up to this one, nil when it is not known any more.
func (v *View) chainOf(epoch uint64) []ID {
	if epoch == v.Epoch {
		return v.Chain
	}
	return v.earlierChains[epoch]
}

// String shows chain and voters by their addresses.
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

// hasSameMembers reports whether chain and voters are the same, in the same order.
func (v *View) hasSameMembers(other *View) bool {
	return slices.Equal(v.Chain, other.Chain) &&
		slices.EqualFunc(v.Voters, other.Voters, func(a, b Member) bool { return a.ID == b.ID })
}
