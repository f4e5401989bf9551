// Package restore moves the control state between backups and the data directories of keepers that are not running. It is
// apart from the other tooling so that proxies do without the chain's code.
package restore

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/replication"
	"gradeusher.example/gradeusher/internal/system/wal"
)

// ErrNotEmpty marks a data directory that holds something.
var ErrNotEmpty = errors.New("data directory not empty")

// controlFolder is where a keeper has its log in its data directory.
const controlFolder = "control"

// Into lays a state into the empty data directory of a keeper that has not started yet, as the log's snapshot. The
// keepers of a new system that are started on it with bootstrap = true begin with this state. Lay the same backup on all of
// them. Errors are marked ErrNotEmpty, or of the disk.
func Into(dataDir string, s *controlstate.State) (err error) {
	image, err := replication.RestoredSnapshot(s)
	if err != nil {
		return err
	}
	held, err := os.ReadDir(dataDir)
	switch {
	case errors.Is(err, os.ErrNotExist):
		if err := os.MkdirAll(dataDir, 0o700); err != nil {
			return errors.Wrapf(err, "the data directory %s cannot be made", dataDir)
		}
	case err != nil:
		return errors.Wrapf(err, "the data directory %s cannot be read", dataDir)
	}
	for _, e := range held {
		if e.Name() != "lost+found" {
			return errors.Mark(errors.Newf("%s holds %s: restore into the empty data directory of a keeper that is not running", dataDir, e.Name()), ErrNotEmpty)
		}
	}
	log, err := wal.Open(filepath.Join(dataDir, controlFolder), wal.Options{})
	if err != nil {
		return errors.Wrapf(err, "the log in %s cannot be opened", dataDir)
	}
	defer func() { err = errors.CombineErrors(err, log.Close()) }()
	if _, _, _, err := log.Load(); err != nil {
		return errors.Wrapf(err, "the log in %s cannot be read", dataDir)
	}
	return errors.Wrapf(log.Install(image), "the state cannot be laid into %s: empty it before the next try", dataDir)
}

// From reads the state out of the data directory of a keeper, for when no keeper answers any more, and changes nothing there. Its
// last records may never have been acknowledged, and others may have acknowledged more.
func From(dataDir string) (s *controlstate.State, err error) {
	folder := filepath.Join(dataDir, controlFolder)
	if _, err := os.Stat(folder); err != nil {
		return nil, errors.Wrapf(err, "%s is no data directory of a keeper: name its data_dir", dataDir)
	}
	log, err := wal.Open(folder, wal.Options{ReadOnly: true})
	if err != nil {
		return nil, errors.Wrapf(err, "the log in %s cannot be opened", dataDir)
	}
	defer func() { err = errors.CombineErrors(err, log.Close()) }()
	_, snapshot, entries, err := log.Load()
	if err != nil {
		return nil, errors.Wrapf(err, "the log in %s cannot be read: try another keeper's", dataDir)
	}
	return replication.RecoverState(snapshot, entries)
}
