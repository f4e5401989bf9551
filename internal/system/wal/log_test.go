package wal_test

import (
	"bytes"
	"fmt"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/wal"
	"gradeusher.example/gradeusher/internal/system/wal/waltest"
)

// TestRealFolder runs the histories in a folder of the operating system, and reopens the log before each step.
func TestRealFolder(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	for name, steps := range histories {
		t.Run(name, func(t *testing.T) {
			model := waltest.NewMem()
			for i, next := range steps {
				log := openLoaded(t, filepath.Join(folder, name), wal.Options{SegmentBytes: 300})
				if err := next.run(log, model.LastSeq()); err != nil {
					t.Fatalf("step %d, %v: %v", i, next, err)
				}
				if err := next.run(model, model.LastSeq()); err != nil {
					t.Fatal(err)
				}
				got, err := loadView(log)
				if want, _ := loadView(model); err != nil || got.log != want.log || fmt.Sprint(got.meta) != fmt.Sprint(want.meta) {
					t.Fatalf("step %d, %v: got %v, want %v, %v", i, next, got, want, err)
				}
			}
		})
	}
}

// TestFilesAreTheOwners: only the owner may access the files, because the control state in them includes API keys.
func TestFilesAreTheOwners(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	log := openLoaded(t, folder, wal.Options{SegmentBytes: 300})
	if err := errors.Join(log.SaveMeta("x", []byte("y")), log.Append([]wal.Entry{{Seq: 1, Data: []byte("a")}, {Seq: 2}}), log.Compact(wal.Snapshot{Seq: 1})); err != nil {
		t.Fatal(err)
	}
	files := 0
	err := filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		info, err := entry.Info()
		if err == nil && info.Mode().Perm()&0o077 != 0 {
			t.Errorf("%s has mode %v", path, info.Mode())
		}
		files++
		return err
	})
	if err != nil || files < 3 {
		t.Errorf("walked %d files, want at least 3: %v", files, err)
	}
}

// TestMisuse: a Log and the in-memory disk reject the same calls.
func TestMisuse(t *testing.T) {
	log, err := wal.Open(t.TempDir(), wal.Options{})
	if err != nil {
		t.Fatal(err)
	}
	if err := log.Append([]wal.Entry{{Seq: 1}}); !errors.Is(err, wal.ErrMisuse) {
		t.Errorf("append before load: %v", err)
	}
	if err := log.SaveMeta("x", nil); !errors.Is(err, wal.ErrMisuse) {
		t.Errorf("metadata before load: %v", err)
	}
	for _, disk := range []wal.Disk{log, waltest.NewMem()} {
		if _, err := disk.Load(); err != nil {
			t.Fatal(err)
		}
		if err := disk.Append([]wal.Entry{{Seq: 1}, {Seq: 2}}); err != nil {
			t.Fatal(err)
		}
		if err := disk.Compact(wal.Snapshot{Seq: 1}); err != nil {
			t.Fatal(err)
		}
		for what, err := range map[string]error{
			"gap":             disk.Append([]wal.Entry{{Seq: 4}}),
			"gap inside":      disk.Append([]wal.Entry{{Seq: 3}, {Seq: 5}}),
			"twice":           disk.Append([]wal.Entry{{Seq: 2}}),
			"cut too far":     disk.Truncate(0),
			"compact ahead":   disk.Compact(wal.Snapshot{Seq: 3}),
			"compact back":    disk.Compact(wal.Snapshot{Seq: 0}),
			"no name":         disk.SaveMeta("", nil),
			"a path":          disk.SaveMeta("../x", nil),
			"a name too long": disk.SaveMeta(strings.Repeat("x", 65), nil),
		} {
			if !errors.Is(err, wal.ErrMisuse) {
				t.Errorf("%T, %s: %v", disk, what, err)
			}
		}
		if err := disk.Append([]wal.Entry{{Seq: 3}}); err != nil {
			t.Errorf("%T: %v", disk, err)
		}
	}
}

// TestFull fills a disk: metadata and truncations still succeed, and a compaction frees space.
func TestFull(t *testing.T) {
	t.Run("bound of the log", func(t *testing.T) {
		full := newFullLog(t, wal.Options{MaxBytes: 9000, SegmentBytes: 1000, ReserveBytes: 600})
		full.changeWhileFull()
		full.compactAndContinue()
	})
	t.Run("disk", func(t *testing.T) {
		full := newFullLog(t, wal.Options{SegmentBytes: 1000, ReserveBytes: 600})
		full.changeWhileFull()
		full.compactWithoutSpace()
		full.compactAndContinue()
	})
}

