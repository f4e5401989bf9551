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

// store is the state machine behind a lock, with its changes as the lines that watches write: each change is encoded once for all of
// them. It implements replica.Machine.
type store struct {
	mu      sync.RWMutex
	machine *state.Machine
	// lines are those of the latest changes, up to the current revision. They are never changed in place: watches use parts of the slice.
	lines    [][]byte
	listLine []byte // the complete list; nil: not encoded since the last change

	listChanged   chan struct{} // closed and replaced when the list changes
	routesChanged chan struct{} // the same for the route table
	rolesChanged  chan struct{} // the same for the roles
}

func newStore() *store {
	return &store{
		machine:       state.New(),
		listChanged:   make(chan struct{}),
		routesChanged: make(chan struct{}),
		rolesChanged:  make(chan struct{}),
	}
}

// Apply implements replica.Machine. It returns a state.Result. A command that cannot be decoded is refused on every node alike.
func (s *store) Apply(text []byte) any {
	command, err := state.Decode(text)
	if err != nil {
		return state.Result{Err: &state.Error{Code: state.Invalid, Reason: err.Error()}}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	result := s.machine.Apply(command)
	if len(result.Changes) > 0 {
		s.lines = s.appendLines(s.lines, result.Changes)
		s.notifyListChanged()
	}
	if result.RoutesChanged {
		s.notifyRoutesChanged()
	}
	if result.RolesChanged {
		s.notifyRolesChanged()
	}
	return result
}

// appendLines encodes changes and drops lines that are older than the state's history. The caller holds s.mu.
func (s *store) appendLines(lines [][]byte, changes []state.Change) [][]byte {
	for _, change := range changes {
		line, err := json.Marshal(list.List{Rev: change.Revision, Targets: []list.Target{change.Target}, Cluster: s.machine.Cluster()})
		if err != nil {
			line = nil // cannot happen: the target was checked
		}
		lines = append(lines, append(line, '\n'))
	}
	if len(lines) >= 2*state.MaxHistory {
		lines = slices.Clone(lines[len(lines)-state.MaxHistory:])
	}
	return lines
}

// notifyListChanged wakes the watches of the list. The caller holds s.mu.
func (s *store) notifyListChanged() {
	s.listLine = nil
	close(s.listChanged)
	s.listChanged = make(chan struct{})
}

// notifyRoutesChanged wakes the watches of the route table. The caller holds s.mu.
func (s *store) notifyRoutesChanged() {
	close(s.routesChanged)
	s.routesChanged = make(chan struct{})
}

// notifyRolesChanged wakes the watches of roles. The caller holds s.mu.
func (s *store) notifyRolesChanged() {
	close(s.rolesChanged)
	s.rolesChanged = make(chan struct{})
}

// Snapshot implements replica.Machine.
func (s *store) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Snapshot()
}

// Restore implements replica.Machine: it replaces the state by that of a snapshot. Where it returns an error, the state is as before.
func (s *store) Restore(from io.Reader) error {
	machine, err := state.ReadSnapshot(from)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine = machine
	changes, _ := machine.ChangesSince(machine.OldestRevision()) // which is always known
	s.lines = s.appendLines(nil, changes)
	s.notifyListChanged()
	s.notifyRoutesChanged()
	s.notifyRolesChanged()
	return nil
}

// read calls visit with the state, which visit must neither change nor use after it returns.
func (s *store) read(visit func(*state.Machine)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	visit(s.machine)
}

// cluster returns the id of the cluster, or "" before it is founded.
func (s *store) cluster() string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Cluster()
}

// listUpdate is what a watch of the list has to write to a client that has a revision.
type listUpdate struct {
	lines    [][]byte        // the changes since then, in order
	complete bool            // the complete list is needed instead
	revision int64           // that the client has afterwards
	unknown  bool            // the client's revision is later than this node's
	changed  <-chan struct{} // closed when there is more
}

// updateAfter returns the update for a client that has the list of a revision; below 0 it has none.
func (s *store) updateAfter(from int64) listUpdate {
	s.mu.RLock()
	defer s.mu.RUnlock()
	update := listUpdate{revision: s.machine.Revision(), changed: s.listChanged}
	oldest := update.revision - int64(len(s.lines))
	switch {
	case from > update.revision:
		update.unknown = true
	case from < oldest || from < 0:
		update.complete = true
	default:
		update.lines = s.lines[from-oldest:]
	}
	return update
}

// errNoList is returned before the cluster is founded.
var errNoList = errors.New("no list is known here yet")

// completeList returns the complete list as a line, which is encoded once for a revision, and the revision.
func (s *store) completeList() (line []byte, revision int64, err error) {
	s.mu.RLock()
	line, revision = s.listLine, s.machine.Revision()
	s.mu.RUnlock()
	if line != nil {
		return line, revision, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	revision = s.machine.Revision()
	if s.listLine != nil {
		return s.listLine, revision, nil
	}
	if s.machine.Cluster() == "" {
		return nil, 0, errNoList
	}
	line, err = json.Marshal(list.List{Rev: revision, All: true, Targets: s.machine.Targets(), Cluster: s.machine.Cluster()})
	if err != nil {
		return nil, 0, fmt.Errorf("list: %w", err)
	}
	line = append(line, '\n')
	s.listLine = line
	return line, revision, nil
}

// heartbeat returns the line that a watch writes where nothing changes, with the revision that the client has and the age of the node's
// state; an age below 0 is not known and left out.
func (s *store) heartbeat(revision int64, age time.Duration) []byte {
	update := list.List{Rev: revision, Targets: []list.Target{}, Cluster: s.cluster()}
	if ageMS := age.Milliseconds(); ageMS >= 0 {
		update.AgeMS = &ageMS
	}
	line, err := json.Marshal(update)
	if err != nil {
		return []byte("\n") // cannot happen: there is nothing in it that JSON refuses
	}
	return append(line, '\n')
}
