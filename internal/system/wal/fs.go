package wal

import (
	"io"
	"os"
)

// FS is the part of a file system that a Log uses. Names are paths.
type FS interface {
	MkdirAll(folder string) error
	ReadDir(folder string) ([]string, error) // names inside, without the folder
	Open(name string) (File, error)          // opens an existing file for reading and writing
	Create(name string) (File, error)        // creates a file for reading and writing; os.ErrExist if the name exists
	Rename(from, to string) error
	Remove(name string) error
	SyncDir(folder string) error // makes creations, renames and removals of names in folder durable
}

// File is an open file of an FS.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	Size() (int64, error)
	Truncate(size int64) error
	Sync() error // makes the content durable
}

// osFS is the operating system's file system.
type osFS struct{}

type osFile struct{ *os.File }

func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// Permissions of the folder and the files that a Log creates. The files may contain credentials, so only their owner has access.
const (
	folderMode = 0o700
	fileMode   = 0o600
)

func (osFS) MkdirAll(folder string) error { return os.MkdirAll(folder, folderMode) }

func (osFS) ReadDir(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Name()
	}
	return names, err
}

func (osFS) open(name string, flag int) (File, error) {
	f, err := os.OpenFile(name, os.O_RDWR|flag, fileMode)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

func (fs osFS) Open(name string) (File, error) { return fs.open(name, 0) }

func (fs osFS) Create(name string) (File, error) { return fs.open(name, os.O_CREATE|os.O_EXCL) }

func (osFS) Rename(from, to string) error { return os.Rename(from, to) }

func (osFS) Remove(name string) error { return os.Remove(name) }

func (osFS) SyncDir(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	err = d.Sync()
	if closeErr := d.Close(); err == nil {
		err = closeErr
	}
	return err
}
