package softstate

import (
	"time"

	"google.golang.org/protobuf/proto"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// Member is a proxy.
type Member struct {
	Node          string
	Incarnation   uint64 // drawn at the start of the process
	Zone, Region  string
	IP            string // where its inner port is
	ClientAddress string // host:port that serves clients
	Ready         bool   // serves clients
	Draining      bool   // has been told to stop
	Down          bool   // silent; the process itself refutes it with its next call if it lives
	Owner         string // the keeper that it follows
	Revision      uint64 // rises with each change that the process makes to Ready or Leaving
}

func (m Member) ToProto() *distributionpb.Member {
	return &distributionpb.Member{Node: m.Node, Incarnation: m.Incarnation, Zone: m.Zone, Region: m.Region, Ip: m.IP, Front: m.ClientAddress,
		Ready: m.Ready, Leaving: m.Draining, Down: m.Down, Owner: m.Owner, Revision: m.Revision}
}

func MemberFromProto(m *distributionpb.Member) Member {
	return Member{Node: m.GetNode(), Incarnation: m.GetIncarnation(), Zone: m.GetZone(), Region: m.GetRegion(), IP: m.GetIp(),
		ClientAddress: m.GetFront(), Ready: m.GetReady(), Draining: m.GetLeaving(), Down: m.GetDown(), Owner: m.GetOwner(),
		Revision: m.GetRevision()}
}

func (m Member) Encode() []byte { return Marshal(m.ToProto()) }

func DecodeMember(value []byte) (Member, bool) {
	var m distributionpb.Member
	if proto.Unmarshal(value, &m) != nil {
		return Member{}, false
	}
	return MemberFromProto(&m), true
}

// Marshal encodes a message; its own messages hold valid strings, so no error is possible.
func Marshal(m proto.Message) []byte {
	b, _ := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	return b
}

// maxServerDuration bounds the times told of a server.
const maxServerDuration = 24 * time.Hour

func EncodeServer(s pick.Server) []byte {
	return Marshal(&distributionpb.Server{Service: s.Service, Address: s.Address, Zone: s.Zone, Region: s.Region,
		Slots: uint32(max(0, min(s.Slots, 1<<30))), Draining: s.Draining, RemainingMs: millisecondsCeil(s.Remaining), ColdMs: millisecondsCeil(s.WarmUpMax)})
}

func millisecondsCeil(d time.Duration) uint64 {
	return uint64((max(0, min(d, maxServerDuration)) + time.Millisecond - 1) / time.Millisecond)
}

// decodeServer reads the entry of a server, with its times as they were when the entry was made.
func decodeServer(id string, value []byte) (pick.Server, bool) {
	var w distributionpb.Server
	if proto.Unmarshal(value, &w) != nil {
		return pick.Server{}, false
	}
	s := pick.Server{ID: id, Service: w.GetService(), Address: w.GetAddress(), Zone: w.GetZone(), Region: w.GetRegion(),
		Slots: int(w.GetSlots()), Draining: w.GetDraining(), WarmUpMax: BoundedMilliseconds(w.GetColdMs(), maxServerDuration),
		Remaining: BoundedMilliseconds(w.GetRemainingMs(), maxServerDuration)}
	return s, true
}

// CountDown gives a server with its times as they are, age after they were told. Cold forbids, so it errs late; Remaining
// permits, so it errs early.
func CountDown(s pick.Server, age Age) pick.Server {
	s.WarmUpMin = max(0, s.WarmUpMax-warmUpMargin-warmUpRounding-age.Max)
	s.WarmUpMax = max(0, s.WarmUpMax-age.Min)
	if s.Remaining > 0 {
		s.Remaining = max(time.Millisecond, s.Remaining-age.Max) // 0 would mean that nothing was told
	}
	return s
}

const (
	// remainingTolerance is how far a notice told anew may be from the one that counts down before the entry is written again.
	// The list rounds and lags by about as much.
	remainingTolerance = 400 * time.Millisecond
	// warmUpTolerance is how much longer than by a new reading an entry may call a server cold before it is written again.
	warmUpTolerance = 250 * time.Millisecond
	// warmUpMargin is added to an end of the cold state that is written, so that readings of one cold state, which differ by what
	// their ways take, are not written one after the other.
	warmUpMargin = 20 * time.Millisecond
	// warmUpRounding is by how much an end is rounded up on the way, at most.
	warmUpRounding = 2 * time.Millisecond
)

// AgreesWithReading tells whether what is held of a server stands beside a new reading of it, both with their times as of now, so that
// the entry need not be written again.
func AgreesWithReading(held, read pick.Server) bool {
	ok := warmUpAgrees(held, read) && (held.Remaining-read.Remaining).Abs() <= remainingTolerance &&
		(held.Remaining > 0) == (read.Remaining > 0)
	for _, s := range []*pick.Server{&held, &read} {
		s.WarmUpMax, s.WarmUpMin, s.Remaining = 0, 0, 0
	}
	return ok && held == read
}

// warmUpAgrees tells whether a server is held to be cold for about as long as a new reading says, and never for less than it
// may be. A later end counts even where both may be of one cold state, as that may have been extended in between.
func warmUpAgrees(held, read pick.Server) bool {
	return read.WarmUpMax <= held.WarmUpMax && held.WarmUpMax-read.WarmUpMax <= warmUpTolerance
}

// WithWarmUpMargin is a server whose cold state, if it has one, ends a little later.
func WithWarmUpMargin(s pick.Server) pick.Server {
	if s.WarmUpMax > 0 {
		s.WarmUpMax += warmUpMargin
	}
	return s
}
