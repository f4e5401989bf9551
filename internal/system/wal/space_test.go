package wal_test

import (
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/wal"
)

// Sizes of the machines that the log is for, in bytes.
const (
	wholeDisk   = 64e6
	mostState   = 16 << 20 // a configuration, the largest that a keeper takes
	usualState  = 600 << 10
	compactAt   = 8 << 20 // of records since the last snapshot: when a keeper compacts
	mostOfALoad = 44 << 20
)

// meterFS is the operating system's file system without syncs, on a disk of a given size, whose fill it measures.
type meterFS struct {
	wal.OSFS
	sizes          map[string]int64
	used, peak     int64
	capacity       int64
	renamesToFail  int
	segments, most int // files of segments
}

type meterFile struct {
	wal.File
	fs   *meterFS
	name *string // changes with a rename
}

func newMeterFS() *meterFS { return &meterFS{sizes: map[string]int64{}, capacity: wholeDisk} }

func (m *meterFS) resize(name string, size int64) error {
	used := m.used + size - m.sizes[name]
	if used > m.capacity && size > m.sizes[name] {
		return errNoRoom
	}
	m.sizes[name], m.used = size, used
	m.peak = max(m.peak, used)
	return nil
}

func (m *meterFS) countSegments() {
	m.segments = 0
	for name := range m.sizes {
		if strings.HasPrefix(filepath.Base(name), "log-") {
			m.segments++
		}
	}
	m.most = max(m.most, m.segments)
}

func (m *meterFS) Create(name string) (wal.File, error) {
	f, err := m.OSFS.Create(name)
	if err != nil {
		return nil, err
	}
	m.sizes[name] = 0
	m.countSegments()
	return &meterFile{f, m, &name}, nil
}

func (m *meterFS) Open(name string) (wal.File, error) {
	f, err := m.OSFS.Open(name)
	return &meterFile{f, m, &name}, err
}

func (m *meterFS) Rename(from, to string) error {
	if m.renamesToFail > 0 {
		m.renamesToFail--
		return errors.New("input/output error")
	}
	if err := m.OSFS.Rename(from, to); err != nil {
		return err
	}
	m.used -= m.sizes[to]
	m.sizes[to] = m.sizes[from]
	delete(m.sizes, from)
	return nil
}

func (m *meterFS) Remove(name string) error {
	if err := m.OSFS.Remove(name); err != nil {
		return err
	}
	m.used -= m.sizes[name]
	delete(m.sizes, name)
	return nil
}

func (*meterFS) SyncDir(string) error { return nil }

// current is the name under which the file counts; a start of a segment is written under another one.
func (f *meterFile) current() string {
	if _, ok := f.fs.sizes[*f.name]; !ok {
		*f.name = strings.TrimSuffix(*f.name, wal.TemporarySuffix)
	}
	return *f.name
}

func (f *meterFile) WriteAt(b []byte, at int64) (int, error) {
	if err := f.fs.resize(f.current(), max(f.fs.sizes[f.current()], at+int64(len(b)))); err != nil {
		return 0, err
	}
	return f.File.WriteAt(b, at)
}

func (f *meterFile) Truncate(size int64) error {
	_ = f.fs.resize(f.current(), size)
	return f.File.Truncate(size)
}

func (*meterFile) Sync() error { return nil }

// keeperOn is a log that is written as a keeper does.
type keeperOn struct {
	t       *testing.T
	fs      *meterFS
	folder  string
	log     *wal.Log
	state   int // bytes of a snapshot
	since   int // bytes of records since the last one
	slowest time.Duration
}

func newKeeperOn(t *testing.T, state int) *keeperOn {
	k := &keeperOn{t: t, fs: newMeterFS(), folder: t.TempDir(), state: state}
	k.restart()
	return k
}

func (k *keeperOn) restart() {
	k.t.Helper()
	began := time.Now()
	log, err := wal.Open(k.folder, wal.Options{FS: k.fs})
	if err == nil {
		_, _, _, err = log.Load()
	}
	if err != nil {
		k.t.Fatal(err)
	}
	k.log, k.slowest = log, max(k.slowest, time.Since(began))
}

// change appends one record, compacts when it is due, and when the log is full.
func (k *keeperOn) change(size int) {
	k.t.Helper()
	entry := wal.Entry{Seq: k.log.LastSeq() + 1, Data: make([]byte, size)}
	err := k.log.Append([]wal.Entry{entry})
	if errors.Is(err, wal.ErrFull) {
		k.compact()
		err = k.log.Append([]wal.Entry{entry})
	}
	if err != nil {
		k.t.Fatalf("entry %d: %v", entry.Seq, err)
	}
	if k.since += size; k.since >= compactAt {
		k.compact()
	}
}

func (k *keeperOn) compact() {
	k.t.Helper()
	if err := k.log.Compact(wal.Snapshot{Seq: k.log.LastSeq(), Data: make([]byte, k.state)}); err != nil {
		k.t.Fatal(err)
	}
	k.since = 0
}

func (k *keeperOn) check() {
	k.t.Helper()
	k.t.Logf("at most %.1f MB of the disk and %d segments; the slowest start took %v", float64(k.fs.peak)/1e6, k.fs.most, k.slowest)
	if k.fs.peak > wholeDisk {
		k.t.Errorf("%d bytes of the disk were used", k.fs.peak)
	}
}

