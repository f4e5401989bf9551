package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/list"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// store puts the state machine behind a lock, and its changes into lines that all watchers are written: each change is
// encoded once. It is a replica.Machine.
type store struct {
	mu            sync.RWMutex
	machine       *state.Machine
	lines         [][]byte // of the last changes; the last is that of the revision. Never changed in place: watchers hold parts of it
	listChanged   chan struct{}
	routesChanged chan struct{} // closed when there is another route table
	rolesChanged  chan struct{} // closed when a duty changes
	listLine      []byte        // the list as it was encoded last; nil: not since the last change
}

func newStore() *store {
	return &store{machine: state.New(), listChanged: make(chan struct{}), routesChanged: make(chan struct{}), rolesChanged: make(chan struct{})}
}

// Apply takes a command of the log. One that cannot be read is refused in the same way everywhere.
func (s *store) Apply(text []byte) any {
	c, err := state.Decode(text)
	if err != nil {
		return state.Result{Err: &state.Error{Code: state.Invalid, Reason: err.Error()}}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.machine.Apply(c)
	if len(r.Changes) > 0 {
		s.lines = s.encode(s.lines, r.Changes)
		s.notifyListChanged()
	}
	if r.RoutesChanged {
		s.notifyRoutesChanged()
	}
	if r.RolesChanged {
		s.notifyRolesChanged()
	}
	return r
}

func (s *store) encode(lines [][]byte, changes []state.Change) [][]byte {
	for _, c := range changes {
		line, err := json.Marshal(list.List{Rev: c.Revision, Targets: []list.Target{c.Target}, Cluster: s.machine.Cluster()})
		if err != nil {
			line = nil // nothing of a target that was checked can fail
		}
		lines = append(lines, append(line, '\n'))
	}
	if len(lines) >= 2*state.MaxHistory {
		lines = slices.Clone(lines[len(lines)-state.MaxHistory:])
	}
	return lines
}

// notifyListChanged wakes all who wait for a change. s.mu is held.
func (s *store) notifyListChanged() {
	s.listLine = nil
	close(s.listChanged)
	s.listChanged = make(chan struct{})
}

// notifyRoutesChanged wakes all who wait for another route table. s.mu is held.
func (s *store) notifyRoutesChanged() {
	close(s.routesChanged)
	s.routesChanged = make(chan struct{})
}

// notifyRolesChanged wakes all who wait for a duty that changes. s.mu is held.
func (s *store) notifyRolesChanged() {
	close(s.rolesChanged)
	s.rolesChanged = make(chan struct{})
}

// Snapshot is the whole state.
func (s *store) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Snapshot()
}

// Restore takes a state in whole.
func (s *store) Restore(from io.Reader) error {
	m, err := state.ReadSnapshot(from)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine = m
	changes, _ := m.ChangesSince(m.OldestRevision())
	s.lines = s.encode(nil, changes)
	s.notifyListChanged()
	s.notifyRoutesChanged()
	s.notifyRolesChanged()
	return nil
}

// read calls do with the state as it stands. do must keep nothing of it.
func (s *store) read(do func(*state.Machine)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	do(s.machine)
}

// listUpdate is what a watcher that holds a revision is to be written.
type listUpdate struct {
	lines    [][]byte        // the changes, in order
	complete bool            // or the whole list
	revision int64           // it then holds
	ahead    bool            // its revision lies ahead of what is known here
	changed  <-chan struct{} // closed when there is more
}

// updateAfter tells what is new for one who holds from; below 0: nothing.
func (s *store) updateAfter(from int64) listUpdate {
	s.mu.RLock()
	defer s.mu.RUnlock()
	n := listUpdate{revision: s.machine.Revision(), changed: s.listChanged}
	oldest := n.revision - int64(len(s.lines))
	switch {
	case from > n.revision:
		n.ahead = true
	case from < oldest || from < 0:
		n.complete = true
	default:
		n.lines = s.lines[from-oldest:]
	}
	return n
}

var errNoList = errors.New("no list is known here yet")

// completeList is the whole list as a line, encoded once for a revision.
func (s *store) completeList() (line []byte, rev int64, err error) {
	s.mu.RLock()
	line, rev = s.listLine, s.machine.Revision()
	s.mu.RUnlock()
	if line != nil {
		return line, rev, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if rev = s.machine.Revision(); s.listLine != nil {
		return s.listLine, rev, nil
	}
	if s.machine.Cluster() == "" {
		return nil, 0, errNoList
	}
	line, err = json.Marshal(list.List{Rev: rev, All: true, Targets: s.machine.Targets(), Cluster: s.machine.Cluster()})
	if err != nil {
		return nil, 0, fmt.Errorf("list: %w", err)
	}
	s.listLine = append(line, '\n')
	return s.listLine, rev, nil
}

// heartbeat is the line that a watch whose watcher holds a revision says when nothing changes, for those who want to know how old
// the list may be; below 0 ms: that is not known.
func (s *store) heartbeat(rev int64, age time.Duration) []byte {
	l := list.List{Rev: rev, Targets: []list.Target{}}
	s.read(func(m *state.Machine) { l.Cluster = m.Cluster() })
	if ms := age.Milliseconds(); ms >= 0 {
		l.AgeMS = &ms
	}
	line, err := json.Marshal(l)
	if err != nil {
		return []byte("\n") // nothing of it can fail
	}
	return append(line, '\n')
}
