package wal_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"gradeusher.example/gradeusher/internal/system/wal"
)

// tryAllCases reports whether to try every case instead of a sample.
func tryAllCases() bool { return os.Getenv("WAL_DEEP") != "" }

// histories are the sequences of calls for the crash and error tests, which inject a fault at each call on the disk.
var histories = map[string][]step{
	"grow": {
		{saveMeta, 1, 1},
		{appendEntries, 1, 0},
		{appendEntries, 3, 0},
		{appendEntries, 4, 0},
		{appendEntries, 5, 0},
		{saveMeta, 1, 2},
		{appendEntries, 2, 0},
	},
	"truncate": {
		{appendEntries, 6, 0},
		{appendEntries, 6, 0},
		{truncateLog, 9, 0},
		{appendEntries, 2, 1},
		{truncateLog, 3, 0},
		{appendEntries, 9, 2},
		{truncateLog, 0, 0},
		{appendEntries, 1, 3},
	},
	"compact": {
		{appendEntries, 4, 0},
		{appendEntries, 7, 0},
		{compactLog, 6, 0},
		{appendEntries, 8, 0},
		{saveMeta, 2, 1},
		{compactLog, 19, 1},
		{appendEntries, 1, 0},
		{compactLog, 20, 2},
	},
	"install": {
		{appendEntries, 9, 0},
		{installSnapshot, 30, 0},
		{appendEntries, 2, 1},
		{truncateLog, 31, 0},
		{installSnapshot, 12, 2},
		{appendEntries, 3, 3},
		{saveMeta, 1, 1},
		{installSnapshot, 12, 4},
	},
	"mixed": {
		{appendEntries, 9, 0},
		{appendEntries, 9, 0},
		{truncateLog, 12, 0},
		{compactLog, 11, 1},
		{appendEntries, 4, 1},
		{truncateLog, 11, 0},
		{appendEntries, 9, 2},
		{compactLog, 11, 2},
		{saveMeta, 1, 2},
		{saveMeta, 1, 3},
	},
}

// runHistory runs the steps until the simulated machine crashes.
func runHistory(steps []step, fault func(int, string) error) (*checkedLog, error) {
	return runWith(steps, wal.TestingKnobs{}, ignoredSyncs{}, fault)
}

// runWith is like runHistory, with some protections disabled.
func runWith(steps []step, knobs wal.TestingKnobs, ignored ignoredSyncs, fault func(int, string) error) (*checkedLog, error) {
	fs := newSimFS()
	fs.fault, fs.knobs, fs.ignored = fault, knobs, ignored
	checked := newCheckedLog(fs)
	for range 8 { // a load that failed is retried
		if checked.open() == nil {
			break
		}
	}
	for _, next := range steps {
		if fs.crashed {
			break
		}
		if err := checked.runStep(next); err != nil {
			return checked, err
		}
	}
	return checked, nil
}

// TestCrashAtEveryCall crashes the machine at each call of each history.
func TestCrashAtEveryCall(t *testing.T) {
	for name, steps := range histories {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 2))
			complete, err := runHistory(steps, nil)
			if err != nil {
				t.Fatal(err)
			}
			for call := 1; call <= complete.fs.calls+1; call++ {
				s, err := runHistory(steps, crashAt(call))
				if maxCases, nested := 24, 1; err == nil {
					if tryAllCases() {
						maxCases, nested = 1024, 8
					}
					err = s.checkCrash(maxCases, nested, r)
				}
				if err != nil {
					t.Fatalf("crash at call %d of %d: %v\n%s", call, complete.fs.calls, err, strings.Join(s.trace, "\n"))
				}
			}
		})
	}
}

// crashAt returns a fault function that crashes the machine at the given call.
func crashAt(call int) func(int, string) error {
	return func(n int, _ string) error {
		if n == call {
			return errCrash
		}
		return nil
	}
}

// TestErrorThenCrash makes one call or several consecutive calls fail, and then crashes the machine at each later call.
func TestErrorThenCrash(t *testing.T) {
	for name, steps := range histories {
		for _, injected := range []error{errNoSpace, errors.New("input/output error")} {
			for _, failures := range []int{1, 2, 5} {
				t.Run(fmt.Sprintf("%s/%v/%d", name, injected, failures), func(t *testing.T) {
					t.Parallel()
					errorThenCrash(t, steps, injected, failures)
				})
			}
		}
	}
}

