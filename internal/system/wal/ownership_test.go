package wal_test

import (
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/wal"
	"gradeusher.example/gradeusher/internal/system/wal/waltest"
)

// openTwice opens a log twice on one disk, as happens when a process is restarted while the old one is still shutting down; file
// locks have no effect there. The old process has written two entries and a piece of metadata before the successor loads.
func openTwice(t *testing.T, knobs wal.TestingKnobs) (fs *simFS, old, successor *wal.Log) {
	t.Helper()
	fs = newSimFS()
	options := wal.Options{FS: fs, SegmentBytes: 200, ReserveBytes: 16}.WithKnobs(knobs)
	old = openLoaded(t, simFolder, options)
	for _, err := range []error{
		old.Append([]wal.Entry{makeEntry(1, 0)}),
		old.Append([]wal.Entry{makeEntry(2, 0)}),
		old.SaveMeta("m", []byte("old")),
	} {
		if err != nil {
			t.Fatal(err)
		}
	}
	return fs, old, openLoaded(t, simFolder, options)
}

// TestSupersededProcessAcknowledgesNothing: once the successor has loaded the log, no change of the old process succeeds, and a third
// process finds exactly what the successor acknowledged.
func TestSupersededProcessAcknowledgesNothing(t *testing.T) {
	for name, change := range map[string]func(l *wal.Log) error{
		"append":   func(l *wal.Log) error { return l.Append([]wal.Entry{makeEntry(3, 7)}) },
		"truncate": func(l *wal.Log) error { return l.Truncate(1) },
		"compact":  func(l *wal.Log) error { return l.Compact(wal.Snapshot{Seq: 1, Data: []byte("old")}) },
		"install":  func(l *wal.Log) error { return l.Install(wal.Snapshot{Seq: 30, Data: []byte("old")}) },
		"meta":     func(l *wal.Log) error { return l.SaveMeta("m", []byte("late")) },
	} {
		t.Run(name+" after the successor's writes", func(t *testing.T) {
			fs, old, successor := openTwice(t, wal.TestingKnobs{})
			writeAsSuccessor(t, successor)
			requireSuperseded(t, old, change)
			checkSuccessorsWrites(t, fs)
		})
		t.Run(name+" before the successor's writes", func(t *testing.T) {
			fs, old, successor := openTwice(t, wal.TestingKnobs{})
			requireSuperseded(t, old, change)
			writeAsSuccessor(t, successor)
			checkSuccessorsWrites(t, fs)
		})
	}
}

func writeAsSuccessor(t *testing.T, successor *wal.Log) {
	t.Helper()
	if err := successor.Append([]wal.Entry{makeEntry(3, 1)}); err != nil {
		t.Fatal(err)
	}
	if err := successor.SaveMeta("m", []byte("young")); err != nil {
		t.Fatal(err)
	}
}

// requireSuperseded checks that neither change nor an append after it succeeds.
func requireSuperseded(t *testing.T, old *wal.Log, change func(*wal.Log) error) {
	t.Helper()
	if err := change(old); !errors.Is(err, wal.ErrSuperseded) {
		t.Errorf("the change: %v", err)
	}
	if err := old.Append([]wal.Entry{makeEntry(3, 7)}); !errors.Is(err, wal.ErrSuperseded) {
		t.Errorf("an append after it: %v", err)
	}
}

// checkSuccessorsWrites checks that a third process finds the successor's writes after a kill and after power losses.
func checkSuccessorsWrites(t *testing.T, fs *simFS) {
	t.Helper()
	model := waltest.NewMem()
	_ = model.Append([]wal.Entry{makeEntry(1, 0), makeEntry(2, 0), makeEntry(3, 1)})
	_ = model.SaveMeta("m", []byte("young"))
	want, _ := loadView(model)
	check := func(fs *simFS) {
		third, err := openSim(fs)
		if err != nil {
			t.Fatal(err)
		}
		got, err := loadView(third)
		if err != nil || got.log != want.log {
			t.Errorf("%v, %v, want %v", got, err, want)
		}
		if got.meta["m"] != "young" {
			t.Errorf("%v", got.meta)
		}
	}
	check(fs.afterKill())
	fs.visitPowerLosses(50, rand.New(rand.NewPCG(1, 2)), check)
}

// TestSupersededProcessWithoutOwnershipCheck is the negative control: without the ownership check, both processes acknowledge an
// entry 3.
func TestSupersededProcessWithoutOwnershipCheck(t *testing.T) {
	_, old, successor := openTwice(t, wal.TestingKnobs{SkipOwnershipCheck: true})
	if err := errors.CombineErrors(old.Append([]wal.Entry{makeEntry(3, 7)}), successor.Append([]wal.Entry{makeEntry(3, 1)})); err != nil {
		t.Errorf("a process failed to append although the ownership check is disabled: %v", err)
	}
}

// TestReadOnlyLoadChangesNothing loads the log of a running process read-only, as an operator may do by mistake. It guards against
// the process losing ownership of its log to a tool that only inspects it.
func TestReadOnlyLoadChangesNothing(t *testing.T) {
	running, err := runHistory(histories["mixed"], nil)
	if err != nil {
		t.Fatal(err)
	}
	before := running.fs.calls
	log, err := wal.Open(simFolder, wal.Options{FS: running.fs, ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	loaded, err := loadView(log)
	if err != nil {
		t.Fatal(err)
	}
	if err := running.checkAllowed(loaded); err != nil {
		t.Error(err)
	}
	if running.fs.calls > before {
		t.Errorf("the read-only load made %d changing calls on the disk", running.fs.calls-before)
	}
	if err := log.Append([]wal.Entry{{Seq: log.LastSeq() + 1}}); !errors.Is(err, wal.ErrMisuse) {
		t.Errorf("an append: %v", err)
	}
	if err := log.Quarantine(); !errors.Is(err, wal.ErrMisuse) {
		t.Errorf("a quarantine: %v", err)
	}
	if err := running.runStep(step{appendEntries, 1, 5}); err != nil || len(running.possibleLogs) > 0 {
		t.Errorf("append of the running process: %v, %v", err, running.trace[len(running.trace)-1])
	}
}
