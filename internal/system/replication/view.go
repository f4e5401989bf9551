package replication

import (
	"maps"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// ID is the random identity of a keeper's disk, in hexadecimal. An empty disk gets a new one, which never had a vote.
type ID string

// Member is a keeper as the others see it.
type Member struct {
	ID           ID
	Addr         string // IP address of the machine
	Zone, Region string
}

// View is what the keepers agree on: who votes, and who replicates in which order. It is never changed once made.
type View struct {
	Epoch  uint64 // 0: none has been agreed yet
	Chain  []ID   // the head first; all of them voters
	Voters []Member

	base uint64          // the head leads only when it was active in this epoch or a later one
	past map[uint64][]ID // chains of earlier epochs, from the last that is known to have been active throughout
}

// Head is the link where changes enter, empty without a chain.
func (v *View) Head() ID {
	if len(v.Chain) == 0 {
		return ""
	}
	return v.Chain[0]
}

// Tail is the link that acknowledges and answers reads, empty without a chain.
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

func (v *View) chainIndex(id ID) int {
	return slices.Index(v.Chain, id)
}

// chainMembers lists the chain replicas with their places.
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
	return v.past[epoch]
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

func (v *View) hasSameMembers(w *View) bool {
	return slices.Equal(v.Chain, w.Chain) &&
		slices.EqualFunc(v.Voters, w.Voters, func(a, b Member) bool { return a.ID == b.ID })
}

// State is the replicated state machine: deterministic, and a value that is never changed once made.
type State interface {
	Check(controlstate.Change) controlstate.Verdict
	Apply(controlstate.Record) (State, error)
	Encode() []byte
}

// Machine makes states.
type Machine interface {
	Empty() State
	Decode([]byte) (State, error)
}

// Config is what a core is made with. Zero times get their defaults.
type Config struct {
	Self              Member   // ID is used only when the disk holds none
	MachineLosses     int      // disks that may be lost at once without losing an acknowledged change
	ZoneLosses        int      // zones that may be lost at once, all of their keepers with them
	RegionLosses      int      // regions, likewise
	Seeds             []string // IP addresses of the keepers that form the first view
	Bootstrap         bool     // may take part in forming the first view
	Observer          bool     // has no disk: follows and passes calls on, and is never a voter nor a link
	HeartbeatInterval time.Duration
	SuspectTimeout    time.Duration // silence after which a keeper counts as gone
	SlowDiskTimeout   time.Duration // longest disk operation of a healthy disk
	Incarnation       uint64        // differs from start to start
	Seed              uint64        // of the jitter

	compactRecords, retainedRecords uint64 // records
	knobs                           TestingKnobs
}

func (c *Config) applyDefaults() {
	if c.HeartbeatInterval <= 0 {
		c.HeartbeatInterval = 100 * time.Millisecond
	}
	if c.SuspectTimeout <= 0 {
		c.SuspectTimeout = 700 * time.Millisecond
	}
	if c.compactRecords == 0 {
		c.compactRecords, c.retainedRecords = defaultCompactRecords, defaultRetainedRecords
	}
	if c.SlowDiskTimeout <= 0 {
		c.SlowDiskTimeout = 500 * time.Millisecond
	}
}

func memberPB(m Member) *replicationpb.Member {
	return &replicationpb.Member{Id: string(m.ID), Addr: m.Addr, Zone: m.Zone, Region: m.Region}
}

func memberOf(m *replicationpb.Member) Member {
	return Member{ID: ID(m.GetId()), Addr: m.GetAddr(), Zone: m.GetZone(), Region: m.GetRegion()}
}

func idsPB(ids []ID) []string {
	out := make([]string, len(ids))
	for i, id := range ids {
		out[i] = string(id)
	}
	return out
}

func idsOf(ids []string) []ID {
	out := make([]ID, len(ids))
	for i, id := range ids {
		out[i] = ID(id)
	}
	return out
}

func viewPB(v *View) *replicationpb.View {
	if v == nil {
		return nil
	}
	p := &replicationpb.View{Epoch: v.Epoch, Base: v.base, Chain: idsPB(v.Chain)}
	for _, epoch := range slices.Sorted(maps.Keys(v.past)) {
		p.Past = append(p.Past, &replicationpb.Chain{Epoch: epoch, Links: idsPB(v.past[epoch])})
	}
	for _, m := range v.Voters {
		p.Voters = append(p.Voters, memberPB(m))
	}
	return p
}

func viewOf(p *replicationpb.View) *View {
	if p == nil {
		return nil
	}
	v := &View{Epoch: p.GetEpoch(), base: p.GetBase(), Chain: idsOf(p.GetChain()), past: map[uint64][]ID{}}
	for _, ch := range p.GetPast() {
		v.past[ch.GetEpoch()] = idsOf(ch.GetLinks())
	}
	for _, m := range p.GetVoters() {
		v.Voters = append(v.Voters, memberOf(m))
	}
	return v
}
