package registry

import (
	"net/http"

	"gradeusher.example/gradeusher/internal/sidecar/replica"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// Status is what a node knows of itself and of its cluster.
type Status struct {
	replica.Status
	AgeMS          int64        `json:"age_ms"` // time since the node last knew itself up to date; below 0: not since its start
	Cluster        string       `json:"cluster"`
	Revision       int64        `json:"rev"`
	OldestRevision int64        `json:"oldest_rev"` // the lowest from which a watch can resume
	Servers        int          `json:"servers"`
	Generation     int64        `json:"generation"` // of the route table
	Watchers       int64        `json:"watchers"`
	Leases         int          `json:"leases"`      // leases of servers that the leader counts
	PendingLeases  int          `json:"leases_held"` // those that have ended and wait, because too many ended at a time
	Nodes          []state.Node `json:"keepers"`
}

// status handles GET /v1/status.
func (n *Node) status(w http.ResponseWriter, _ *http.Request) {
	status := Status{Status: n.replica.Status(), Watchers: n.watchers.Load()}
	status.AgeMS = status.Age.Milliseconds()
	status.Leases, status.PendingLeases = n.serverLessor.counts()
	n.store.read(func(m *state.Machine) {
		status.Cluster, status.Revision, status.OldestRevision = m.Cluster(), m.Revision(), m.OldestRevision()
		status.Servers, status.Nodes, status.Generation = m.Len(), m.Nodes(), m.Generation()
	})
	reply(w, http.StatusOK, status)
}
