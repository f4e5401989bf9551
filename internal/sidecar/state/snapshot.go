package state

import (
	"encoding/json"
	"fmt"
	"io"

	"gradeusher.example/gradeusher/internal/sidecar/list"
	"gradeusher.example/gradeusher/internal/sidecar/sealed"
)

// snapshotKind is the form of a snapshot. Needs rises only where an older program would lose what matters: where there are
// routes, or duties.
var snapshotKind = sealed.Kind{Magic: "gradeusher-state", Form: 3, Needs: 1}

// MaxSnapshotBytes bounds a snapshot, in bytes. A full state (MaxServers, MaxHistory, MaxRouteHistoryBytes, MaxRoles, MaxCandidates) takes some 65 MB.
const MaxSnapshotBytes = 256 << 20

type snapshotBody struct {
	Cluster  string   `json:"cluster"`
	Revision int64    `json:"rev"`
	Lease    int64    `json:"lease"`
	Entries  []Entry  `json:"entries"`
	History  []Change `json:"history"`
	Nodes    []Node   `json:"keepers"`

	Routes *routeHistorySnapshot `json:"routes,omitempty"` // form 2
	Roles  *roleTableSnapshot    `json:"duties,omitempty"` // form 3
}

// Snapshot is the whole state as bytes: a line with the form and a checksum, and JSON.
func (m *Machine) Snapshot() ([]byte, error) {
	body, err := json.Marshal(snapshotBody{m.cluster, m.revision, m.lastLease, m.Entries(), m.history, m.Nodes(), m.routing.snapshot(), m.roles.snapshot()})
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	k := snapshotKind
	if m.routing.generation > 0 {
		k.Needs = 2
	}
	if m.roles.revision > 0 {
		k.Needs = 3
	}
	return k.Seal(body), nil
}

// ReadSnapshot reads what Snapshot wrote. Errors wrap sealed.ErrUnsound, or are the reader's.
func ReadSnapshot(from io.Reader) (*Machine, error) {
	text, err := io.ReadAll(io.LimitReader(from, MaxSnapshotBytes+1))
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	body, err := snapshotKind.Open(text)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	var s snapshotBody
	if err := json.Unmarshal(body, &s); err != nil {
		return nil, fmt.Errorf("%w: %w", sealed.ErrUnsound, err)
	}
	if s.Revision < 0 || s.Lease < 0 {
		return nil, fmt.Errorf("%w: revision %d, lease %d", sealed.ErrUnsound, s.Revision, s.Lease)
	}
	m := New()
	m.cluster, m.revision, m.lastLease, m.history = s.Cluster, s.Revision, s.Lease, s.History
	if m.routing, err = s.Routes.restore(); err != nil {
		return nil, err
	}
	if m.roles, err = s.Roles.restore(); err != nil {
		return nil, err
	}
	for _, k := range s.Nodes {
		m.nodes[k.Name] = k
	}
	for i := range s.Entries {
		e := s.Entries[i]
		if err := e.Target.Check(); err != nil {
			return nil, fmt.Errorf("%w: %w", sealed.ErrUnsound, err)
		}
		if m.entries[e.UID] != nil || e.Revision > m.revision || e.Lease > m.lastLease {
			return nil, fmt.Errorf("%w: the entry of %s makes no sense", sealed.ErrUnsound, e.UID)
		}
		m.entries[e.UID] = &e
	}
	for i, c := range m.history {
		if want := m.revision - int64(len(m.history)) + int64(i) + 1; c.Revision != want || want < 1 {
			return nil, fmt.Errorf("%w: revision %d stands in the place of %d", sealed.ErrUnsound, c.Revision, want)
		}
	}
	return m, nil
}

// RaiseRevision lifts the revision of a state that is taken up again from a backup to at least floor, above all that was shown since
// the backup. The history ends there, so every watch that goes on gets the whole list. Servers with leases are not sure to
// be there until they register.
func (m *Machine) RaiseRevision(floor int64) {
	for _, e := range m.entries {
		if e.LeaseMS != 0 && e.State == list.Serving {
			e.Reason = Restored
		}
	}
	m.revision = max(m.revision+1, floor)
	m.history = nil
	m.routing.raiseGeneration(floor)
}