// TestDiskStaysBounded makes changes without end on a disk of 64 MB, with restarts. Danger: the disk fills by itself.
func TestDiskStaysBounded(t *testing.T) {
	t.Run("2000 changes of 600 KB", func(t *testing.T) {
		k := newKeeperOn(t, usualState)
		for i := range 2000 {
			if k.change(usualState); i%97 == 0 {
				k.restart()
			}
		}
		k.check()
		if k.fs.most > 12 { // 8 MiB of records and one after, in segments of 2 MiB and one record
			t.Errorf("%d segments: those behind a snapshot stay", k.fs.most)
		}
	})
	t.Run("configurations of 16 MB", func(t *testing.T) {
		k := newKeeperOn(t, mostState)
		for i := range 40 {
			if k.change(mostState); i%3 == 0 {
				k.restart()
			}
		}
		k.check()
	})
	t.Run("never compacted before it is full", func(t *testing.T) {
		k := newKeeperOn(t, mostState)
		for range 200 {
			k.since = 0
			k.change(usualState)
		}
		k.restart()
		k.check()
	})
	t.Run("two snapshots at once", func(t *testing.T) {
		k := newKeeperOn(t, mostState)
		for i := range uint64(6) {
			k.change(mostState)
			k.fs.renamesToFail = int(i % 3)
			for tries := 0; ; tries++ { // one after the other, also where a rename fails
				if err := k.log.Install(wal.Snapshot{Seq: 100 * (i + 1), Data: make([]byte, mostState)}); err == nil {
					break
				} else if tries > 3 {
					t.Fatal(err)
				}
			}
		}
		k.check()
	})
	t.Run("beside a copy of a damaged log", func(t *testing.T) {
		k := newKeeperOn(t, mostState)
		for range 60 {
			k.since = 0
			k.change(usualState)
		}
		if err := k.log.Quarantine(); err != nil {
			t.Fatal(err)
		}
		k.restart()
		for i := range 12 {
			if k.change(mostState); i%3 == 0 {
				k.restart()
			}
		}
		k.check()
		if len(k.log.QuarantinedFiles()) > 0 {
			t.Error("the copy is still there")
		}
	})
}

// TestFullDiskGetsRoomAgain lets others fill the disk, has every change refused and nothing lost, also in a restart, and gives
// the room back.
func TestFullDiskGetsRoomAgain(t *testing.T) {
	k := newKeeperOn(t, usualState)
	for range 5 {
		k.change(usualState)
	}
	for round := range 3 {
		k.fs.capacity = 0
		last := k.log.LastSeq()
		for range 3 {
			if err := k.log.Append([]wal.Entry{{Seq: last + 1, Data: make([]byte, usualState)}}); !errors.Is(err, wal.ErrFull) {
				t.Fatal(err)
			}
			if err := k.log.Compact(wal.Snapshot{Seq: last, Data: make([]byte, usualState)}); !errors.Is(err, wal.ErrFull) {
				t.Fatal(err)
			}
		}
		if round > 0 {
			k.restart()
		}
		if k.log.LastSeq() != last {
			t.Fatalf("the log ends at %d, not at %d", k.log.LastSeq(), last)
		}
		k.fs.capacity = wholeDisk
		k.change(usualState)
		k.restart()
		if k.log.LastSeq() != last+1 {
			t.Fatalf("the log ends at %d, not at %d", k.log.LastSeq(), last+1)
		}
	}
}

// TestLoadStaysBounded loads a log of 40 MiB, of usual changes and of the largest: what the whole of it allocates bounds the
// memory that it takes.
func TestLoadStaysBounded(t *testing.T) {
	t.Run("usual changes", func(t *testing.T) {
		k := newKeeperOn(t, usualState)
		for k.log.Size() < 39<<20 {
			k.since = 0
			k.change(usualState)
		}
		k.measureLoad(mostOfALoad)
	})
	t.Run("a snapshot and a change of 16 MiB", func(t *testing.T) {
		k := newKeeperOn(t, mostState)
		k.change(usualState)
		k.compact()
		k.since = -mostState
		k.change(mostState)
		k.measureLoad(mostOfALoad + mostState) // the last record is written again
	})
}

func (k *keeperOn) measureLoad(most uint64) {
	t := k.t
	t.Helper()
	size := k.log.Size()
	_ = k.log.Close()
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	k.slowest = 0
	k.restart()
	runtime.ReadMemStats(&after)
	allocated := after.TotalAlloc - before.TotalAlloc
	t.Logf("loading %d bytes allocated %d and took %v", size, allocated, k.slowest)
	if allocated > most {
		t.Errorf("loading %d bytes allocated %d", size, allocated)
	}
}

// TestLoadOnADiskThatRefuses starts on a disk that refuses each call that would write, after a kill at any call before. Danger: a
// keeper on a full disk ends at each start, and does not even answer what it holds.
func TestLoadOnADiskThatRefuses(t *testing.T) {
	refuse := func(_ int, what string) error {
		if what == "sync" || what == "syncdir" || what == "remove" {
			return nil
		}
		return errNoRoom
	}
	for name, steps := range histories {
		for call := 3; ; call++ { // the folder and the first segment are there
			s, err := runHistory(steps, crashAt(call))
			if err != nil {
				t.Fatal(err)
			}
			reached := s.fs.gone
			s.fs.gone = false
			fs := s.fs.killed()
			fs.fault = refuse
			log, err := openSim(fs)
			if err != nil {
				t.Fatalf("%s, killed at call %d: %v", name, call, err)
			}
			v, err := look(log)
			if err == nil {
				err = s.allows(v)
			}
			if err != nil {
				t.Fatalf("%s, killed at call %d: %v", name, call, err)
			}
			if err := log.Append([]wal.Entry{{Seq: log.LastSeq() + 1}}); !errors.Is(err, wal.ErrFull) {
				t.Fatalf("%s, killed at call %d: an append: %v", name, call, err)
			}
			fs.fault = nil
			if err := goOn(fs, log, v); err != nil {
				t.Fatalf("%s, killed at call %d, and room again: %v", name, call, err)
			}
			if !reached {
				break
			}
		}
	}
}
