package wal_test

import (
	"errors"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"syscall"

	"gradeusher.example/gradeusher/internal/system/wal"
)

// errCrash is what every call returns once the simulated machine has crashed.
var errCrash = errors.New("the machine has crashed")

// simFS is one folder of a simulated disk. After a power loss, unsynced data may be present, missing or torn, and each creation,
// rename or removal of a name without a sync of the folder independently survives or is lost. After a failed sync, no later sync
// makes any more data of that file durable, although it may succeed and reads still return all data.
type simFS struct {
	folder           folderState
	visible, durable map[string]*inode
	pending          []dirOp // name changes that are not durable yet, in order
	calls            int     // number of calls that make a change
	fault            func(call int, what string) error
	crashed          bool
	capacity         int              // bound on the total size of all files in bytes; 0 if unbounded
	knobs            wal.TestingKnobs // knobs of the logs that are opened on this disk
	ignored          ignoredSyncs
}

// folderState is the state of the folder itself.
type folderState int

const (
	folderMissing folderState = iota
	folderCreated             // a power loss may remove the folder and everything in it
	folderDurable
)

type inode struct {
	content, durable []byte
	pending          []fileOp // content changes that are not durable yet, in order
	failed           bool     // a sync has failed
}

// fileOp is a write (if data is not nil) or a change of the file size to at.
type fileOp struct {
	at    int64
	data  []byte
	state syncState
}

// syncState is the effect that syncs have had on a fileOp.
type syncState int

const (
	syncNone   syncState = iota
	syncDone             // the operation is durable, but an earlier one is not
	syncFailed           // no later sync makes it durable
)

// dirOp removes the name from, unless empty, and gives node the name to, unless empty.
type dirOp struct {
	from, to string
	node     *inode
}

const simFolder = "/data"

func newSimFS() *simFS { return &simFS{visible: map[string]*inode{}, durable: map[string]*inode{}} }

func (f fileOp) apply(b []byte) []byte {
	if f.data == nil {
		if f.at <= int64(len(b)) {
			return slices.Clone(b[:f.at])
		}
		return append(slices.Clone(b), make([]byte, f.at-int64(len(b)))...)
	}
	end := f.at + int64(len(f.data))
	c := make([]byte, max(end, int64(len(b))))
	copy(c, b)
	copy(c[f.at:], f.data)
	return c
}

// outcomes returns what may be left of an operation after a power loss. Unless the operation is durable, the first outcome is that
// nothing is left.
func (f fileOp) outcomes() [][]fileOp {
	if f.state == syncDone {
		return [][]fileOp{{f}}
	}
	all := [][]fileOp{nil, {f}}
	if len(f.data) > 1 {
		middle := len(f.data) / 2
		all = append(all,
			[]fileOp{{at: f.at, data: f.data[:middle]}},
			[]fileOp{{at: f.at + int64(middle), data: f.data[middle:]}},
			[]fileOp{{at: f.at, data: make([]byte, len(f.data))}},
			[]fileOp{{at: f.at, data: append(f.data[:middle:middle], make([]byte, len(f.data)-middle)...)}})
	}
	return all
}

func (d dirOp) apply(names map[string]*inode) {
	if d.from != "" {
		if names[d.from] != d.node {
			return // the name that it moves or removes is not there
		}
		delete(names, d.from)
	}
	if d.to != "" {
		names[d.to] = d.node
	}
}

func (s *simFS) countCall(what string) error {
	if s.crashed {
		return errCrash
	}
	s.calls++
	if s.fault == nil {
		return nil
	}
	err := s.fault(s.calls, what)
	if errors.Is(err, errCrash) {
		s.crashed = true
	}
	return err
}

func (s *simFS) MkdirAll(string) error {
	if err := s.countCall("mkdir"); err != nil {
		return err
	}
	s.folder = max(s.folder, folderCreated)
	return nil
}

func (s *simFS) ReadDir(string) ([]string, error) {
	if s.crashed {
		return nil, errCrash
	}
	if s.folder == folderMissing {
		return nil, os.ErrNotExist
	}
	return slices.Sorted(maps.Keys(s.visible)), nil
}

func (s *simFS) Open(name string) (wal.File, error) {
	n := s.visible[filepath.Base(name)]
	if s.crashed {
		return nil, errCrash
	}
	if n == nil {
		return nil, os.ErrNotExist
	}
	return &simFile{s, n}, nil
}

