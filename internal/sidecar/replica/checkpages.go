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

// checkPages looks at all pages of the log. Errors wrap ErrCorrupt, or say why it cannot be looked at.
//
// Danger: the library's own check reads pages as they are, in a goroutine of its own: what it fails on there ends the process,
// which nobody can recover. So whatever it is going to read is read here before, where a failure is an error.
func checkPages(path string) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // an offset that leads out of the file
	defer func() {
		if v := recover(); v != nil {
			err = fmt.Errorf("%w: %s: %v", ErrCorrupt, path, v)
		}
	}()
	// What lies beyond the end of a file that was cut off cannot be looked at, the list of free pages neither.
	if err := viewLog(path, false, checkLength); err != nil {
		return err
	}
	return viewLog(path, true, func(tx *bbolt.Tx, f *os.File) error {
		if err := checkHeaders(tx, f); err != nil {
			return err
		}
		if err := tx.ForEach(func(_ []byte, b *bbolt.Bucket) error { return readBucket(b) }); err != nil {
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

// viewLog opens the log, with its list of free pages or without, and has look find what is unsound.
func viewLog(path string, free bool, look func(*bbolt.Tx, *os.File) error) error {
	var f *os.File
	defer func() {
		if f != nil { // where the library failed, it has not come to this; else it does nothing more
			_ = syscall.Flock(int(f.Fd()), syscall.LOCK_UN) // the pages that stay mapped would keep the lock
			f.Close()
		}
	}()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openTimeout, ReadOnly: true, PreLoadFreelist: free,
		OpenFile: func(name string, flag int, mode os.FileMode) (_ *os.File, err error) {
			f, err = os.OpenFile(name, flag, mode)
			return f, err
		}})
	if err != nil {
		return openError(path, err)
	}
	defer db.Close()
	if err := db.View(func(tx *bbolt.Tx) error { return look(tx, f) }); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrCorrupt, path, err)
	}
	return nil
}

// openError is what it means that the log could not be opened. Danger: one that another process has is not unsound, and to set it
// aside would lose it.
func openError(path string, err error) error {
	if errors.Is(err, bolterrors.ErrTimeout) || errors.Is(err, os.ErrPermission) {
		return fmt.Errorf("log: %w", err)
	}
	return fmt.Errorf("%w: %s: %w", ErrCorrupt, path, err)
}

// checkLength tells whether the file holds all pages that are in use.
func checkLength(tx *bbolt.Tx, f *os.File) error {
	info, err := f.Stat()
	if err != nil {
		return err
	}
	if tx.Size() > info.Size() {
		return fmt.Errorf("%d bytes of %d", info.Size(), tx.Size())
	}
	return nil
}

// checkHeaders holds each page that is in use against its place: it names itself and its kind, and goes on no further than the log.
func checkHeaders(tx *bbolt.Tx, f *os.File) error {
	size := int64(tx.DB().Info().PageSize)
	pages := int(tx.Size() / size)
	for i := 0; i < pages; i++ {
		p, err := tx.Page(i)
		if err != nil {
			return err
		}
		if p.Type == "free" {
			continue
		}
		var own [8]byte // the page's number, as the library writes it
		if _, err := f.ReadAt(own[:], int64(i)*size); err != nil {
			return err
		}
		kinds := []string{"branch", "leaf", "freelist"}
		if i < 2 {
			kinds = []string{"meta"}
		}
		if n := binary.NativeEndian.Uint64(own[:]); n != uint64(i) || !slices.Contains(kinds, p.Type) || p.OverflowCount >= pages-i {
			return fmt.Errorf("page %d of %d: number %d, kind %s, %d more", i, pages, n, p.Type, p.OverflowCount)
		}
		i += p.OverflowCount
	}
	return nil
}

// readBucket reads all keys of a bucket and of those in it.
func readBucket(b *bbolt.Bucket) error {
	return b.ForEach(func(k, v []byte) error {
		if v != nil {
			return nil
		}
		return readBucket(b.Bucket(k))
	})
}
