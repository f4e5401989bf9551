package lab

import (
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/bbolt"
)

// TestTearTakesWhatIsUsed: a log's file is laid out ahead, in steps that double; whatever the step, a tear reaches what was written.
func TestTearTakesWhatIsUsed(t *testing.T) {
	for _, pages := range []int{1, 5, 9, 40} {
		folder := t.TempDir()
		path := filepath.Join(folder, "log.bolt")
		db, err := bbolt.Open(path, 0o600, nil)
		if err != nil {
			t.Fatal(err)
		}
		err = db.Update(func(tx *bbolt.Tx) error {
			b, err := tx.CreateBucket([]byte("logs"))
			if err != nil {
				return err
			}
			return b.Put([]byte("entry"), make([]byte, pages*os.Getpagesize()))
		})
		if err != nil {
			t.Fatal(err)
		}
		if err := db.Close(); err != nil {
			t.Fatal(err)
		}
		if err := os.Truncate(path, 1<<20); err != nil { // laid out ahead
			t.Fatal(err)
		}
		used, err := bytesInUse(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := truncateStore(folder, "torn"); err != nil {
			t.Fatal(err)
		}
		if info, err := os.Stat(path); err != nil || info.Size() >= used || used >= 1<<20 {
			t.Errorf("%d pages: %v, %v of %d bytes in use are left", pages, err, info.Size(), used)
		}
	}
}
