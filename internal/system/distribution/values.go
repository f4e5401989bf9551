package distribution

import (
	"time"

	"google.golang.org/protobuf/proto"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// Member is a proxy.
type Member struct {
	Node         string
	Incarnation  uint64 // drawn at the start of the process
	Zone, Region string
	IP           string // where its inner port is
	Front        string // host:port that serves clients
	Ready        bool   // serves clients
	Leaving      bool   // has been told to stop
	Down         bool   // silent; the process itself refutes it with its next call if it lives
	Owner        string // the keeper that it follows
	Revision     uint64 // rises with each change that the process makes to Ready or Leaving
}

func (m Member) wire() *distributionpb.Member {
	return &distributionpb.Member{Node: m.Node, Incarnation: m.Incarnation, Zone: m.Zone, Region: m.Region, Ip: m.IP, Front: m.Front,
		Ready: m.Ready, Leaving: m.Leaving, Down: m.Down, Owner: m.Owner, Revision: m.Revision}
}

func memberOf(m *distributionpb.Member) Member {
	return Member{Node: m.GetNode(), Incarnation: m.GetIncarnation(), Zone: m.GetZone(), Region: m.GetRegion(), IP: m.GetIp(),
		Front: m.GetFront(), Ready: m.GetReady(), Leaving: m.GetLeaving(), Down: m.GetDown(), Owner: m.GetOwner(),
		Revision: m.GetRevision()}
}

func (m Member) encode() []byte { return marshal(m.wire()) }

func decodeMember(value []byte) (Member, bool) {
	var m distributionpb.Member
	if proto.Unmarshal(value, &m) != nil {
		return Member{}, false
	}
	return memberOf(&m), true
}

// marshal encodes a message; its own messages hold valid strings, so no error is possible.
func marshal(m proto.Message) []byte {
	b, _ := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	return b
}

// longest bounds the times told of a server.
const longest = 24 * time.Hour

func encodeServer(s pick.Server) []byte {
	return marshal(&distributionpb.Server{Service: s.Service, Address: s.Address, Zone: s.Zone, Region: s.Region,
		Slots: uint32(max(0, min(s.Slots, 1<<30))), Draining: s.Draining, RemainingMs: ceilMillis(s.Remaining), ColdMs: ceilMillis(s.Cold)})
}

func ceilMillis(d time.Duration) uint64 {
	return uint64((max(0, min(d, longest)) + time.Millisecond - 1) / time.Millisecond)
}

// decodeServer reads the entry of a server, with its times as they are now, that is, age after the entry was made.
func decodeServer(id string, value []byte, age time.Duration) (pick.Server, bool) {
	var w distributionpb.Server
	if proto.Unmarshal(value, &w) != nil {
		return pick.Server{}, false
	}
	s := pick.Server{ID: id, Service: w.GetService(), Address: w.GetAddress(), Zone: w.GetZone(), Region: w.GetRegion(),
		Slots: int(w.GetSlots()), Draining: w.GetDraining(), Cold: millis(w.GetColdMs(), longest),
		Remaining: millis(w.GetRemainingMs(), longest)}
	return countDown(s, age), true
}

// countDown gives the server with its times as they are after age.
func countDown(s pick.Server, age time.Duration) pick.Server {
	s.Cold = max(0, s.Cold-age)
	if s.Remaining > 0 {
		s.Remaining = max(time.Millisecond, s.Remaining-age) // 0 would mean that nothing was told
	}
	return s
}

// timeSlack is how far a time told anew may be from the one that counts down before the entry is written again. The
// list rounds and lags by about as much.
const timeSlack = 400 * time.Millisecond

// same tells whether two readings of one server say the same.
func same(a, b pick.Server) bool {
	near := func(x, y time.Duration) bool { return (x - y).Abs() <= timeSlack }
	ok := near(a.Cold, b.Cold) && near(a.Remaining, b.Remaining) && (a.Remaining > 0) == (b.Remaining > 0)
	a.Cold, b.Cold, a.Remaining, b.Remaining = 0, 0, 0, 0
	return ok && a == b
}
