package wal

import (
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// replaceFile writes a file under a temporary name, syncs it, renames it to name and syncs the folder. It returns the open file.
// renamed reports whether name may exist even though an error is returned.
func (l *Log) replaceFile(name string, content []byte) (f File, renamed bool, err error) {
	temporary := name + temporarySuffix
	f, err = l.writeTemporary(name, content)
	if err != nil {
		return nil, false, err
	}
	if err = l.options.FS.Rename(l.path(temporary), l.path(name)); err != nil {
		_ = l.remove(temporary)
		err = diskError(err, "rename "+name)
	} else {
		err = l.syncFolder()
	}
	if err != nil {
		_ = f.Close()
		return nil, true, err
	}
	return f, true, nil
}

// writeTemporary writes the future content of the file called name under its temporary name, and syncs it.
func (l *Log) writeTemporary(name string, content []byte) (File, error) {
	temporary := name + temporarySuffix
	file, err := l.createNew(temporary)
	if err != nil {
		return nil, diskError(err, "create "+name)
	}
	_, err = file.WriteAt(content, 0)
	if err == nil {
		err = file.Sync()
	}
	if err != nil {
		_ = file.Close()
		_ = l.remove(temporary)
		return nil, diskError(err, "write "+name)
	}
	return file, nil
}

// replaceOwnedFile calls replaceFile, closes the file, and then checks that no other process has opened the log in the meantime.
func (l *Log) replaceOwnedFile(name string, content []byte) (renamed bool, err error) {
	f, renamed, err := l.replaceFile(name, content)
	if err != nil {
		return renamed, err
	}
	_ = f.Close() // it is synced
	return renamed, l.checkOwnership()
}

// maxGarbage bounds the number of names of files to delete that are remembered; Load finds the rest.
const maxGarbage = 256

// deleteGarbage deletes files that are no longer live. The deletion of a file that cannot be deleted is retried at the next call.
func (l *Log) deleteGarbage() {
	remaining := l.garbage[:0]
	for _, name := range l.garbage {
		if err := l.options.FS.Remove(l.path(name)); err != nil && !errors.Is(err, os.ErrNotExist) {
			remaining = append(remaining, name)
		}
	}
	l.garbage = remaining[max(0, len(remaining)-maxGarbage):]
}

// createNew creates an empty file and removes a file of that name first, which must not be live. The old file is not reused, since
// a sync of it may have failed.
func (l *Log) createNew(name string) (File, error) {
	if err := l.remove(name); err != nil {
		return nil, err
	}
	return l.options.FS.Create(l.path(name))
}

func (l *Log) fileSize(name string) (int64, error) {
	f, err := l.options.FS.Open(l.path(name))
	if err != nil {
		return 0, err
	}
	defer func() { _ = f.Close() }()
	return f.Size()
}

func readFully(f File) ([]byte, error) {
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	b := make([]byte, size)
	n, err := f.ReadAt(b, 0)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return b[:n], err
}

func (l *Log) readFile(name string) ([]byte, error) {
	f, err := l.options.FS.Open(l.path(name))
	if err != nil {
		return nil, diskError(err, "open "+name)
	}
	defer func() { _ = f.Close() }()
	b, err := readFully(f)
	return b, diskError(err, "read "+name)
}

func (l *Log) path(name string) string { return filepath.Join(l.folder, name) }

// remove deletes a file. It returns no error if the file does not exist.
func (l *Log) remove(name string) error {
	err := l.options.FS.Remove(l.path(name))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	return err
}

// syncFolder makes creations, renames and removals in the log's folder durable.
func (l *Log) syncFolder() error {
	return diskError(l.options.FS.SyncDir(l.folder), "sync the log's folder")
}
