package replication

import (
	"maps"
	"slices"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// The functions in this file convert members and views to and from their messages.

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
	p := &replicationpb.View{Epoch: v.Epoch, Base: v.minHeadEpoch, Chain: idsPB(v.Chain)}
	for _, epoch := range slices.Sorted(maps.Keys(v.earlierChains)) {
		p.Past = append(p.Past, &replicationpb.Chain{Epoch: epoch, Links: idsPB(v.earlierChains[epoch])})
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
	v := &View{Epoch: p.GetEpoch(), minHeadEpoch: p.GetBase(), Chain: idsOf(p.GetChain()), earlierChains: map[uint64][]ID{}}
	for _, ch := range p.GetPast() {
		v.earlierChains[ch.GetEpoch()] = idsOf(ch.GetLinks())
	}
	for _, m := range p.GetVoters() {
		v.Voters = append(v.Voters, memberOf(m))
	}
	return v
}