// fullLog is a log that has been filled up, with a model of it.
type fullLog struct {
	t     *testing.T
	fs    *simFS
	log   *wal.Log
	model *waltest.Mem
	data  []byte // data of each entry
}

func newFullLog(t *testing.T, options wal.Options) *fullLog {
	t.Helper()
	fs := newSimFS()
	fs.capacity = 10000
	options.FS = fs
	full := &fullLog{t: t, fs: fs, log: openLoaded(t, simFolder, options), model: waltest.NewMem(), data: bytes.Repeat([]byte("x"), 90)}
	var err error
	for err == nil {
		err = full.appendOne()
	}
	if !errors.Is(err, wal.ErrFull) || full.model.LastSeq() < 50 {
		t.Fatalf("filling the log stopped after entry %d: %v", full.model.LastSeq(), err)
	}
	return full
}

// both applies a change to the log and, if it succeeds, to the model.
func (f *fullLog) applyToBoth(change func(wal.Disk) error) error {
	err := change(f.log)
	if err == nil {
		err = change(f.model)
	}
	return err
}

func (f *fullLog) appendOne() error {
	return f.applyToBoth(func(disk wal.Disk) error {
		return disk.Append([]wal.Entry{{Seq: f.model.LastSeq() + 1, Data: f.data}})
	})
}

func (f *fullLog) changeWhileFull() {
	f.t.Helper()
	for i := range 40 {
		if err := f.applyToBoth(func(disk wal.Disk) error { return disk.SaveMeta("promise", fmt.Appendf(nil, "%d", i)) }); err != nil {
			f.t.Fatalf("metadata %d: %v", i, err)
		}
	}
	last := f.model.LastSeq()
	if err := f.applyToBoth(func(disk wal.Disk) error { return disk.Truncate(last - 1) }); err != nil {
		f.t.Fatal(err)
	}
	requireSame(f.t, f.log, f.model)
}

// compactWithoutSpace compacts while the disk has no free space, and then frees 1,000 bytes.
func (f *fullLog) compactWithoutSpace() {
	f.t.Helper()
	f.fs.capacity = f.fs.usedBytes()
	if err := f.log.Compact(wal.Snapshot{Seq: f.model.LastSeq() - 2, Data: f.data}); !errors.Is(err, wal.ErrFull) {
		f.t.Fatal(err)
	}
	requireSame(f.t, f.log, f.model)
	f.fs.capacity += 1000
}

func (f *fullLog) compactAndContinue() {
	f.t.Helper()
	seq := f.model.LastSeq() - 2
	if err := f.applyToBoth(func(disk wal.Disk) error { return disk.Compact(wal.Snapshot{Seq: seq, Data: []byte("s")}) }); err != nil {
		f.t.Fatal(err)
	}
	for range 40 {
		if err := f.appendOne(); err != nil {
			f.t.Fatal(err)
		}
	}
	if !f.log.HasReserve() {
		f.t.Error("the reserve was not created again")
	}
	if n := f.log.Size(); n > 8000 {
		f.t.Errorf("the log uses %d bytes after compactions, want at most 8000", n)
	}
	requireSame(f.t, f.log, f.model)
}

func requireSame(t *testing.T, a, b wal.Disk) {
	t.Helper()
	va, err := loadView(a)
	vb, _ := loadView(b)
	if err != nil || va.log != vb.log || fmt.Sprint(va.meta) != fmt.Sprint(vb.meta) {
		t.Fatalf("%v\n%v\n%v", va, vb, err)
	}
}

// buildLog creates a log with segments of the given size on a simulated disk, and returns its contents after each step.
func buildLog(t *testing.T, segmentBytes int64, steps []step) (*simFS, []view) {
	t.Helper()
	fs, model := newSimFS(), waltest.NewMem()
	log := openLoaded(t, simFolder, wal.Options{FS: fs, SegmentBytes: segmentBytes, ReserveBytes: -1})
	var views []view
	for _, next := range steps {
		if err := errors.CombineErrors(next.run(log, model.LastSeq()), next.run(model, model.LastSeq())); err != nil {
			t.Fatal(err)
		}
		v, _ := loadView(model)
		views = append(views, v)
	}
	return fs, views
}

