// Package restore moves the control state between backups and the data directories of control-plane nodes that are not running. It is
// separate from package admin so that proxies, which import admin, are built without the code of the chain.
//
// The problem: after the loss of all nodes a new system must start from a state that was backed up, and no node may start from a
// different one. Into therefore writes only into empty data directories, and the same backup must be used for all nodes.
package restore

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/replication"
	"gradeusher.example/gradeusher/internal/system/wal"
)

// ErrNotEmpty marks a data directory that has entries.
var ErrNotEmpty = errors.New("data directory not empty")

// logDirectory is the directory of the log within a node's data directory.
const logDirectory = "control"

// Into writes a state into the empty data directory of a node that has not started yet, as the snapshot of its log. The nodes of a new
// system that start on it with bootstrap = true begin with this state. Use the same backup for all of them. An error is marked
// ErrNotEmpty, or comes from the disk.
func Into(dataDir string, state *controlstate.State) (err error) {
	snapshot, err := replication.RestoredSnapshot(state)
	if err != nil {
		return err
	}
	if err := prepareEmpty(dataDir); err != nil {
		return err
	}
	log, err := wal.Open(filepath.Join(dataDir, logDirectory), wal.Options{})
	if err != nil {
		return errors.Wrapf(err, "the log in %s cannot be opened", dataDir)
	}
	defer func() { err = errors.CombineErrors(err, log.Close()) }()
	if _, err := log.Load(); err != nil {
		return errors.Wrapf(err, "the log in %s cannot be read", dataDir)
	}
	return errors.Wrapf(log.Install(snapshot), "cannot write the state into %s: empty the directory before the next attempt", dataDir)
}

// prepareEmpty creates a data directory, or checks that an existing one is empty except for the lost+found of a file system.
func prepareEmpty(dataDir string) error {
	entries, err := os.ReadDir(dataDir)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return errors.Wrapf(os.MkdirAll(dataDir, 0o700), "the data directory %s cannot be made", dataDir)
	case err != nil:
		return errors.Wrapf(err, "the data directory %s cannot be read", dataDir)
	}
	for _, e := range entries {
		if e.Name() != "lost+found" {
			return errors.Mark(errors.Newf("%s holds %s: restore into the empty data directory of a keeper that is not running", dataDir, e.Name()), ErrNotEmpty)
		}
	}
	return nil
}

// From reads the state from the data directory of a node and changes nothing there. It is for use when no node is running. The last
// records may never have been acknowledged, and other nodes may have acknowledged later ones.
func From(dataDir string) (state *controlstate.State, err error) {
	directory := filepath.Join(dataDir, logDirectory)
	if _, err := os.Stat(directory); err != nil {
		return nil, errors.Wrapf(err, "%s is not the data directory of a keeper: give its data_dir", dataDir)
	}
	log, err := wal.Open(directory, wal.Options{ReadOnly: true})
	if err != nil {
		return nil, errors.Wrapf(err, "the log in %s cannot be opened", dataDir)
	}
	defer func() { err = errors.CombineErrors(err, log.Close()) }()
	stored, err := log.Load()
	if err != nil {
		return nil, errors.Wrapf(err, "the log in %s cannot be read: try another keeper's", dataDir)
	}
	return replication.RecoverState(stored.Snapshot, stored.Entries)
}