func errorThenCrash(t *testing.T, steps []step, injected error, failures int) {
	r := rand.New(rand.NewPCG(3, 4))
	failFrom := func(from, crash int) func(int, string) error {
		return func(n int, _ string) error {
			switch {
			case n == crash:
				return errCrash
			case n >= from && n < from+failures:
				return injected
			}
			return nil
		}
	}
	for from := 1; ; from++ {
		complete, err := runHistory(steps, failFrom(from, 0))
		first, stride := from+failures, 1
		if !tryAllCases() {
			first, stride = from+failures+from%13, 13
		}
		for crash := first; err == nil && crash <= complete.fs.calls+1; crash += stride {
			var s *checkedLog
			if s, err = runHistory(steps, failFrom(from, crash)); err == nil {
				err = s.checkCrash(4, 0, r)
			}
			if err != nil {
				t.Fatalf("failing from call %d, crash at %d: %v\n%s", from, crash, err, strings.Join(s.trace, "\n"))
			}
		}
		if err != nil {
			t.Fatalf("failing from call %d: %v\n%s", from, err, strings.Join(complete.trace, "\n"))
		}
		if from > complete.fs.calls {
			return
		}
	}
}

// TestRandomHistories runs random sequences of calls, errors, kills and power losses.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		checked := newCheckedLog(newSimFS())
		if err := checked.open(); err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			err := checked.drawEvent(t, r)
			if err == nil && checked.fs.crashed {
				err = checked.restartAfterCrash(r)
			}
			if err != nil {
				t.Fatalf("%v\n%s", err, strings.Join(checked.trace, "\n"))
			}
		}
		if err := checked.checkCrash(20, 1, r); err != nil {
			t.Fatalf("%v\n%s", err, strings.Join(checked.trace, "\n"))
		}
	})
}

// drawEvent draws and runs one of: a full disk for some calls, a kill with a restart, a crash at a later call, and a change.
func (s *checkedLog) drawEvent(t *rapid.T, r *rand.Rand) error {
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		from := s.fs.calls + rapid.IntRange(1, 12).Draw(t, "from")
		until := from + rapid.IntRange(1, 8).Draw(t, "row")
		s.fs.fault = func(call int, _ string) error {
			if call >= from && call < until {
				return errNoSpace
			}
			return nil
		}
	case 1:
		return s.restart(s.fs.afterKill())
	case 2:
		crash := s.fs.calls + rapid.IntRange(1, 10).Draw(t, "crash")
		s.fs.fault = func(call int, _ string) error {
			if call >= crash {
				return errCrash
			}
			return nil
		}
	default:
		return s.runStep(s.drawStep(t, r))
	}
	return nil
}

func (s *checkedLog) drawStep(t *rapid.T, r *rand.Rand) step {
	last := s.model.LastSeq()
	return rapid.SampledFrom([]step{
		{appendEntries, rapid.Uint64Range(1, 6).Draw(t, "count"), r.Uint64N(1000)},
		{truncateLog, last - min(last, rapid.Uint64Range(0, 8).Draw(t, "back")), 0},
		{compactLog, last - min(last, rapid.Uint64Range(0, 8).Draw(t, "behind")), r.Uint64N(1000)},
		{installSnapshot, last + rapid.Uint64Range(0, 9).Draw(t, "ahead"), r.Uint64N(1000)},
		{saveMeta, rapid.Uint64Range(1, 2).Draw(t, "name"), r.Uint64N(1000)},
	}).Draw(t, "step")
}

// restartAfterCrash checks the possible states of the disk after a crash, and continues with one of them.
func (s *checkedLog) restartAfterCrash(r *rand.Rand) error {
	if err := s.checkCrash(10, 1, r); err != nil {
		return err
	}
	var left *simFS
	s.fs.visitPowerLosses(3, r, func(lost *simFS) { left = lost })
	return s.restart(left)
}
