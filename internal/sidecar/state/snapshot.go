package state

import (
	"encoding/json"
	"fmt"
	"io"

	"gradeusher.example/gradeusher/internal/sidecar/list"
	"gradeusher.example/gradeusher/internal/sidecar/sealed"
)

// kind is the form of a snapshot. Needs rises only where an older program would lose what matters: where there are
// routes, or duties.
var kind = sealed.Kind{Magic: "gradeusher-state", Form: 3, Needs: 1}

// MostSnapshot bounds a snapshot, in bytes. A full state (MostServers, MostHistory, MostRouteBytes, MostDuties, MostCandidacies) takes some 65 MB.
const MostSnapshot = 256 << 20

type snapshot struct {
	Cluster string   `json:"cluster"`
	Rev     int64    `json:"rev"`
	Lease   int64    `json:"lease"`
	Entries []Entry  `json:"entries"`
	History []Change `json:"history"`
	Keepers []Keeper `json:"keepers"`

	Routes *routingForm `json:"routes,omitempty"` // form 2
	Duties *dutiesForm  `json:"duties,omitempty"` // form 3
}

// Snapshot is the whole state as bytes: a line with the form and a checksum, and JSON.
func (m *Machine) Snapshot() ([]byte, error) {
	body, err := json.Marshal(snapshot{m.cluster, m.rev, m.lease, m.Entries(), m.history, m.Keepers(), m.routing.form(), m.duties.form()})
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	k := kind
	if m.routing.gen > 0 {
		k.Needs = 2
	}
	if m.duties.rev > 0 {
		k.Needs = 3
	}
	return k.Seal(body), nil
}

// ReadSnapshot reads what Snapshot wrote. Errors wrap sealed.ErrUnsound, or are the reader's.
func ReadSnapshot(from io.Reader) (*Machine, error) {
	text, err := io.ReadAll(io.LimitReader(from, MostSnapshot+1))
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	body, err := kind.Open(text)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	var s snapshot
	if err := json.Unmarshal(body, &s); err != nil {
		return nil, fmt.Errorf("%w: %w", sealed.ErrUnsound, err)
	}
	if s.Rev < 0 || s.Lease < 0 {
		return nil, fmt.Errorf("%w: revision %d, lease %d", sealed.ErrUnsound, s.Rev, s.Lease)
	}
	m := New()
	m.cluster, m.rev, m.lease, m.history = s.Cluster, s.Rev, s.Lease, s.History
	if m.routing, err = s.Routes.routing(); err != nil {
		return nil, err
	}
	if m.duties, err = s.Duties.duties(); err != nil {
		return nil, err
	}
	for _, k := range s.Keepers {
		m.keepers[k.Name] = k
	}
	for i := range s.Entries {
		e := s.Entries[i]
		if err := e.Target.Check(); err != nil {
			return nil, fmt.Errorf("%w: %w", sealed.ErrUnsound, err)
		}
		if m.entries[e.UID] != nil || e.Rev > m.rev || e.Lease > m.lease {
			return nil, fmt.Errorf("%w: the entry of %s makes no sense", sealed.ErrUnsound, e.UID)
		}
		m.entries[e.UID] = &e
	}
	for i, c := range m.history {
		if want := m.rev - int64(len(m.history)) + int64(i) + 1; c.Rev != want || want < 1 {
			return nil, fmt.Errorf("%w: revision %d stands in the place of %d", sealed.ErrUnsound, c.Rev, want)
		}
	}
	return m, nil
}

// Raise lifts the revision of a state that is taken up again from a backup to at least floor, above all that was shown since
// the backup. The history ends there, so every watch that goes on gets the whole list. Servers with leases are not sure to
// be there until they register.
func (m *Machine) Raise(floor int64) {
	for _, e := range m.entries {
		if e.LeaseMS != 0 && e.State == list.Serving {
			e.Why = Restored
		}
	}
	m.rev = max(m.rev+1, floor)
	m.history = nil
	m.routing.raise(floor)
}
