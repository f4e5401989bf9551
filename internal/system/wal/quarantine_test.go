package wal_test

import (
	"bytes"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/wal"
	"gradeusher.example/gradeusher/internal/system/wal/waltest"
)

// logFiles returns the contents of the log's files by name.
func logFiles(fs *simFS) map[string]string {
	all := map[string]string{}
	for name, n := range fs.visible {
		if kind, _, _ := strings.Cut(name, "-"); kind == "log" || kind == "snap" || kind == "meta" {
			all[name] = string(n.content)
		}
	}
	return all
}

// checkCopy checks that the quarantined copy consists of exactly the files in want.
func checkCopy(fs *simFS, want map[string]string) error {
	for name, content := range want {
		if n := fs.visible[wal.QuarantinePrefix+name]; n == nil || string(n.content) != content {
			return errors.Newf("%s is missing or changed in the quarantined copy", name)
		}
	}
	for name := range fs.visible {
		if original, ok := strings.CutPrefix(name, wal.QuarantinePrefix); ok {
			if _, ok := want[original]; !ok {
				return errors.Newf("%s belongs to another copy", name)
			}
		}
	}
	return nil
}

// quarantineCrash describes the state after a crash during a quarantine.
type quarantineCrash struct {
	fs       *simFS
	model    *waltest.Mem      // model of the log before the quarantine
	original map[string]string // contents of the log's files before the quarantine, by name
	done     bool              // the quarantine had finished before the crash
}

// crashDuringQuarantine quarantines a log in a folder that contains an older copy, with a crash at each call, and passes each
// resulting state to check.
func crashDuringQuarantine(t *testing.T, knobs wal.TestingKnobs, check func(quarantineCrash) error) error {
	t.Helper()
	r := rand.New(rand.NewPCG(5, 6))
	for call := 1; ; call++ {
		log := newLogWithOlderCopy(t)
		log.log.SetTestingKnobs(knobs)
		crash := quarantineCrash{model: log.model, original: logFiles(log.fs)}
		fs := log.fs
		fs.fault = crashAt(fs.calls + call)
		crash.done = log.log.Quarantine() == nil
		fs.crashed, fs.fault = false, nil
		crash.fs = fs.afterKill()
		err := check(crash)
		fs.visitPowerLosses(300, r, func(lost *simFS) {
			if err == nil {
				crash.fs = lost
				err = check(crash)
			}
		})
		if err != nil || crash.done {
			return errors.Wrapf(err, "crash at call %d", call)
		}
	}
}

// newLogWithOlderCopy returns a log with a history, in a folder that contains the quarantined copy of an earlier log.
func newLogWithOlderCopy(t *testing.T) *checkedLog {
	t.Helper()
	fs := newSimFS()
	older := newCheckedLog(fs)
	if err := older.open(); err != nil {
		t.Fatal(err)
	}
	if err := errors.CombineErrors(older.log.Append([]wal.Entry{makeEntry(1, 9)}), older.log.Quarantine()); err != nil {
		t.Fatal(err)
	}
	log := newCheckedLog(fs)
	if err := log.open(); err != nil {
		t.Fatal(err)
	}
	for _, next := range histories["mixed"] {
		if err := log.runStep(next); err != nil {
			t.Fatal(err)
		}
	}
	return log
}

// checkAllOrNothing checks that after a restart the log is either unchanged, or empty with its complete copy in the folder. It also
// interrupts the restart itself; nested is the number of power losses tried at each call of the restart.
func checkAllOrNothing(crash quarantineCrash, nested int) error {
	for call := 1; nested > 0; call++ {
		again := crash
		again.fs = crash.fs.afterKill()
		if !crashInLoading(again.fs, call) {
			break
		}
		if err := checkInterruptedRestart(again, nested); err != nil {
			return errors.Wrapf(err, "crash at call %d of the restart", call)
		}
	}
	log, err := openSim(crash.fs)
	if err != nil {
		return err
	}
	loaded, err := loadView(log)
	if err != nil {
		return err
	}
	want, _ := loadView(crash.model)
	isEmpty := loaded.log == "0:" && len(loaded.meta) == 0
	if isEmpty {
		err = checkCopy(crash.fs, crash.original)
	} else if loaded.log != want.log || len(loaded.meta) != len(want.meta) {
		err = errors.Newf("the log is neither empty nor as it was before: %v", loaded)
	}
	return errors.CombineErrors(err, checkUsable(crash.fs, log, loaded))
}

// checkInterruptedRestart checks the state after a restart that crashed: after a kill, and after power losses.
func checkInterruptedRestart(crash quarantineCrash, nested int) error {
	fs := crash.fs
	crash.fs = fs.afterKill()
	err := checkAllOrNothing(crash, 0)
	fs.visitPowerLosses(nested, rand.New(rand.NewPCG(1, 1)), func(lost *simFS) {
		if err == nil {
			crash.fs = lost
			err = checkAllOrNothing(crash, 0)
		}
	})
	return err
}