func (s *simFS) Create(name string) (wal.File, error) {
	name = filepath.Base(name)
	if err := s.countCall("create"); err != nil {
		return nil, err
	}
	if s.visible[name] != nil {
		return nil, os.ErrExist
	}
	n := &inode{}
	s.changeName(dirOp{to: name, node: n})
	return &simFile{s, n}, nil
}

func (s *simFS) changeName(d dirOp) {
	d.apply(s.visible)
	s.pending = append(s.pending, d)
}

func (s *simFS) Rename(from, to string) error {
	if err := s.countCall("rename"); err != nil {
		return err
	}
	n := s.visible[filepath.Base(from)]
	if n == nil {
		return os.ErrNotExist
	}
	s.changeName(dirOp{filepath.Base(from), filepath.Base(to), n})
	return nil
}

func (s *simFS) Remove(name string) error {
	if err := s.countCall("remove"); err != nil {
		return err
	}
	n := s.visible[filepath.Base(name)]
	if n == nil {
		return os.ErrNotExist
	}
	s.changeName(dirOp{from: filepath.Base(name), node: n})
	return nil
}

func (s *simFS) SyncDir(folder string) error {
	if err := s.countCall("syncdir"); err != nil {
		return err
	}
	if folder != simFolder {
		if !s.ignored.parentFolder {
			s.folder = folderDurable
		}
		return nil
	}
	if s.ignored.folder {
		return nil
	}
	s.durable, s.pending = maps.Clone(s.visible), nil
	return nil
}

type simFile struct {
	fs   *simFS
	node *inode
}

func (n *inode) changeContent(f fileOp) {
	n.content = f.apply(n.content)
	n.pending = append(n.pending, f)
}

func (f *simFile) ReadAt(b []byte, at int64) (int, error) {
	if f.fs.crashed {
		return 0, errCrash
	}
	if at >= int64(len(f.node.content)) {
		return 0, io.EOF
	}
	n := copy(b, f.node.content[at:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

// WriteAt writes only the first half of b if the call fails, and what fits if the disk is full.
func (f *simFile) WriteAt(b []byte, at int64) (int, error) {
	err := f.fs.countCall("write")
	if errors.Is(err, errCrash) {
		return 0, err
	}
	b = slices.Clone(b)
	if err != nil {
		b = b[:len(b)/2]
	} else if free := f.fs.freeBytes(f.node, at); f.fs.capacity > 0 && len(b) > free {
		b, err = b[:free], errNoSpace
	}
	if len(b) > 0 {
		f.node.changeContent(fileOp{at: at, data: b})
	}
	return len(b), err
}

// freeBytes returns the number of bytes that can be written to n at offset at.
func (s *simFS) freeBytes(n *inode, at int64) int {
	return max(0, s.capacity-s.usedBytes()) + max(0, len(n.content)-int(at))
}

// usedBytes returns the total size of all files in bytes.
func (s *simFS) usedBytes() int {
	used := 0
	for _, n := range s.visible {
		used += len(n.content)
	}
	return used
}

func (f *simFile) Size() (int64, error) {
	if f.fs.crashed {
		return 0, errCrash
	}
	return int64(len(f.node.content)), nil
}

func (f *simFile) Truncate(size int64) error {
	if err := f.fs.countCall("truncate"); err != nil {
		return err
	}
	f.node.changeContent(fileOp{at: size})
	return nil
}

// Sync makes the content durable, but not the name.
func (f *simFile) Sync() error {
	err := f.fs.countCall("sync")
	if errors.Is(err, errCrash) {
		return err
	}
	done := syncDone
	if err != nil {
		done = syncFailed
	}
	if !f.fs.ignored.files {
		f.node.recordSync(done)
	}
	return err
}

// recordSync records the result of a sync.
func (n *inode) recordSync(done syncState) {
	if n.failed = n.failed || done == syncFailed; n.failed {
		done = syncFailed
	}
	n.pending = slices.Clone(n.pending)
	for i := range n.pending {
		if n.pending[i].state == syncNone {
			n.pending[i].state = done
		}
	}
	for len(n.pending) > 0 && n.pending[0].state == syncDone {
		n.durable, n.pending = n.pending[0].apply(n.durable), n.pending[1:]
	}
}

func (f *simFile) Close() error { return nil }

var errNoSpace = &os.PathError{Op: "write", Path: "sim", Err: syscall.ENOSPC}