// TestDamage changes each byte of each file: either Load detects the damage, or it drops the last record as torn.
func TestDamage(t *testing.T) {
	steps := []step{
		{saveMeta, 1, 1},
		{appendEntries, 4, 0},
		{compactLog, 2, 0},
		{appendEntries, 3, 0},
		{truncateLog, 5, 0},
		{appendEntries, 2, 1},
		{appendEntries, 1, 2},
	}
	for _, segmentBytes := range []int64{1, 100, 250, 1 << 20} {
		t.Run(fmt.Sprintf("segments of %d bytes", segmentBytes), func(t *testing.T) {
			fs, views := buildLog(t, segmentBytes, steps)
			complete, withoutLast := views[len(views)-1], views[len(views)-2]
			detected, torn, undetected := 0, 0, 0
			for name, node := range fs.visible {
				for index := range node.content {
					found, err := loadWithDamage(t, fs, name, index)
					switch {
					case errors.Is(err, wal.ErrDamaged):
						detected++
					case err != nil:
						t.Fatalf("%s, byte %d: %v", name, index, err)
					case !maps.Equal(found.meta, complete.meta):
						t.Fatalf("%s, byte %d: %v", name, index, found.meta)
					case found.log == withoutLast.log:
						torn++
					case found.log == complete.log:
						undetected++
					default:
						t.Fatalf("%s, byte %d: %q", name, index, found.log)
					}
				}
			}
			if detected < 200 || torn < wal.RecordHeaderSize || torn > 80 || undetected > 0 {
				t.Errorf("damage detected %d times, taken for a torn record %d times, undetected %d times", detected, torn, undetected)
			}
		})
	}
}

// loadWithDamage loads a copy of a log with one flipped bit.
func loadWithDamage(t *testing.T, fs *simFS, name string, index int) (view, error) {
	t.Helper()
	changed := fs.afterKill()
	node := changed.visible[name]
	node.content = slices.Clone(node.content)
	node.content[index] ^= 0x10
	log, err := openSim(changed)
	if err != nil {
		t.Fatal(err)
	}
	return loadView(log)
}

// TestMissingSnapshot: a log whose snapshot is missing is reported as damaged.
func TestMissingSnapshot(t *testing.T) {
	fs, _ := buildLog(t, 100, []step{{appendEntries, 4, 0}, {installSnapshot, 9, 0}, {appendEntries, 1, 0}})
	names, _ := fs.ReadDir("")
	i := slices.IndexFunc(names, func(name string) bool { return strings.HasPrefix(name, "snap-") })
	if i < 0 {
		t.Fatal("no snapshot was written")
	}
	delete(fs.visible, names[i])
	log, _ := openSim(fs)
	if v, err := loadView(log); !errors.Is(err, wal.ErrDamaged) {
		t.Errorf("%v, %v", v, err)
	}
}

// TestMissingSegment removes a segment other than the last one: the log is reported as damaged, also if the numbers of the remaining
// segments are consecutive.
func TestMissingSegment(t *testing.T) {
	for _, segmentBytes := range []int64{1, 60, 200} {
		fs, _ := buildLog(t, segmentBytes, []step{
			{appendEntries, 6, 0},
			{truncateLog, 3, 0},
			{appendEntries, 3, 1},
			{appendEntries, 5, 2},
			{appendEntries, 1, 0},
		})
		names, _ := fs.ReadDir("")
		if len(names) < 3 {
			t.Fatalf("too few segments: %q", names)
		}
		for _, name := range names[:len(names)-1] {
			changed := fs.afterKill()
			delete(changed.visible, name)
			log, _ := openSim(changed)
			if v, err := loadView(log); !errors.Is(err, wal.ErrDamaged) {
				t.Errorf("segments of %d, without %s: %v, %v", segmentBytes, name, v, err)
			}
		}
	}
}

// TestStaleRecord puts a complete record of an earlier log after the end of the log, as can happen when disk blocks are reused. Load
// must ignore it.
func TestStaleRecord(t *testing.T) {
	old, err := runHistory([]step{{appendEntries, 1, 0}, {appendEntries, 1, 0}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	s, err := runHistory([]step{{appendEntries, 1, 0}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	name := wal.SegmentName(1)
	n := s.fs.visible[name]
	n.content = append(slices.Clone(n.content), old.fs.visible[name].content[len(n.content):]...)
	if v, err := loadView(s.log); err != nil || s.checkAllowed(v) != nil {
		t.Errorf("%v, %v", v, err)
	}
	// A second copy of the log's own record, in the same segment.
	n.content = append(slices.Clone(n.content), n.content[wal.HeaderSize:]...)
	if v, err := loadView(s.log); err != nil || s.checkAllowed(v) != nil {
		t.Errorf("%v, %v", v, err)
	}
}

func BenchmarkAppend(b *testing.B) {
	log, err := wal.Open(b.TempDir(), wal.Options{MaxBytes: 1 << 40})
	if err != nil {
		b.Fatal(err)
	}
	if _, err := log.Load(); err != nil {
		b.Fatal(err)
	}
	data := make([]byte, 1000)
	for i := uint64(1); b.Loop(); i++ {
		if err := log.Append([]wal.Entry{{Seq: i, Data: data}}); err != nil {
			b.Fatal(err)
		}
	}
}