// TestQuarantine crashes at every call of a quarantine, and at every call of the restart after it. Afterwards the log must either be
// unchanged, or be empty with the complete copy in the folder and no file of an older copy.
func TestQuarantine(t *testing.T) {
	err := crashDuringQuarantine(t, wal.TestingKnobs{}, func(crash quarantineCrash) error {
		if _, marked := crash.fs.visible[wal.QuarantineMarkerName]; crash.done && marked {
			return errors.New("the marker is still present")
		}
		if crash.done && len(logFiles(crash.fs)) > 0 {
			return errors.New("a part of the log is still present")
		}
		nested := 4
		if tryAllCases() {
			nested = 64
		}
		return checkAllOrNothing(crash, nested)
	})
	if err != nil {
		t.Error(err)
	}
}

// TestQuarantineDamaged quarantines a log that cannot be loaded.
func TestQuarantineDamaged(t *testing.T) {
	folder := t.TempDir()
	log := openLoaded(t, folder, wal.Options{SegmentBytes: 100})
	for i := range uint64(9) {
		if err := log.Append([]wal.Entry{makeEntry(i+1, 0)}); err != nil {
			t.Fatal(err)
		}
	}
	if err := log.SaveMeta("identity", []byte("old")); err != nil {
		t.Fatal(err)
	}
	name := wal.SegmentName(2)
	if err := os.Truncate(log.Path(name), 60); err != nil {
		t.Fatal(err)
	}
	if _, err := log.Load(); !errors.Is(err, wal.ErrDamaged) {
		t.Fatal(err)
	}
	if err := log.Append([]wal.Entry{makeEntry(10, 0)}); !errors.Is(err, wal.ErrMisuse) {
		t.Errorf("append to a damaged log: %v", err)
	}
	damaged, err := os.ReadFile(log.Path(name))
	if err != nil {
		t.Fatal(err)
	}
	if err := log.Quarantine(); err != nil {
		t.Fatal(err)
	}
	if v, err := loadView(log); err != nil || v.log != "0:" || len(v.meta) > 0 {
		t.Errorf("the log after the quarantine: %v, %v; want an empty one", v, err)
	}
	if kept, err := os.ReadFile(log.Path(wal.QuarantinePrefix + name)); err != nil || !bytes.Equal(kept, damaged) {
		t.Errorf("the copy of %s: %d bytes, %v", name, len(kept), err)
	}
}

// TestQuarantinedCopyGivesWay makes changes that need the space of the quarantined copy: the copy is dropped, and no change is
// refused.
func TestQuarantinedCopyGivesWay(t *testing.T) {
	large := make([]byte, 4000)
	changes := map[string]func(*wal.Log) error{
		"append":  func(l *wal.Log) error { return l.Append([]wal.Entry{{Seq: 2, Data: large}}) },
		"compact": func(l *wal.Log) error { return l.Compact(wal.Snapshot{Seq: 1, Data: large}) },
		"install": func(l *wal.Log) error { return l.Install(wal.Snapshot{Seq: 9, Data: large}) },
		"meta":    func(l *wal.Log) error { return l.SaveMeta("m", large) },
	}
	for bound, options := range map[string]wal.Options{
		"bound of the log": {DiskBytes: 12000, SegmentBytes: 1000, ReserveBytes: 100},
		"disk":             {SegmentBytes: 1000, ReserveBytes: 100},
	} {
		for name, change := range changes {
			t.Run(bound+"/"+name, func(t *testing.T) {
				log := newLogWithQuarantinedCopy(t, options)
				err := change(log)
				if remaining := len(log.QuarantinedFiles()); err != nil || remaining > 0 {
					t.Errorf("change: %v; %d files of the copy are left", err, remaining)
				}
			})
		}
	}
}

// newLogWithQuarantinedCopy returns a log with one entry, in a folder that contains the copy of another log, on a disk of 12,000 bytes.
func newLogWithQuarantinedCopy(t *testing.T, options wal.Options) *wal.Log {
	t.Helper()
	fs := newSimFS()
	fs.capacity = 12000
	options.FS = fs
	log := openLoaded(t, simFolder, options)
	for i := range uint64(5) {
		if err := log.Append([]wal.Entry{{Seq: i + 1, Data: make([]byte, 1000)}}); err != nil {
			t.Fatal(err)
		}
	}
	if err := log.Quarantine(); err != nil {
		t.Fatal(err)
	}
	if _, err := log.Load(); err != nil {
		t.Fatal(err)
	}
	if err := log.Append([]wal.Entry{{Seq: 1, Data: make([]byte, 3000)}}); err != nil {
		t.Fatal(err)
	}
	if len(log.QuarantinedFiles()) == 0 {
		t.Fatal("the copy was dropped before its space was needed")
	}
	return log
}

// TestQuarantineWithoutDurableMarker is the negative control: if the marker is not made durable, a partial log is served or the copy
// is incomplete, and the check must find that.
func TestQuarantineWithoutDurableMarker(t *testing.T) {
	err := crashDuringQuarantine(t, wal.TestingKnobs{SkipQuarantineMarkerSync: true}, func(crash quarantineCrash) error {
		return checkAllOrNothing(crash, 0)
	})
	if err == nil {
		t.Error("no fault was found although the marker is not synced")
	}
}
