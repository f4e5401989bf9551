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
	mu      sync.RWMutex
	machine *state.Machine
	lines   [][]byte // of the last changes; the last is that of the revision. Never changed in place: watchers hold parts of it
	changed chan struct{}
	routed  chan struct{} // closed when there is another route table
	dutied  chan struct{} // closed when a duty changes
	whole   []byte        // the list as it was encoded last; nil: not since the last change
}

func newStore() *store {
	return &store{machine: state.New(), changed: make(chan struct{}), routed: make(chan struct{}), dutied: make(chan struct{})}
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
		s.tell()
	}
	if r.RoutesChanged {
		s.tellRouted()
	}
	if r.RolesChanged {
		s.tellDutied()
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

// tell wakes all who wait for a change. s.mu is held.
func (s *store) tell() {
	s.whole = nil
	close(s.changed)
	s.changed = make(chan struct{})
}

// tellRouted wakes all who wait for another route table. s.mu is held.
func (s *store) tellRouted() {
	close(s.routed)
	s.routed = make(chan struct{})
}

// tellDutied wakes all who wait for a duty that changes. s.mu is held.
func (s *store) tellDutied() {
	close(s.dutied)
	s.dutied = make(chan struct{})
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
	s.tell()
	s.tellRouted()
	s.tellDutied()
	return nil
}

// read calls do with the state as it stands. do must keep nothing of it.
func (s *store) read(do func(*state.Machine)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	do(s.machine)
}

// news is what a watcher that holds a revision is to be written.
type news struct {
	lines   [][]byte        // the changes, in order
	whole   bool            // or the whole list
	rev     int64           // it then holds
	ahead   bool            // its revision lies ahead of what is known here
	changed <-chan struct{} // closed when there is more
}

// after tells what is new for one who holds from; below 0: nothing.
func (s *store) after(from int64) news {
	s.mu.RLock()
	defer s.mu.RUnlock()
	n := news{rev: s.machine.Revision(), changed: s.changed}
	oldest := n.rev - int64(len(s.lines))
	switch {
	case from > n.rev:
		n.ahead = true
	case from < oldest || from < 0:
		n.whole = true
	default:
		n.lines = s.lines[from-oldest:]
	}
	return n
}

var errNoList = errors.New("no list is known here yet")

// all is the whole list as a line, encoded once for a revision.
func (s *store) all() (line []byte, rev int64, err error) {
	s.mu.RLock()
	line, rev = s.whole, s.machine.Revision()
	s.mu.RUnlock()
	if line != nil {
		return line, rev, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if rev = s.machine.Revision(); s.whole != nil {
		return s.whole, rev, nil
	}
	if s.machine.Cluster() == "" {
		return nil, 0, errNoList
	}
	line, err = json.Marshal(list.List{Rev: rev, All: true, Targets: s.machine.Targets(), Cluster: s.machine.Cluster()})
	if err != nil {
		return nil, 0, fmt.Errorf("list: %w", err)
	}
	s.whole = append(line, '\n')
	return s.whole, rev, nil
}

// beat is the line that a watch whose watcher holds a revision says when nothing changes, for those who want to know how old
// the list may be; below 0 ms: that is not known.
func (s *store) beat(rev int64, age time.Duration) []byte {
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
