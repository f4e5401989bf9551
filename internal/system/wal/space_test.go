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

// Sizes on the machines that the log is designed for, in bytes.
const (
	diskBytes             = 64e6
	maxStateBytes         = 16 << 20 // the largest configuration that a node accepts
	usualStateBytes       = 600 << 10
	compactThresholdBytes = 8 << 20 // bytes of records since the last snapshot at which a node compacts
	maxLoadBytes          = 44 << 20
)

// meterFS is the operating system's file system without syncs, with a bounded capacity. It measures the disk usage.
type meterFS struct {
	wal.OSFS
	sizes                 map[string]int64
	usedBytes, peakBytes  int64
	capacityBytes         int64
	renamesToFail         int
	segments, maxSegments int // numbers of segment files
}

type meterFile struct {
	wal.File
	fs   *meterFS
	name *string // changes when the file is renamed
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

// currentName returns the name under which the size of the file is counted; the start of a segment is written under a temporary one.
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

// nodeLog is a log that is written the way a control-plane node writes it.
type nodeLog struct {
	t                  *testing.T
	fs                 *meterFS
	folder             string
	log                *wal.Log
	snapshotBytes      int // bytes of a snapshot
	bytesSinceSnapshot int // bytes of records since the last snapshot
	slowestStart       time.Duration
}

func newNodeLog(t *testing.T, state int) *nodeLog {
	node := &nodeLog{t: t, fs: newMeterFS(), folder: t.TempDir(), snapshotBytes: state}
	node.restart()
	return node
}

func (n *nodeLog) restart() {
	n.t.Helper()
	began := time.Now()
	log, err := wal.Open(n.folder, wal.Options{FS: n.fs})
	if err == nil {
		_, err = log.Load()
	}
	if err != nil {
		n.t.Fatal(err)
	}
	n.log, n.slowestStart = log, max(n.slowestStart, time.Since(began))
}

// appendOne appends one record. It compacts when the threshold is reached and when the log is full.
func (n *nodeLog) appendOne(size int) {
	n.t.Helper()
	entry := wal.Entry{Seq: n.log.LastSeq() + 1, Data: make([]byte, size)}
	err := n.log.Append([]wal.Entry{entry})
	if errors.Is(err, wal.ErrFull) {
		n.compact()
		err = n.log.Append([]wal.Entry{entry})
	}
	if err != nil {
		n.t.Fatalf("entry %d: %v", entry.Seq, err)
	}
	if n.bytesSinceSnapshot += size; n.bytesSinceSnapshot >= compactThresholdBytes {
		n.compact()
	}
}

func (n *nodeLog) compact() {
	n.t.Helper()
	if err := n.log.Compact(wal.Snapshot{Seq: n.log.LastSeq(), Data: make([]byte, n.snapshotBytes)}); err != nil {
		n.t.Fatal(err)
	}
	n.bytesSinceSnapshot = 0
}

func (n *nodeLog) checkDiskUsage() {
	n.t.Helper()
	n.t.Logf("peak disk usage %.1f MB, at most %d segments; the slowest start took %v", float64(n.fs.peakBytes)/1e6, n.fs.maxSegments, n.slowestStart)
	if n.fs.peakBytes > diskBytes {
		n.t.Errorf("peak disk usage was %d bytes, above the size of the disk", n.fs.peakBytes)
	}
}

// TestDiskUsageIsBounded makes many changes on a disk of 64 MB, with restarts. It guards against a log that fills the disk over time.
func TestDiskUsageIsBounded(t *testing.T) {
	t.Run("2000 changes of 600 KB", func(t *testing.T) {
		node := newNodeLog(t, usualStateBytes)
		node.appendAndRestart(2000, usualStateBytes, 97)
		node.checkDiskUsage()
		if node.fs.maxSegments > 12 { // 8 MiB of records and one after, in segments of 2 MiB and one record
			t.Errorf("%d segments: segments that a snapshot covers are not deleted", node.fs.maxSegments)
		}
	})
	t.Run("configurations of 16 MB", func(t *testing.T) {
		node := newNodeLog(t, maxStateBytes)
		node.appendAndRestart(40, maxStateBytes, 3)
		node.checkDiskUsage()
	})
	t.Run("never compacted before it is full", func(t *testing.T) {
		node := newNodeLog(t, maxStateBytes)
		node.appendUncompacted(200, usualStateBytes)
		node.restart()
		node.checkDiskUsage()
	})
	t.Run("two snapshots at once", func(t *testing.T) {
		node := newNodeLog(t, maxStateBytes)
		for i := range uint64(6) {
			node.appendOne(maxStateBytes)
			node.fs.renamesToFail = int(i % 3)
			node.installWithRetries(wal.Snapshot{Seq: 100 * (i + 1), Data: make([]byte, maxStateBytes)})
		}
		node.checkDiskUsage()
	})
	t.Run("beside a copy of a damaged log", func(t *testing.T) {
		node := newNodeLog(t, maxStateBytes)
		node.appendUncompacted(60, usualStateBytes)
		if err := node.log.Quarantine(); err != nil {
			t.Fatal(err)
		}
		node.restart()
		node.appendAndRestart(12, maxStateBytes, 3)
		node.checkDiskUsage()
		if len(node.log.QuarantinedFiles()) > 0 {
			t.Error("the quarantined copy was not dropped")
		}
	})
}

// appendAndRestart appends count records, and restarts after the first one and after every interval-th one from there.
func (n *nodeLog) appendAndRestart(count, size, interval int) {
	n.t.Helper()
	for i := range count {
		if n.appendOne(size); i%interval == 0 {
			n.restart()
		}
	}
}

// appendUncompacted appends count records, and compacts only when the log is full.
func (n *nodeLog) appendUncompacted(count, size int) {
	n.t.Helper()
	for range count {
		n.bytesSinceSnapshot = 0
		n.appendOne(size)
	}
}

// installWithRetries installs a snapshot, with up to five attempts.
func (n *nodeLog) installWithRetries(snapshot wal.Snapshot) {
	n.t.Helper()
	for attempt := 0; ; attempt++ {
		err := n.log.Install(snapshot)
		if err == nil {
			return
		}
		if attempt > 3 {
			n.t.Fatal(err)
		}
	}
}

// TestFullDiskGetsSpaceAgain fills the disk from outside the log: every change is rejected and nothing is lost, also across a
// restart. Once the space is free again, changes succeed.
func TestFullDiskGetsSpaceAgain(t *testing.T) {
	node := newNodeLog(t, usualStateBytes)
	for range 5 {
		node.appendOne(usualStateBytes)
	}
	for round := range 3 {
		node.fs.capacityBytes = 0
		last := node.log.LastSeq()
		for range 3 {
			if err := node.log.Append([]wal.Entry{{Seq: last + 1, Data: make([]byte, usualStateBytes)}}); !errors.Is(err, wal.ErrFull) {
				t.Fatal(err)
			}
			if err := node.log.Compact(wal.Snapshot{Seq: last, Data: make([]byte, usualStateBytes)}); !errors.Is(err, wal.ErrFull) {
				t.Fatal(err)
			}
		}
		if round > 0 {
			node.restart()
		}
		if node.log.LastSeq() != last {
			t.Fatalf("the log ends at %d, not at %d", node.log.LastSeq(), last)
		}
		node.fs.capacityBytes = diskBytes
		node.appendOne(usualStateBytes)
		node.restart()
		if node.log.LastSeq() != last+1 {
			t.Fatalf("the log ends at %d, not at %d", node.log.LastSeq(), last+1)
		}
	}
}

// TestLoadMemoryIsBounded loads a log of 40 MiB, with changes of the usual size and of the largest size, and checks how many bytes
// loading allocates, which bounds the memory that it needs.
func TestLoadMemoryIsBounded(t *testing.T) {
	t.Run("usual changes", func(t *testing.T) {
		node := newNodeLog(t, usualStateBytes)
		for node.log.Size() < 39<<20 {
			node.bytesSinceSnapshot = 0
			node.appendOne(usualStateBytes)
		}
		node.measureLoad(maxLoadBytes)
	})
	t.Run("a snapshot and a change of 16 MiB", func(t *testing.T) {
		node := newNodeLog(t, maxStateBytes)
		node.appendOne(usualStateBytes)
		node.compact()
		node.bytesSinceSnapshot = -maxStateBytes
		node.appendOne(maxStateBytes)
		node.measureLoad(maxLoadBytes + maxStateBytes) // the last record is written again
	})
}

func (n *nodeLog) measureLoad(maxBytes uint64) {
	t := n.t
	t.Helper()
	size := n.log.Size()
	_ = n.log.Close()
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	n.slowestStart = 0
	n.restart()
	runtime.ReadMemStats(&after)
	allocated := after.TotalAlloc - before.TotalAlloc
	t.Logf("loading %d bytes allocated %d and took %v", size, allocated, n.slowestStart)
	if allocated > maxBytes {
		t.Errorf("loading %d bytes allocated %d", size, allocated)
	}
}

// TestLoadOnDiskRefusingWrites loads a log on a disk that rejects every call that needs space, after a kill at any earlier call. It
// guards against a node on a full disk that exits at every start and does not even serve its stored data.
func TestLoadOnDiskRefusingWrites(t *testing.T) {
	for name, steps := range histories {
		t.Run(name, func(t *testing.T) {
			reached := true
			for call := 3; reached; call++ { // the folder and the first segment exist from call 3 on
				killed, err := runHistory(steps, crashAt(call))
				if err != nil {
					t.Fatal(err)
				}
				reached = killed.fs.crashed
				killed.fs.crashed = false
				if err := loadRefusingWrites(killed); err != nil {
					t.Fatalf("killed at call %d: %v", call, err)
				}
			}
		})
	}
}

// loadRefusingWrites loads the log of a killed process on a disk that rejects writes, and changes the log once there is space again.
func loadRefusingWrites(killed *checkedLog) error {
	fs := killed.fs.afterKill()
	fs.fault = func(_ int, call string) error {
		if call == "sync" || call == "syncdir" || call == "remove" {
			return nil
		}
		return errNoSpace
	}
	log, err := openSim(fs)
	if err != nil {
		return err
	}
	loaded, err := loadView(log)
	if err == nil {
		err = killed.checkAllowed(loaded)
	}
	if err != nil {
		return err
	}
	if err := log.Append([]wal.Entry{{Seq: log.LastSeq() + 1}}); !errors.Is(err, wal.ErrFull) {
		return errors.Newf("an append: %v", err)
	}
	fs.fault = nil
	return errors.Wrap(checkUsable(fs, log, loaded), "with space again")
}
