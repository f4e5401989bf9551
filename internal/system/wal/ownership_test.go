package wal_test

import (
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/wal"
	"gradeusher.example/gradeusher/internal/system/wal/waltest"
)

// openTwice opens a log twice on one disk, as where a process is started anew while the old one is still about to end:
// locks do nothing there.
func openTwice(t *testing.T, h wal.TestingKnobs) (fs *simFS, old, young *wal.Log) {
	t.Helper()
	fs = newSimFS()
	for i, log := range []**wal.Log{&old, &young} {
		l, err := wal.Open(simFolder, wal.Options{FS: fs, SegmentBytes: 200, ReserveBytes: 16, TestingKnobs: h})
		if err != nil {
			t.Fatal(err)
		}
		if _, _, _, err := l.Load(); err != nil {
			t.Fatal(err)
		}
		if *log = l; i == 0 {
			for _, err := range []error{l.Append([]wal.Entry{makeEntry(1, 0)}), l.Append([]wal.Entry{makeEntry(2, 0)}), l.SaveMeta("m", []byte("old"))} {
				if err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	return fs, old, young
}

// TestSupersededProcessAcknowledgesNothing lets the old process go on once the new one has loaded: none of its changes succeeds, and
// what the new one acknowledges is what the third one finds.
func TestSupersededProcessAcknowledgesNothing(t *testing.T) {
	changes := map[string]func(l *wal.Log) error{
		"append":   func(l *wal.Log) error { return l.Append([]wal.Entry{makeEntry(3, 7)}) },
		"truncate": func(l *wal.Log) error { return l.Truncate(1) },
		"compact":  func(l *wal.Log) error { return l.Compact(wal.Snapshot{Seq: 1, Data: []byte("old")}) },
		"install":  func(l *wal.Log) error { return l.Install(wal.Snapshot{Seq: 30, Data: []byte("old")}) },
		"meta":     func(l *wal.Log) error { return l.SaveMeta("m", []byte("late")) },
	}
	for name, change := range changes {
		for _, before := range []bool{true, false} {
			fs, old, young := openTwice(t, wal.TestingKnobs{})
			write := func() {
				if err := young.Append([]wal.Entry{makeEntry(3, 1)}); err != nil {
					t.Fatal(err)
				}
				if err := young.SaveMeta("m", []byte("young")); err != nil {
					t.Fatal(err)
				}
			}
			if before {
				write()
			}
			if err := change(old); !errors.Is(err, wal.ErrSuperseded) {
				t.Errorf("%s: %v", name, err)
			}
			if err := old.Append([]wal.Entry{makeEntry(3, 7)}); !errors.Is(err, wal.ErrSuperseded) {
				t.Errorf("%s, then an append: %v", name, err)
			}
			if !before {
				write()
			}
			want := waltest.NewMem()
			_ = want.Append([]wal.Entry{makeEntry(1, 0), makeEntry(2, 0), makeEntry(3, 1)})
			_ = want.SaveMeta("m", []byte("young"))
			v, _ := loadView(want)
			check := func(fs *simFS) {
				third, err := openSim(fs)
				if err != nil {
					t.Fatal(err)
				}
				got, err := loadView(third)
				if err != nil || got.log != v.log {
					t.Errorf("%s: %v, %v, want %v", name, got, err, v)
				}
				if got.meta["m"] != "young" {
					t.Errorf("%s: %v", name, got.meta)
				}
			}
			check(fs.afterKill())
			fs.powerLosses(50, rand.New(rand.NewPCG(1, 2)), check)
		}
	}
}

// TestSupersededProcessWithoutOwnershipCheck is the control: without the look for the other process, both acknowledge an entry 3.
func TestSupersededProcessWithoutOwnershipCheck(t *testing.T) {
	_, old, young := openTwice(t, wal.TestingKnobs{SkipOwnershipCheck: true})
	if err := errors.CombineErrors(old.Append([]wal.Entry{makeEntry(3, 7)}), young.Append([]wal.Entry{makeEntry(3, 1)})); err != nil {
		t.Errorf("the control shows nothing: %v", err)
	}
}

// TestReadOnlyLoadChangesNothing reads the log of a process that goes on, as staff may by mistake. Danger: the process loses its
// log to a tool that only looks.
func TestReadOnlyLoadChangesNothing(t *testing.T) {
	s, err := runHistory(histories["mixed"], nil)
	if err != nil {
		t.Fatal(err)
	}
	before := s.fs.calls
	log, err := wal.Open(simFolder, wal.Options{FS: s.fs, ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	v, err := loadView(log)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.checkAllowed(v); err != nil {
		t.Error(err)
	}
	if s.fs.calls > before {
		t.Errorf("%d calls changed something", s.fs.calls-before)
	}
	if err := log.Append([]wal.Entry{{Seq: log.LastSeq() + 1}}); !errors.Is(err, wal.ErrMisuse) {
		t.Errorf("an append: %v", err)
	}
	if err := log.Quarantine(); !errors.Is(err, wal.ErrMisuse) {
		t.Errorf("a putting aside: %v", err)
	}
	if err := s.runStep(step{"append", 1, 5}); err != nil || len(s.possibleLogs) > 0 {
		t.Errorf("the process that has the log: %v, %v", err, s.trace[len(s.trace)-1])
	}
}
