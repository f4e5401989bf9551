package replica

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/hashicorp/raft"
)

// Restore replaces the state of all replicas by a snapshot of the machine.
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
			// Danger: a snapshot that the library took at the same time can leave its note of the last one before what was
			// restored. No log leads on from there, and it sends the others the snapshot over and over. Another one mends that.
			if err := r.TakeSnapshot(); err != nil {
				r.options.Log.Info("restore", "err", err)
			}
		}
	}
}

// TakeSnapshot takes a snapshot now.
func (r *Replica) TakeSnapshot() error {
	if err := r.raft.Snapshot().Error(); err != nil && !errors.Is(err, raft.ErrNothingNewToSnapshot) {
		return fmt.Errorf("snapshot: %w", err)
	}
	return nil
}

// fsm leads raft's calls to the machine.
type fsm struct{ machine Machine }

func (f fsm) Apply(l *raft.Log) any { return f.machine.Apply(l.Data) }

func (f fsm) Snapshot() (raft.FSMSnapshot, error) {
	text, err := f.machine.Snapshot()
	return snapshotBytes(text), err
}

func (f fsm) Restore(from io.ReadCloser) error {
	defer from.Close()
	return f.machine.Restore(from)
}

type snapshotBytes []byte

func (s snapshotBytes) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

func (s snapshotBytes) Release() {}
