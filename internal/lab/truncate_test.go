package lab

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/bbolt"
)

// fillLog writes a log of some pages, in a file that is laid out ahead of them to a size.
func fillLog(t *testing.T, path string, pages int, layout int64) {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		bucket, err := tx.CreateBucket([]byte("logs"))
		if err != nil {
			return err
		}
		return bucket.Put([]byte("entry"), make([]byte, pages*os.Getpagesize()))
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := db.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.Truncate(path, layout); err != nil {
		t.Fatal(err)
	}
}

// TestTearTakesWhatIsUsed: a log's file is laid out ahead, in steps that double; whatever the step, a tear reaches what was written.
func TestTearTakesWhatIsUsed(t *testing.T) {
	const layout = 1 << 20
	for _, pages := range []int{1, 5, 9, 40} {
		t.Run(fmt.Sprintf("%d pages", pages), func(t *testing.T) {
			folder := t.TempDir()
			path := filepath.Join(folder, "log.bolt")
			fillLog(t, path, pages, layout)
			used, err := bytesInUse(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := truncateStore(folder, "torn"); err != nil {
				t.Fatal(err)
			}
			if info, err := os.Stat(path); err != nil || info.Size() >= used || used >= layout {
				t.Errorf("%v, %v of %d bytes in use are left", err, info.Size(), used)
			}
		})
	}
}
