package replication

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/wal"
)

var (
	// ErrUnavailable marks calls that could not be answered in time. A change may or may not be applied: retry.
	ErrUnavailable = errors.New("replication: no answer in time: ask again")
	// ErrNotApplied marks, together with ErrUnavailable, a change that was not applied and will not be: retry.
	ErrNotApplied = errors.New("replication: not applied: ask again")
	// ErrStopped marks calls after Stop, and calls of a node that has permanently failed (Node.Err): use another node.
	ErrStopped = errors.New("replication: this node is stopped: ask another")
	// ErrNoDisk is returned when a node that is not an observer is started without a disk.
	ErrNoDisk = errors.New("replication: a node that votes needs a disk: set data_dir, or start it as an observer")
)

// DivergedLogError is returned by Core.Err and Node.Err when the log of this node contradicts its predecessor's in a record that may
// have been acknowledged. The cause is a disk that did not keep what it had synced, or a bug. The node no longer takes part; the
// remedy is to empty its data directory, after which it joins under a new identity.
type DivergedLogError struct {
	Seq                  uint64 // of the record
	Epoch, UpstreamEpoch uint64 // in which the record was accepted, here and at the predecessor
}

func (e *DivergedLogError) Error() string {
	return fmt.Sprintf("replication: record %d here is of epoch %d, at the predecessor of epoch %d: empty this node's data directory",
		e.Seq, e.Epoch, e.UpstreamEpoch)
}

// damagedDataError marks err as wal.ErrDamaged: the disk returned the data intact, but a node does not write such data.
func damagedDataError(err error, what string) error {
	if err == nil {
		err = errors.New("its number does not follow the previous record's")
	}
	err = errors.Wrapf(err, "replication: %s on disk cannot be read: move the log away and start under a new identity", what)
	return errors.Mark(err, wal.ErrDamaged)
}
