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
	bolterrors "go.etcd.io/bbolt/errors"
)

// ErrUnsound is a store that is torn or does not fit together. Danger: a replica that went on with what is left of it, or
// with an empty one under its old vote, could help to elect a leader that lacks what was acknowledged.
var ErrUnsound = errors.New("the store is unsound")

const logFile = "log.bolt"

// Check looks at a replica's folder before it is opened. Errors wrap ErrUnsound, or say why it cannot be looked at.
func Check(folder string) (err error) {
	path := filepath.Join(folder, logFile)
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		return nil // nothing was ever kept
	}
	defer func() {
		if v := recover(); v != nil { // the library reads pages as they are
			err = fmt.Errorf("%w: %s: %v", ErrUnsound, path, v)
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
		return fmt.Errorf("%w: %s: %w", ErrUnsound, path, err)
	}
	defer store.Close()
	first, err := store.FirstIndex()
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrUnsound, path, err)
	}
	if first > newest+1 {
		return fmt.Errorf("%w: the log begins at %d, the newest snapshot ends at %d", ErrUnsound, first, newest)
	}
	return nil
}

// checkPages walks all pages of the log.
func checkPages(path string) error {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openTimeout, ReadOnly: true})
	switch {
	case errors.Is(err, bolterrors.ErrTimeout), errors.Is(err, os.ErrPermission):
		return fmt.Errorf("log: %w", err) // another process has it
	case err != nil:
		return fmt.Errorf("%w: %s: %w", ErrUnsound, path, err)
	}
	defer db.Close()
	// Danger: a page that lies beyond the end of a file that was cut off cannot even be looked at: the process would be
	// killed by the kernel.
	info, err := os.Stat(path)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	err = db.View(func(tx *bbolt.Tx) error {
		if tx.Size() > info.Size() {
			return fmt.Errorf("%d bytes of %d", info.Size(), tx.Size())
		}
		var first error
		for err := range tx.Check() { // to its end, or its goroutine would stay
			if first == nil {
				first = err
			}
		}
		return first
	})
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrUnsound, path, err)
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
	store, err := raft.NewFileSnapshotStoreWithLogger(folder, snapshotsKept, hclog.NewNullLogger())
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
			return 0, fmt.Errorf("%w: snapshot %s: %w", ErrUnsound, d.Name(), err)
		}
		newest = max(newest, meta.Index)
	}
	return newest, nil
}
