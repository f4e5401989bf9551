package wal_test

import (
	"bytes"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/wal"
	"gradeusher.example/gradeusher/internal/system/wal/waltest"
)

// openInFolder opens a log in a real folder.
func openInFolder(t *testing.T, folder string, o wal.Options) (*wal.Log, view) {
	t.Helper()
	log, err := wal.Open(folder, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = log.Close() })
	v, err := loadView(log)
	if err != nil {
		t.Fatal(err)
	}
	return log, v
}

func TestRealFolder(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	for name, steps := range histories {
		t.Run(name, func(t *testing.T) {
			model := waltest.NewMem()
			for i, st := range steps {
				// A new process before every step.
				log, _ := openInFolder(t, filepath.Join(folder, name), wal.Options{SegmentBytes: 300})
				if err := st.run(log, model.LastSeq()); err != nil {
					t.Fatalf("step %d, %v: %v", i, st, err)
				}
				if err := st.run(model, model.LastSeq()); err != nil {
					t.Fatal(err)
				}
				got, err := loadView(log)
				if want, _ := loadView(model); err != nil || got.log != want.log || fmt.Sprint(got.meta) != fmt.Sprint(want.meta) {
					t.Fatalf("step %d, %v: got %v, want %v, %v", i, st, got, want, err)
				}
			}
		})
	}
}

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
	for _, d := range []wal.Disk{log, waltest.NewMem()} {
		if _, _, _, err := d.Load(); err != nil {
			t.Fatal(err)
		}
		if err := d.Append([]wal.Entry{{Seq: 1}, {Seq: 2}}); err != nil {
			t.Fatal(err)
		}
		if err := d.Compact(wal.Snapshot{Seq: 1}); err != nil {
			t.Fatal(err)
		}
		for what, err := range map[string]error{
			"gap":             d.Append([]wal.Entry{{Seq: 4}}),
			"gap inside":      d.Append([]wal.Entry{{Seq: 3}, {Seq: 5}}),
			"twice":           d.Append([]wal.Entry{{Seq: 2}}),
			"cut too far":     d.Truncate(0),
			"compact ahead":   d.Compact(wal.Snapshot{Seq: 3}),
			"compact back":    d.Compact(wal.Snapshot{Seq: 0}),
			"no name":         d.SaveMeta("", nil),
			"a path":          d.SaveMeta("../x", nil),
			"a name too long": d.SaveMeta(strings.Repeat("x", 65), nil),
		} {
			if !errors.Is(err, wal.ErrMisuse) {
				t.Errorf("%T, %s: %v", d, what, err)
			}
		}
		if err := d.Append([]wal.Entry{{Seq: 3}}); err != nil {
			t.Errorf("%T: %v", d, err)
		}
	}
}

// TestFull fills a disk: promises and cuts still work, a compaction makes room again.
func TestFull(t *testing.T) {
	for name, o := range map[string]wal.Options{
		"limit of its own": {MaxBytes: 9000, SegmentBytes: 1000, ReserveBytes: 600},
		"disk":             {SegmentBytes: 1000, ReserveBytes: 600},
	} {
		t.Run(name, func(t *testing.T) {
			fs := newSimFS()
			fs.capacity = 10000
			o.FS = fs
			log, err := wal.Open(simFolder, o)
			if err != nil {
				t.Fatal(err)
			}
			if _, _, _, err := log.Load(); err != nil {
				t.Fatal(err)
			}
			model, data := waltest.NewMem(), bytes.Repeat([]byte("x"), 90)
			both := func(do func(wal.Disk) error) error {
				err := do(log)
				if err == nil {
					err = do(model)
				}
				return err
			}
			appendOne := func(d wal.Disk) error { return d.Append([]wal.Entry{{Seq: model.LastSeq() + 1, Data: data}}) }
			for err = nil; err == nil; {
				err = both(appendOne)
			}
			if !errors.Is(err, wal.ErrFull) || model.LastSeq() < 50 {
				t.Fatalf("after %d: %v", model.LastSeq(), err)
			}
			for i := range 40 {
				if err := both(func(d wal.Disk) error { return d.SaveMeta("promise", fmt.Appendf(nil, "%d", i)) }); err != nil {
					t.Fatalf("promise %d: %v", i, err)
				}
			}
			last := model.LastSeq()
			if err := both(func(d wal.Disk) error { return d.Truncate(last - 1) }); err != nil {
				t.Fatal(err)
			}
			requireSame(t, log, model)
			if name == "disk" { // others have taken it all
				fs.capacity = fs.usedBytes()
				if err := log.Compact(wal.Snapshot{Seq: last - 3, Data: data}); !errors.Is(err, wal.ErrFull) {
					t.Fatal(err)
				}
				requireSame(t, log, model)
				fs.capacity += 1000
			}
			if err := both(func(d wal.Disk) error { return d.Compact(wal.Snapshot{Seq: last - 3, Data: []byte("s")}) }); err != nil {
				t.Fatal(err)
			}
			for range 40 {
				if err := both(appendOne); err != nil {
					t.Fatal(err)
				}
			}
			if !log.HasReserve() {
				t.Error("the reserve was not taken again")
			}
			if n := log.Size(); n > 8000 {
				t.Errorf("%d bytes are used", n)
			}
			requireSame(t, log, model)
		})
	}
}

