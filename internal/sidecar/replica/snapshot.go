package replica

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/hashicorp/raft"
)

// restoreRetryInterval is how long a restore may take before another snapshot helps it on.
const restoreRetryInterval = 2 * time.Second

// Restore replaces the state of all replicas by a snapshot of the machine. Errors wrap ErrNotLeader or ErrUncertain.
//
// A snapshot that raft took at the same time can leave its record of the last snapshot before what was restored. No log leads on from there, and the
// leader sends the other replicas the snapshot over and over; a further snapshot repairs that.
func (r *Replica) Restore(snapshot []byte) error {
	if !r.Ready() {
		return ErrNotLeader
	}
	meta := &raft.SnapshotMeta{Version: raft.SnapshotVersionMax, Size: int64(len(snapshot)), Index: r.raft.LastIndex(), Term: r.raft.CurrentTerm()}
	done := make(chan error, 1)
	go func() { done <- r.raft.Restore(meta, bytes.NewReader(snapshot), membershipTimeout) }()
	for {
		select {
		case err := <-done:
			if err != nil {
				return translateError(err)
			}
			return nil
		case <-time.After(restoreRetryInterval):
			if err := r.TakeSnapshot(); err != nil {
				r.options.Log.Info("restore", "err", err)
			}
		}
	}
}

// TakeSnapshot takes a snapshot now, if there is something new.
func (r *Replica) TakeSnapshot() error {
	if err := r.raft.Snapshot().Error(); err != nil && !errors.Is(err, raft.ErrNothingNewToSnapshot) {
		return fmt.Errorf("snapshot: %w", err)
	}
	return nil
}

// fsm makes a raft.FSM of a Machine.
type fsm struct{ machine Machine }

// Apply implements raft.FSM.
func (f fsm) Apply(entry *raft.Log) any { return f.machine.Apply(entry.Data) }

// Snapshot implements raft.FSM.
func (f fsm) Snapshot() (raft.FSMSnapshot, error) {
	text, err := f.machine.Snapshot()
	return snapshotBytes(text), err
}

// Restore implements raft.FSM.
func (f fsm) Restore(from io.ReadCloser) error {
	defer func() { _ = from.Close() }()
	return f.machine.Restore(from)
}

// snapshotBytes is a raft.FSMSnapshot.
type snapshotBytes []byte

// Persist implements raft.FSMSnapshot.
func (s snapshotBytes) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (s snapshotBytes) Release() {}
