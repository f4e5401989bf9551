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
	diskBytes             = 64e6
	maxStateBytes         = 16 << 20 // a configuration, the largest that a keeper takes
	usualStateBytes       = 600 << 10
	compactThresholdBytes = 8 << 20 // of records since the last snapshot: when a keeper compacts
	maxLoadBytes          = 44 << 20
)

// meterFS is the operating system's file system without syncs, on a disk of a given size, whose fill it measures.
type meterFS struct {
	wal.OSFS
	sizes                 map[string]int64
	usedBytes, peakBytes  int64
	capacityBytes         int64
	renamesToFail         int
	segments, maxSegments int // files of segments
}

type meterFile struct {
	wal.File
	fs   *meterFS
	name *string // changes with a rename
}

func newMeterFS() *meterFS { return &meterFS{sizes: map[string]int64{}, capacityBytes: diskBytes} }

func (m *meterFS) resize(name string, size int64) error {
	used := m.usedBytes + size - m.sizes[name]
	if used > m.capacityBytes && size > m.sizes[name] {
		return errNoSpace
	}
	m.sizes[name], m.usedBytes = size, used
	m.peakBytes = max(m.peakBytes, used)
	return nil
}

func (m *meterFS) countSegments() {
	m.segments = 0
	for name := range m.sizes {
		if strings.HasPrefix(filepath.Base(name), "log-") {
			m.segments++
		}
	}
	m.maxSegments = max(m.maxSegments, m.segments)
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
	m.usedBytes -= m.sizes[to]
	m.sizes[to] = m.sizes[from]
	delete(m.sizes, from)
	return nil
}

func (m *meterFS) Remove(name string) error {
	if err := m.OSFS.Remove(name); err != nil {
		return err
	}
	m.usedBytes -= m.sizes[name]
	delete(m.sizes, name)
	return nil
}

func (*meterFS) SyncDir(string) error { return nil }

// currentName is the name under which the file counts; a start of a segment is written under another one.
func (f *meterFile) currentName() string {
	if _, ok := f.fs.sizes[*f.name]; !ok {
		*f.name = strings.TrimSuffix(*f.name, wal.TemporarySuffix)
	}
	return *f.name
}

func (f *meterFile) WriteAt(b []byte, at int64) (int, error) {
	if err := f.fs.resize(f.currentName(), max(f.fs.sizes[f.currentName()], at+int64(len(b)))); err != nil {
		return 0, err
	}
	return f.File.WriteAt(b, at)
}

func (f *meterFile) Truncate(size int64) error {
	_ = f.fs.resize(f.currentName(), size)
	return f.File.Truncate(size)
}

func (*meterFile) Sync() error { return nil }

// nodeLog is a log that is written as a keeper does.
type nodeLog struct {
	t                  *testing.T
	fs                 *meterFS
	folder             string
	log                *wal.Log
	snapshotBytes      int // bytes of a snapshot
	bytesSinceSnapshot int // bytes of records since the last one
	slowestStart       time.Duration
}

func newNodeLog(t *testing.T, state int) *nodeLog {
	k := &nodeLog{t: t, fs: newMeterFS(), folder: t.TempDir(), snapshotBytes: state}
	k.restart()
	return k
}

func (k *nodeLog) restart() {
	k.t.Helper()
	began := time.Now()
	log, err := wal.Open(k.folder, wal.Options{FS: k.fs})
	if err == nil {
		_, _, _, err = log.Load()
	}
	if err != nil {
		k.t.Fatal(err)
	}
	k.log, k.slowestStart = log, max(k.slowestStart, time.Since(began))
}

// appendOne appends one record, compacts when it is due, and when the log is full.
func (k *nodeLog) appendOne(size int) {
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
	if k.bytesSinceSnapshot += size; k.bytesSinceSnapshot >= compactThresholdBytes {
		k.compact()
	}
}

func (k *nodeLog) compact() {
	k.t.Helper()
	if err := k.log.Compact(wal.Snapshot{Seq: k.log.LastSeq(), Data: make([]byte, k.snapshotBytes)}); err != nil {
		k.t.Fatal(err)
	}
	k.bytesSinceSnapshot = 0
}

func (k *nodeLog) checkDiskUsage() {
	k.t.Helper()
	k.t.Logf("at most %.1f MB of the disk and %d segments; the slowest start took %v", float64(k.fs.peakBytes)/1e6, k.fs.maxSegments, k.slowestStart)
	if k.fs.peakBytes > diskBytes {
		k.t.Errorf("%d bytes of the disk were used", k.fs.peakBytes)
	}
}

