package lab

import (
	"cmp"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"time"

	"go.etcd.io/bbolt"

	"gradeusher.example/gradeusher/internal/lab/plan"
)

// truncateStore truncates a registry node's newest log file (plan.ModeTornLog) or snapshot (plan.ModeTornSnapshot) to half of the bytes in use.
func truncateStore(folder, mode string) error {
	pattern := filepath.Join(folder, logFile)
	if mode == plan.ModeTornSnapshot {
		pattern = filepath.Join(folder, "snapshots", "*", snapshotFile)
	}
	paths, err := filepath.Glob(pattern)
	if err != nil {
		return fmt.Errorf("truncate %s: %w", pattern, err)
	}
	if len(paths) == 0 {
		return fmt.Errorf("nothing to truncate at %s", pattern)
	}
	slices.SortFunc(paths, func(a, b string) int { return cmp.Compare(modifiedAt(a), modifiedAt(b)) })
	path := paths[len(paths)-1]
	size, err := bytesInUse(path)
	if err != nil {
		return err
	}
	return os.Truncate(path, size/2)
}

// The files of a registry node's store that are truncated.
const (
	logFile      = "log.bolt"
	snapshotFile = "state.bin"
)

// bytesInUse is how many bytes of a file hold anything. The file of a log is laid out ahead of what is written, and a truncation in that
// part would lose nothing.
func bytesInUse(path string) (size int64, err error) {
	if filepath.Base(path) != logFile {
		info, err := os.Stat(path)
		if err != nil {
			return 0, err
		}
		return info.Size(), nil
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second, ReadOnly: true})
	if err != nil {
		return 0, err
	}
	defer func() { _ = db.Close() }() // it was only read
	err = db.View(func(tx *bbolt.Tx) error {
		size = tx.Size()
		return nil
	})
	return size, err
}

// modifiedAt is when a file was modified, in ns of the wall clock; a file that has gone is older than all.
func modifiedAt(path string) int64 {
	info, err := os.Stat(path)
	if err != nil {
		return math.MinInt64
	}
	return info.ModTime().UnixNano()
}
