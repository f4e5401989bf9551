package state

import (
	"encoding/json"
	"fmt"
	"io"

	"gradeusher.example/gradeusher/internal/sidecar/list"
	"gradeusher.example/gradeusher/internal/sidecar/sealed"
)

// The forms of a snapshot. Each added a part that earlier versions pass over.
const (
	formServers = 1
	formRoutes  = 2
	formRoles   = 3
)

// snapshotKind is the kind of a snapshot without routes and roles, which the first version can read. Needs rises only where an earlier
// version would lose what matters: where there are routes or roles.
var snapshotKind = sealed.Kind{Magic: "gradeusher-state", FormatVersion: formRoles, MinReaderVersion: formServers}

// MaxSnapshotBytes bounds a snapshot. A full state (MaxServers, MaxHistory, MaxRouteHistoryBytes, MaxRoles, MaxCandidates) takes some
// 65 MB.
const MaxSnapshotBytes = 256 << 20

// snapshotBody is the JSON of a snapshot. Its names are stored data and never change.
type snapshotBody struct {
	Cluster  string   `json:"cluster"`
	Revision int64    `json:"rev"`
	Lease    int64    `json:"lease"`
	Entries  []Entry  `json:"entries"`
	History  []Change `json:"history"`
	Nodes    []Node   `json:"keepers"`

	Routes *routeHistorySnapshot `json:"routes,omitempty"` // from formRoutes on
	Roles  *roleTableSnapshot    `json:"duties,omitempty"` // from formRoles on
}

// Snapshot returns the complete state as a sealed file: a line with the form and a checksum, and JSON. The same state gives the same bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	body, err := json.Marshal(snapshotBody{Cluster: m.cluster, Revision: m.revision, Lease: m.lastLease, Entries: m.Entries(), History: m.history,
		Nodes: m.Nodes(), Routes: m.routing.snapshot(), Roles: m.roles.snapshot()})
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	kind := snapshotKind
	if m.routing.generation > 0 {
		kind.MinReaderVersion = formRoutes
	}
	if m.roles.revision > 0 {
		kind.MinReaderVersion = formRoles
	}
	return kind.Seal(body), nil
}

// ReadSnapshot reads what Snapshot returned. Errors wrap sealed.ErrCorrupt, or come from the reader.
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
		return nil, fmt.Errorf("%w: %w", sealed.ErrCorrupt, err)
	}
	return s.restore()
}

// restore makes the state machine. Errors wrap sealed.ErrCorrupt.
func (s *snapshotBody) restore() (*Machine, error) {
	if s.Revision < 0 || s.Lease < 0 {
		return nil, fmt.Errorf("%w: revision %d, lease %d", sealed.ErrCorrupt, s.Revision, s.Lease)
	}
	machine := New()
	machine.cluster, machine.revision, machine.lastLease, machine.history = s.Cluster, s.Revision, s.Lease, s.History
	var err error
	if machine.routing, err = s.Routes.restore(); err != nil {
		return nil, err
	}
	if machine.roles, err = s.Roles.restore(); err != nil {
		return nil, err
	}
	for _, node := range s.Nodes {
		machine.nodes[node.Name] = node
	}
	if err := machine.restoreEntries(s.Entries); err != nil {
		return nil, err
	}
	if err := machine.checkHistory(); err != nil {
		return nil, err
	}
	return machine, nil
}

func (m *Machine) restoreEntries(entries []Entry) error {
	for i := range entries {
		entry := entries[i]
		if err := entry.Target.Check(); err != nil {
			return fmt.Errorf("%w: %w", sealed.ErrCorrupt, err)
		}
		if m.entries[entry.UID] != nil || entry.Revision > m.revision || entry.Lease > m.lastLease {
			return fmt.Errorf("%w: the entry of %s makes no sense", sealed.ErrCorrupt, entry.UID)
		}
		m.entries[entry.UID] = &entry
	}
	return nil
}

// checkHistory returns an error where the history has a gap or does not end with the revision.
func (m *Machine) checkHistory() error {
	for i, change := range m.history {
		if want := m.OldestRevision() + int64(i) + 1; change.Revision != want || want < 1 {
			return fmt.Errorf("%w: revision %d stands in the place of %d", sealed.ErrCorrupt, change.Revision, want)
		}
	}
	return nil
}

// RaiseRevision lifts the revision and the generation of a state restored from a backup to at least floor, above all that were published
// since. The history ends there, so that every watch that resumes gets the complete list. Servers with leases are marked until they register.
func (m *Machine) RaiseRevision(floor int64) {
	for _, entry := range m.entries {
		if entry.LeaseMS != 0 && entry.State == list.Serving {
			entry.Reason = RestoredFromBackup
		}
	}
	m.revision = max(m.revision+1, floor)
	m.history = nil
	m.routing.raiseGeneration(floor)
}
