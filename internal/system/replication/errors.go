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
	// ErrStopped marks calls after Stop, and of a node that takes no part any more (Node.Err): ask another node.
	ErrStopped = errors.New("replication: this node is stopped: ask another")
	// ErrNoDisk is given where a node that is no observer is started without a disk.
	ErrNoDisk = errors.New("replication: a node that votes needs a disk: set data_dir, or start it as an observer")
)

// DivergedLogError is given by Core.Err and Node.Err where the log of this node contradicts its predecessor's in a record that may have
// been acknowledged: a disk that did not keep what it had synced, or a bug. The node takes no part any more; the remedy is to empty its
// data directory, upon which it joins under a new identity.
type DivergedLogError struct {
	Seq                  uint64 // of the record
	Epoch, UpstreamEpoch uint64 // in which it was accepted, here and at the predecessor
}

func (e *DivergedLogError) Error() string {
	return fmt.Sprintf("replication: record %d here is of epoch %d, at the predecessor of epoch %d: empty this node's data directory",
		e.Seq, e.Epoch, e.UpstreamEpoch)
}

// damagedDataError marks as wal.ErrDamaged what the disk returned intact but is not what a node writes.
func damagedDataError(err error, what string) error {
	if err == nil {
		err = errors.New("its number is not the next one")
	}
	err = errors.Wrapf(err, "replication: %s on disk cannot be read: move the log away and start under a new identity", what)
	return errors.Mark(err, wal.ErrDamaged)
}
