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

// ErrCorrupt is a store that is torn or does not fit together. Danger: a replica that went on with what is left of it, or
// with an empty one under its old vote, could help to elect a leader that lacks what was acknowledged.
var ErrCorrupt = errors.New("the store is unsound")

const logFile = "log.bolt"

// Check looks at a replica's folder before it is opened. Errors wrap ErrCorrupt, or say why it cannot be looked at.
func Check(folder string) (err error) {
	path := filepath.Join(folder, logFile)
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		return nil // nothing was ever kept
	}
	defer func() {
		if v := recover(); v != nil { // the library reads pages as they are
			err = fmt.Errorf("%w: %s: %v", ErrCorrupt, path, v)
		}
	}()
	if err := checkPages(path); err != nil {
		return err
	}
	newest, err := checkSnapshots(folder)
	if err != nil {
		return err
	}
	store, err := raftboltdb.New(raftboltdb.Options{Path: path, BoltOptions: &bbolt.Options{Timeout: openTimeout}})
	if err != nil {
		return openError(path, err)
	}
	defer store.Close()
	first, err := store.FirstIndex()
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrCorrupt, path, err)
	}
	if first > newest+1 {
		return fmt.Errorf("%w: the log begins at %d, the newest snapshot ends at %d", ErrCorrupt, first, newest)
	}
	return nil
}

// checkSnapshots reads every snapshot against its checksum, and returns the index at which the newest ends; 0: there is none.
func checkSnapshots(folder string) (newest uint64, err error) {
	root := filepath.Join(folder, "snapshots")
	all, err := os.ReadDir(root)
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
	for _, d := range all {
		if strings.HasSuffix(d.Name(), ".tmp") {
			continue // one that was never finished
		}
		meta, from, err := store.Open(d.Name())
		if err == nil {
			_, err = io.Copy(io.Discard, from)
			err = errors.Join(err, from.Close())
		}
		if err != nil {
			return 0, fmt.Errorf("%w: snapshot %s: %w", ErrCorrupt, d.Name(), err)
		}
		newest = max(newest, meta.Index)
	}
	return newest, nil
}
