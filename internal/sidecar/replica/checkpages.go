package replica

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"slices"
	"syscall"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

// checkPages checks all pages of the log. Errors wrap ErrCorrupt, or say why the log cannot be checked.
//
// The check of bbolt reads pages without checks in a goroutine of its own, where a panic ends the process and cannot be recovered. So everything
// that it is going to read is read here before, where a panic becomes an error.
func checkPages(path string) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // for an offset that leads out of the file
	defer recoverCorrupt(path, &err)
	// What lies behind the end of a truncated file cannot be read, which the list of free pages may be.
	if err := viewLog(path, false, checkLength); err != nil {
		return err
	}
	return viewLog(path, true, func(tx *bbolt.Tx, file *os.File) error {
		if err := checkHeaders(tx, file); err != nil {
			return err
		}
		if err := tx.ForEach(func(_ []byte, bucket *bbolt.Bucket) error { return readBucket(bucket) }); err != nil {
			return err
		}
		var first error
		for err := range tx.Check() { // to its end, or its goroutine would stay
			if first == nil {
				first = err
			}
		}
		return first
	})
}

// viewLog opens the log for reading, with its list of free pages or without, and calls check, whose errors mean that the log is corrupt.
func viewLog(path string, withFreelist bool, check func(*bbolt.Tx, *os.File) error) error {
	var file *os.File
	defer func() {
		if file != nil { // where bbolt failed, it has not closed it; else this does nothing more
			_ = syscall.Flock(int(file.Fd()), syscall.LOCK_UN) // pages that stay mapped would keep the lock
			_ = file.Close()
		}
	}()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openTimeout, ReadOnly: true, PreLoadFreelist: withFreelist,
		OpenFile: func(name string, flag int, mode os.FileMode) (_ *os.File, err error) {
			file, err = os.OpenFile(name, flag, mode)
			return file, err
		}})
	if err != nil {
		return openError(path, err)
	}
	defer func() { _ = db.Close() }() // it was only read
	if err := db.View(func(tx *bbolt.Tx) error { return check(tx, file) }); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrCorrupt, path, err)
	}
	return nil
}

// openError returns what it means that the log cannot be opened. A log that another process has open is not corrupt, and to quarantine it would lose it.
func openError(path string, err error) error {
	if errors.Is(err, bolterrors.ErrTimeout) || errors.Is(err, os.ErrPermission) {
		return fmt.Errorf("log: %w", err)
	}
	return fmt.Errorf("%w: %s: %w", ErrCorrupt, path, err)
}

// checkLength returns an error unless the file has all pages that are in use.
func checkLength(tx *bbolt.Tx, file *os.File) error {
	info, err := file.Stat()
	if err != nil {
		return err
	}
	if tx.Size() > info.Size() {
		return fmt.Errorf("%d bytes of %d", info.Size(), tx.Size())
	}
	return nil
}

const metaPages = 2 // at the beginning of a bbolt file

// checkHeaders checks the header of each page that is in use: it must have the page's own number and a kind of page, and continue no further than the log.
func checkHeaders(tx *bbolt.Tx, file *os.File) error {
	pageSize := int64(tx.DB().Info().PageSize)
	pageCount := int(tx.Size() / pageSize)
	for number := 0; number < pageCount; number++ {
		page, err := tx.Page(number)
		if err != nil {
			return err
		}
		if page.Type == "free" {
			continue
		}
		var header [8]byte // begins with the page's number, in the byte order of the machine
		if _, err := file.ReadAt(header[:], int64(number)*pageSize); err != nil {
			return err
		}
		kinds := []string{"branch", "leaf", "freelist"}
		if number < metaPages {
			kinds = []string{"meta"}
		}
		written := binary.NativeEndian.Uint64(header[:])
		if written != uint64(number) || !slices.Contains(kinds, page.Type) || page.OverflowCount >= pageCount-number {
			return fmt.Errorf("page %d of %d: number %d, kind %s, %d more", number, pageCount, written, page.Type, page.OverflowCount)
		}
		number += page.OverflowCount
	}
	return nil
}

// readBucket reads all keys of a bucket and of the buckets in it.
func readBucket(bucket *bbolt.Bucket) error {
	return bucket.ForEach(func(key, value []byte) error {
		if value != nil {
			return nil
		}
		return readBucket(bucket.Bucket(key))
	})
}
