package replica

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"
)

// ErrCorrupt is wrapped where a store is truncated or inconsistent. A replica that went on with what is left of it, or with an empty one under its
// old vote, could help to elect a leader that lacks acknowledged commands.
var ErrCorrupt = errors.New("the store is unsound")

const logFile = "log.bolt"

// Check checks the folder of a replica before it is opened. Errors wrap ErrCorrupt, or say why the folder cannot be checked. A folder in which
// nothing was ever stored is fine.
func Check(folder string) (err error) {
	path := filepath.Join(folder, logFile)
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		return nil
	}
	defer recoverCorrupt(path, &err) // bbolt reads pages without checks
	if err := checkPages(path); err != nil {
		return err
	}
	newest, err := checkSnapshots(folder)
	if err != nil {
		return err
	}
	first, err := firstIndex(path)
	if err != nil {
		return err
	}
	if first > newest+1 {
		return fmt.Errorf("%w: the log begins at %d, the newest snapshot ends at %d", ErrCorrupt, first, newest)
	}
	return nil
}

// recoverCorrupt, deferred, makes an error that wraps ErrCorrupt of a panic.
func recoverCorrupt(path string, err *error) {
	if v := recover(); v != nil {
		*err = fmt.Errorf("%w: %s: %v", ErrCorrupt, path, v)
	}
}

// firstIndex returns the index of the log's first entry.
func firstIndex(path string) (uint64, error) {
	log, err := raftboltdb.New(raftboltdb.Options{Path: path, BoltOptions: &bbolt.Options{Timeout: openTimeout}})
	if err != nil {
		return 0, openError(path, err)
	}
	defer func() { _ = log.Close() }() // it was only read
	first, err := log.FirstIndex()
	if err != nil {
		return 0, fmt.Errorf("%w: %s: %w", ErrCorrupt, path, err)
	}
	return first, nil
}

const unfinishedSnapshot = ".tmp" // suffix of one whose writing was interrupted

// checkSnapshots compares every snapshot with its checksum, and returns the index at which the newest ends; 0: there is none.
func checkSnapshots(folder string) (newest uint64, err error) {
	entries, err := os.ReadDir(filepath.Join(folder, "snapshots"))
	if errors.Is(err, os.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("snapshots: %w", err)
	}
	store, err := raft.NewFileSnapshotStoreWithLogger(folder, retainedSnapshots, hclog.NewNullLogger())
	if err != nil {
		return 0, fmt.Errorf("snapshots: %w", err)
	}
	for _, entry := range entries {
		if strings.HasSuffix(entry.Name(), unfinishedSnapshot) {
			continue
		}
		index, err := checkSnapshot(store, entry.Name())
		if err != nil {
			return 0, fmt.Errorf("%w: snapshot %s: %w", ErrCorrupt, entry.Name(), err)
		}
		newest = max(newest, index)
	}
	return newest, nil
}

// checkSnapshot reads a snapshot, by which raft compares it with its checksum, and returns the index at which it ends.
func checkSnapshot(store *raft.FileSnapshotStore, name string) (index uint64, err error) {
	meta, content, err := store.Open(name)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, content)
	return meta.Index, errors.Join(err, content.Close())
}
