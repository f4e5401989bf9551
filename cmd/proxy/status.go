package main

import (
	"gradeusher.example/gradeusher/internal/system/admin"
	"gradeusher.example/gradeusher/internal/system/invariant"
)

// status is the response to GET /status, an admin.ProxyStatus.
func (s *server) status() any {
	current := s.subscriber.Current()
	out := admin.ProxyStatus{
		Version:    admin.Version,
		Node:       s.settings.Node,
		Ready:      s.isReady(),
		Fresh:      current.Fresh,
		Number:     current.State.Seq,
		Revision:   current.State.Revision(),
		Evacuated:  admin.EvacuatedZones(current.State),
		Servers:    len(current.Servers),
		ListAgeMS:  -1,
		Choice:     s.dataPlane.Describe(),
		Violations: invariant.Violations(),
	}
	if current.HasList {
		out.ListAgeMS = current.ListAge.Milliseconds()
	}
	for _, m := range current.Members {
		out.Members = append(out.Members, m.Node)
	}
	return out
}
