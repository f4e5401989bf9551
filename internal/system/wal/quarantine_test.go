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

// logFiles returns the contents of the logFiles of a log, by name.
func logFiles(fs *simFS) map[string]string {
	all := map[string]string{}
	for name, n := range fs.visible {
		if kind, _, _ := strings.Cut(name, "-"); kind == "log" || kind == "snap" || kind == "meta" {
			all[name] = string(n.content)
		}
	}
	return all
}

// checkCopy checks that the files are there under their other names, and no others are.
func checkCopy(fs *simFS, want map[string]string) error {
	for name, content := range want {
		if n := fs.visible[wal.QuarantinePrefix+name]; n == nil || string(n.content) != content {
			return errors.Newf("%s is not in the copy as it was", name)
		}
	}
	for name := range fs.visible {
		if original, ok := strings.CutPrefix(name, wal.QuarantinePrefix); ok {
			if _, ok := want[original]; !ok {
				return errors.Newf("%s is of another copy", name)
			}
		}
	}
	return nil
}

// crashDuringQuarantine puts a log aside beside an older copy, and crashes at each call of it. check gets what is left.
func crashDuringQuarantine(t *testing.T, h wal.TestingKnobs, check func(fs *simFS, complete *waltest.Mem, copied map[string]string, call int, done bool) error) error {
	t.Helper()
	r := rand.New(rand.NewPCG(5, 6))
	for call := 1; ; call++ {
		fs := newSimFS()
		older, err := openSim(fs)
		if err == nil {
			_, _, _, err = older.Load()
		}
		err = errors.CombineErrors(err, older.Append([]wal.Entry{makeEntry(1, 9)}))
		if err = errors.CombineErrors(err, older.Quarantine()); err != nil {
			t.Fatal(err)
		}
		s := newCheckedLog(fs)
		if err := s.open(); err != nil {
			t.Fatal(err)
		}
		for _, st := range histories["mixed"] {
			if err := s.runStep(st); err != nil {
				t.Fatal(err)
			}
		}
		s.log.SetTestingKnobs(h)
		copied := logFiles(fs)
		fs.fault = crashAt(fs.calls + call)
		done := s.log.Quarantine() == nil
		fs.crashed, fs.fault = false, nil
		err = check(fs.afterKill(), s.model, copied, call, done)
		fs.powerLosses(300, r, func(lost *simFS) {
			if err == nil {
				err = check(lost, s.model, copied, call, done)
			}
		})
		if err != nil || done {
			return errors.Wrapf(err, "crash at call %d", call)
		}
	}
}

// checkAllOrNothing checks that after a restart the log is there as it was, or is empty with the copy beside it, also where the
// restart is cut short in turn.
func checkAllOrNothing(fs *simFS, complete *waltest.Mem, copied map[string]string, nested int) error {
	for call := 1; nested > 0; call++ {
		again := fs.afterKill()
		again.fault = crashAt(call)
		if log, err := openSim(again); err == nil {
			_, _, _, _ = log.Load()
		}
		if !again.crashed {
			break
		}
		again.crashed, again.fault = false, nil
		err := checkAllOrNothing(again.afterKill(), complete, copied, 0)
		again.powerLosses(nested, rand.New(rand.NewPCG(1, 1)), func(lost *simFS) {
			if err == nil {
				err = checkAllOrNothing(lost, complete, copied, 0)
			}
		})
		if err != nil {
			return errors.Wrapf(err, "and at call %d of the restart", call)
		}
	}
	log, err := openSim(fs)
	if err != nil {
		return err
	}
	v, err := loadView(log)
	if err != nil {
		return err
	}
	want, _ := loadView(complete)
	if v.log == "0:" && len(v.meta) == 0 {
		err = checkCopy(fs, copied)
	} else if v.log != want.log || len(v.meta) != len(want.meta) {
		err = errors.Newf("%v", v)
	}
	return errors.CombineErrors(err, checkUsable(fs, log, v))
}