// TestDiskUsageIsBounded makes changes without end on a disk of 64 MB, with restarts. Danger: the disk fills by itself.
func TestDiskUsageIsBounded(t *testing.T) {
	t.Run("2000 changes of 600 KB", func(t *testing.T) {
		k := newNodeLog(t, usualStateBytes)
		for i := range 2000 {
			if k.appendOne(usualStateBytes); i%97 == 0 {
				k.restart()
			}
		}
		k.checkDiskUsage()
		if k.fs.maxSegments > 12 { // 8 MiB of records and one after, in segments of 2 MiB and one record
			t.Errorf("%d segments: those behind a snapshot stay", k.fs.maxSegments)
		}
	})
	t.Run("configurations of 16 MB", func(t *testing.T) {
		k := newNodeLog(t, maxStateBytes)
		for i := range 40 {
			if k.appendOne(maxStateBytes); i%3 == 0 {
				k.restart()
			}
		}
		k.checkDiskUsage()
	})
	t.Run("never compacted before it is full", func(t *testing.T) {
		k := newNodeLog(t, maxStateBytes)
		for range 200 {
			k.bytesSinceSnapshot = 0
			k.appendOne(usualStateBytes)
		}
		k.restart()
		k.checkDiskUsage()
	})
	t.Run("two snapshots at once", func(t *testing.T) {
		k := newNodeLog(t, maxStateBytes)
		for i := range uint64(6) {
			k.appendOne(maxStateBytes)
			k.fs.renamesToFail = int(i % 3)
			for tries := 0; ; tries++ { // one after the other, also where a rename fails
				if err := k.log.Install(wal.Snapshot{Seq: 100 * (i + 1), Data: make([]byte, maxStateBytes)}); err == nil {
					break
				} else if tries > 3 {
					t.Fatal(err)
				}
			}
		}
		k.checkDiskUsage()
	})
	t.Run("beside a copy of a damaged log", func(t *testing.T) {
		k := newNodeLog(t, maxStateBytes)
		for range 60 {
			k.bytesSinceSnapshot = 0
			k.appendOne(usualStateBytes)
		}
		if err := k.log.Quarantine(); err != nil {
			t.Fatal(err)
		}
		k.restart()
		for i := range 12 {
			if k.appendOne(maxStateBytes); i%3 == 0 {
				k.restart()
			}
		}
		k.checkDiskUsage()
		if len(k.log.QuarantinedFiles()) > 0 {
			t.Error("the copy is still there")
		}
	})
}

// TestFullDiskGetsSpaceAgain lets others fill the disk, has every change refused and nothing lost, also in a restart, and gives
// the room back.
func TestFullDiskGetsSpaceAgain(t *testing.T) {
	k := newNodeLog(t, usualStateBytes)
	for range 5 {
		k.appendOne(usualStateBytes)
	}
	for round := range 3 {
		k.fs.capacityBytes = 0
		last := k.log.LastSeq()
		for range 3 {
			if err := k.log.Append([]wal.Entry{{Seq: last + 1, Data: make([]byte, usualStateBytes)}}); !errors.Is(err, wal.ErrFull) {
				t.Fatal(err)
			}
			if err := k.log.Compact(wal.Snapshot{Seq: last, Data: make([]byte, usualStateBytes)}); !errors.Is(err, wal.ErrFull) {
				t.Fatal(err)
			}
		}
		if round > 0 {
			k.restart()
		}
		if k.log.LastSeq() != last {
			t.Fatalf("the log ends at %d, not at %d", k.log.LastSeq(), last)
		}
		k.fs.capacityBytes = diskBytes
		k.appendOne(usualStateBytes)
		k.restart()
		if k.log.LastSeq() != last+1 {
			t.Fatalf("the log ends at %d, not at %d", k.log.LastSeq(), last+1)
		}
	}
}

// TestLoadMemoryIsBounded loads a log of 40 MiB, of usual changes and of the largest: what the whole of it allocates bounds the
// memory that it takes.
func TestLoadMemoryIsBounded(t *testing.T) {
	t.Run("usual changes", func(t *testing.T) {
		k := newNodeLog(t, usualStateBytes)
		for k.log.Size() < 39<<20 {
			k.bytesSinceSnapshot = 0
			k.appendOne(usualStateBytes)
		}
		k.measureLoad(maxLoadBytes)
	})
	t.Run("a snapshot and a change of 16 MiB", func(t *testing.T) {
		k := newNodeLog(t, maxStateBytes)
		k.appendOne(usualStateBytes)
		k.compact()
		k.bytesSinceSnapshot = -maxStateBytes
		k.appendOne(maxStateBytes)
		k.measureLoad(maxLoadBytes + maxStateBytes) // the last record is written again
	})
}

func (k *nodeLog) measureLoad(most uint64) {
	t := k.t
	t.Helper()
	size := k.log.Size()
	_ = k.log.Close()
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	k.slowestStart = 0
	k.restart()
	runtime.ReadMemStats(&after)
	allocated := after.TotalAlloc - before.TotalAlloc
	t.Logf("loading %d bytes allocated %d and took %v", size, allocated, k.slowestStart)
	if allocated > most {
		t.Errorf("loading %d bytes allocated %d", size, allocated)
	}
}

// TestLoadOnDiskRefusingWrites starts on a disk that refuses each call that would write, after a kill at any call before. Danger: a
// keeper on a full disk ends at each start, and does not even answer what it holds.
func TestLoadOnDiskRefusingWrites(t *testing.T) {
	refuse := func(_ int, what string) error {
		if what == "sync" || what == "syncdir" || what == "remove" {
			return nil
		}
		return errNoSpace
	}
	for name, steps := range histories {
		for call := 3; ; call++ { // the folder and the first segment are there
			s, err := runHistory(steps, crashAt(call))
			if err != nil {
				t.Fatal(err)
			}
			reached := s.fs.crashed
			s.fs.crashed = false
			fs := s.fs.afterKill()
			fs.fault = refuse
			log, err := openSim(fs)
			if err != nil {
				t.Fatalf("%s, killed at call %d: %v", name, call, err)
			}
			v, err := loadView(log)
			if err == nil {
				err = s.checkAllowed(v)
			}
			if err != nil {
				t.Fatalf("%s, killed at call %d: %v", name, call, err)
			}
			if err := log.Append([]wal.Entry{{Seq: log.LastSeq() + 1}}); !errors.Is(err, wal.ErrFull) {
				t.Fatalf("%s, killed at call %d: an append: %v", name, call, err)
			}
			fs.fault = nil
			if err := checkUsable(fs, log, v); err != nil {
				t.Fatalf("%s, killed at call %d, and room again: %v", name, call, err)
			}
			if !reached {
				break
			}
		}
	}
}