func requireSame(t *testing.T, a, b wal.Disk) {
	t.Helper()
	va, err := loadView(a)
	vb, _ := loadView(b)
	if err != nil || va.log != vb.log || fmt.Sprint(va.meta) != fmt.Sprint(vb.meta) {
		t.Fatalf("%v\n%v\n%v", va, vb, err)
	}
}

// buildLog makes a log with segments of the given size on a simulated disk, and returns what it held after each step.
func buildLog(t *testing.T, segmentBytes int64, steps []step) (*simFS, []view) {
	t.Helper()
	fs, model := newSimFS(), waltest.NewMem()
	log, err := wal.Open(simFolder, wal.Options{FS: fs, SegmentBytes: segmentBytes, ReserveBytes: -1})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, _, err := log.Load(); err != nil {
		t.Fatal(err)
	}
	var views []view
	for _, st := range steps {
		if err := errors.CombineErrors(st.run(log, model.LastSeq()), st.run(model, model.LastSeq())); err != nil {
			t.Fatal(err)
		}
		v, _ := loadView(model)
		views = append(views, v)
	}
	return fs, views
}

// TestDamage changes each byte of each file: either the damage is seen, or the last record is gone, as if torn.
func TestDamage(t *testing.T) {
	steps := []step{{"meta", 1, 1}, {"append", 4, 0}, {"compact", 2, 0}, {"append", 3, 0}, {"truncate", 5, 0}, {"append", 2, 1}, {"append", 1, 2}}
	for _, segmentBytes := range []int64{1, 100, 250, 1 << 20} {
		fs, views := buildLog(t, segmentBytes, steps)
		complete, withoutLast := views[len(views)-1], views[len(views)-2]
		seen, torn, other := 0, 0, 0
		for name, n := range fs.visible {
			for i := range n.content {
				changed := fs.afterKill()
				changed.visible[name].content = slices.Clone(n.content)
				changed.visible[name].content[i] ^= 0x10
				log, err := openSim(changed)
				if err != nil {
					t.Fatal(err)
				}
				v, err := loadView(log)
				switch {
				case errors.Is(err, wal.ErrDamaged):
					seen++
				case err != nil:
					t.Fatalf("%s, byte %d: %v", name, i, err)
				case fmt.Sprint(v.meta) != fmt.Sprint(complete.meta):
					t.Fatalf("%s, byte %d: %v", name, i, v.meta)
				case v.log == withoutLast.log:
					torn++
				case v.log == complete.log:
					other++
				default:
					t.Fatalf("%s, byte %d: %q", name, i, v.log)
				}
			}
		}
		if seen < 200 || torn < wal.RecordHeaderSize || torn > 80 || other > 0 {
			t.Errorf("segments of %d: seen %d times, taken for torn %d, passed over %d", segmentBytes, seen, torn, other)
		}
	}
}

func TestMissingSnapshot(t *testing.T) {
	fs, _ := buildLog(t, 100, []step{{"append", 4, 0}, {"install", 9, 0}, {"append", 1, 0}})
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

// TestMissingSegment takes out a segment that is not the last, also where the numbers of the rest follow each other.
func TestMissingSegment(t *testing.T) {
	for _, segmentBytes := range []int64{1, 60, 200} {
		fs, _ := buildLog(t, segmentBytes, []step{{"append", 6, 0}, {"truncate", 3, 0}, {"append", 3, 1}, {"append", 5, 2}, {"append", 1, 0}})
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

// TestStaleRecord puts a whole record of an earlier log behind the end, as blocks that were used before may.
func TestStaleRecord(t *testing.T) {
	old, err := runHistory([]step{{"append", 1, 0}, {"append", 1, 0}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	s, err := runHistory([]step{{"append", 1, 0}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	name := wal.SegmentName(1)
	n := s.fs.visible[name]
	n.content = append(slices.Clone(n.content), old.fs.visible[name].content[len(n.content):]...)
	if v, err := loadView(s.log); err != nil || s.checkAllowed(v) != nil {
		t.Errorf("%v, %v", v, err)
	}
	// The same record once more, in the same segment.
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
	if _, _, _, err := log.Load(); err != nil {
		b.Fatal(err)
	}
	data := make([]byte, 1000)
	for i := uint64(1); b.Loop(); i++ {
		if err := log.Append([]wal.Entry{{Seq: i, Data: data}}); err != nil {
			b.Fatal(err)
		}
	}
}