// TestQuarantine crashes at every call of putting a log aside, and at every call of the restart after it: afterwards either
// everything is there as it was, or an empty log with the whole copy beside it, and nothing of an older copy.
func TestQuarantine(t *testing.T) {
	err := crashDuringQuarantine(t, wal.TestingKnobs{}, func(fs *simFS, complete *waltest.Mem, copied map[string]string, _ int, done bool) error {
		if _, marked := fs.visible[wal.QuarantineMarkerName]; done && marked {
			return errors.New("the mark is still there")
		}
		if done && len(logFiles(fs)) > 0 {
			return errors.New("a part of the log is still there")
		}
		nested := 4
		if tryAllCases() {
			nested = 64
		}
		return checkAllOrNothing(fs, complete, copied, nested)
	})
	if err != nil {
		t.Error(err)
	}
}

// TestQuarantineDamaged puts aside what cannot be loaded.
func TestQuarantineDamaged(t *testing.T) {
	folder := t.TempDir()
	log, _ := openInFolder(t, folder, wal.Options{SegmentBytes: 100})
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
	if _, _, _, err := log.Load(); !errors.Is(err, wal.ErrDamaged) {
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
		t.Errorf("%v, %v", v, err)
	}
	if kept, err := os.ReadFile(log.Path(wal.QuarantinePrefix + name)); err != nil || !bytes.Equal(kept, damaged) {
		t.Errorf("the copy of %s: %d bytes, %v", name, len(kept), err)
	}
}

// TestQuarantinedCopyGivesWay needs the room that the copy of a damaged log takes: the copy goes, and no change is refused.
func TestQuarantinedCopyGivesWay(t *testing.T) {
	for name, o := range map[string]wal.Options{
		"bound of its own": {DiskBytes: 12000, SegmentBytes: 1000, ReserveBytes: 100},
		"disk":             {SegmentBytes: 1000, ReserveBytes: 100},
	} {
		for _, what := range []string{"append", "compact", "install", "meta"} {
			fs := newSimFS()
			fs.capacity = 12000
			o.FS = fs
			log, err := wal.Open(simFolder, o)
			if err != nil {
				t.Fatal(err)
			}
			load := func() {
				t.Helper()
				if _, _, _, err := log.Load(); err != nil {
					t.Fatal(err)
				}
			}
			load()
			for i := range uint64(5) {
				if err := log.Append([]wal.Entry{{Seq: i + 1, Data: make([]byte, 1000)}}); err != nil {
					t.Fatal(err)
				}
			}
			if err := log.Quarantine(); err != nil {
				t.Fatal(err)
			}
			load()
			if err := log.Append([]wal.Entry{{Seq: 1, Data: make([]byte, 3000)}}); err != nil {
				t.Fatal(err)
			}
			if len(log.QuarantinedFiles()) == 0 {
				t.Fatal("the copy went before its room was needed")
			}
			big := make([]byte, 4000)
			switch what {
			case "append":
				err = log.Append([]wal.Entry{{Seq: 2, Data: big}})
			case "compact":
				err = log.Compact(wal.Snapshot{Seq: 1, Data: big})
			case "install":
				err = log.Install(wal.Snapshot{Seq: 9, Data: big})
			case "meta":
				err = log.SaveMeta("m", big)
			}
			if err != nil || len(log.QuarantinedFiles()) > 0 {
				t.Errorf("%s, %s: %v, %d files of the copy are left", name, what, err, len(log.QuarantinedFiles()))
			}
		}
	}
}

// TestQuarantineWithoutDurableMarker is the control: where the mark need not last, a half of a log is served or the copy is not whole.
func TestQuarantineWithoutDurableMarker(t *testing.T) {
	err := crashDuringQuarantine(t, wal.TestingKnobs{SkipQuarantineMarkerSync: true}, func(fs *simFS, complete *waltest.Mem, copied map[string]string, _ int, _ bool) error {
		return checkAllOrNothing(fs, complete, copied, 0)
	})
	if err == nil {
		t.Error("the control shows nothing")
	}
}
