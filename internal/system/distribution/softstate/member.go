package softstate

import (
	"google.golang.org/protobuf/proto"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
)

// Member describes a proxy.
type Member struct {
	Node          string
	Incarnation   uint64 // random per start of the process
	Zone, Region  string
	IP            string // address of its inner port
	ClientAddress string // host:port that serves clients
	Ready         bool   // it serves clients
	Draining      bool   // it has been asked to stop
	Down          bool   // it timed out; a process that is alive refutes this with its next call
	Owner         string // the control-plane node that it follows
	Revision      uint64 // rises each time the process changes Ready or Draining
}

// ToProto returns the member as a wire message.
func (m Member) ToProto() *distributionpb.Member {
	return &distributionpb.Member{Node: m.Node, Incarnation: m.Incarnation, Zone: m.Zone, Region: m.Region, Ip: m.IP, Front: m.ClientAddress,
		Ready: m.Ready, Leaving: m.Draining, Down: m.Down, Owner: m.Owner, Revision: m.Revision}
}

// MemberFromProto decodes a member.
func MemberFromProto(m *distributionpb.Member) Member {
	return Member{Node: m.GetNode(), Incarnation: m.GetIncarnation(), Zone: m.GetZone(), Region: m.GetRegion(), IP: m.GetIp(),
		ClientAddress: m.GetFront(), Ready: m.GetReady(), Draining: m.GetLeaving(), Down: m.GetDown(), Owner: m.GetOwner(),
		Revision: m.GetRevision()}
}

// Encode returns the value of the member's entry.
func (m Member) Encode() []byte { return Marshal(m.ToProto()) }

// DecodeMember decodes the value of a member's entry; false if it is not a member.
func DecodeMember(value []byte) (Member, bool) {
	var m distributionpb.Member
	if proto.Unmarshal(value, &m) != nil {
		return Member{}, false
	}
	return MemberFromProto(&m), true
}
