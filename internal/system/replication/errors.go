package replication

import (
	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/wal"
)

// damagedDataError marks what the disk gave back whole but is not what a keeper writes: it is as good as damaged.
func damagedDataError(err error, what string) error {
	if err == nil {
		err = errors.New("its number is not the next one")
	}
	return errors.Mark(errors.Wrapf(err, "replication: %s on disk cannot be read: put the log aside and start under a new identity", what), wal.ErrDamaged)
}
