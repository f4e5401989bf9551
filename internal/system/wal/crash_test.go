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

// tryAllCases tells whether to try every case instead of a spread of them.
func tryAllCases() bool { return os.Getenv("WAL_DEEP") != "" }

// histories are scripts that the crash and error tests go through at every call.
var histories = map[string][]step{
	"grow": {{"meta", 1, 1}, {"append", 1, 0}, {"append", 3, 0}, {"append", 4, 0}, {"append", 5, 0}, {"meta", 1, 2}, {"append", 2, 0}},
	"truncate": {{"append", 6, 0}, {"append", 6, 0}, {"truncate", 9, 0}, {"append", 2, 1}, {"truncate", 3, 0}, {"append", 9, 2},
		{"truncate", 0, 0}, {"append", 1, 3}},
	"compact": {{"append", 4, 0}, {"append", 7, 0}, {"compact", 6, 0}, {"append", 8, 0}, {"meta", 2, 1}, {"compact", 19, 1},
		{"append", 1, 0}, {"compact", 20, 2}},
	"install": {{"append", 9, 0}, {"install", 30, 0}, {"append", 2, 1}, {"truncate", 31, 0}, {"install", 12, 2}, {"append", 3, 3},
		{"meta", 1, 1}, {"install", 12, 4}},
	"mixed": {{"append", 9, 0}, {"append", 9, 0}, {"truncate", 12, 0}, {"compact", 11, 1}, {"append", 4, 1}, {"truncate", 11, 0},
		{"append", 9, 2}, {"compact", 11, 2}, {"meta", 1, 2}, {"meta", 1, 3}},
}

// runHistory goes through a script until the machine is gone.
func runHistory(steps []step, fault func(int, string) error) (*checkedLog, error) {
	return runWith(steps, wal.TestingKnobs{}, ignoredSyncs{}, fault)
}

// runWith is runHistory without some protections.
func runWith(steps []step, h wal.TestingKnobs, l ignoredSyncs, fault func(int, string) error) (*checkedLog, error) {
	fs := newSimFS()
	fs.fault, fs.knobs, fs.ignored = fault, h, l
	checked := newCheckedLog(fs)
	for range 8 { // a load that failed is tried again
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
				if most, nested := 24, 1; err == nil {
					if tryAllCases() {
						most, nested = 1024, 8
					}
					err = s.checkCrash(most, nested, r)
				}
				if err != nil {
					t.Fatalf("crash at call %d of %d: %v\n%s", call, complete.fs.calls, err, strings.Join(s.trace, "\n"))
				}
			}
		})
	}
}

func crashAt(call int) func(int, string) error {
	return func(n int, _ string) error {
		if n == call {
			return errCrash
		}
		return nil
	}
}

// TestErrorThenCrash lets one call, or some in a row, fail, and the machine crash at each later call.
func TestErrorThenCrash(t *testing.T) {
	for name, steps := range histories {
		for _, in := range []error{errNoSpace, errors.New("input/output error")} {
			for _, row := range []int{1, 2, 5} {
				t.Run(fmt.Sprintf("%s/%v/%d", name, in, row), func(t *testing.T) {
					t.Parallel()
					errorThenCrash(t, steps, in, row)
				})
			}
		}
	}
}

func errorThenCrash(t *testing.T, steps []step, in error, row int) {
	r := rand.New(rand.NewPCG(3, 4))
	failFrom := func(from, crash int) func(int, string) error {
		return func(n int, _ string) error {
			switch {
			case n == crash:
				return errCrash
			case n >= from && n < from+row:
				return in
			}
			return nil
		}
	}
	for from := 1; ; from++ {
		complete, err := runHistory(steps, failFrom(from, 0))
		first, stride := from+row, 1
		if !tryAllCases() {
			first, stride = from+row+from%13, 13
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

// TestRandomHistories draws calls, errors, kills and losses of power.
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

// drawEvent draws one of: a disk without space for some calls, a kill with a restart, a crash at a later call, and a change.
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
		{"append", rapid.Uint64Range(1, 6).Draw(t, "count"), r.Uint64N(1000)},
		{"truncate", last - min(last, rapid.Uint64Range(0, 8).Draw(t, "back")), 0},
		{"compact", last - min(last, rapid.Uint64Range(0, 8).Draw(t, "behind")), r.Uint64N(1000)},
		{"install", last + rapid.Uint64Range(0, 9).Draw(t, "ahead"), r.Uint64N(1000)},
		{"meta", rapid.Uint64Range(1, 2).Draw(t, "name"), r.Uint64N(1000)},
	}).Draw(t, "step")
}

// restartAfterCrash checks what a crash may leave, and goes on with one of the cases.
func (s *checkedLog) restartAfterCrash(r *rand.Rand) error {
	if err := s.checkCrash(10, 1, r); err != nil {
		return err
	}
	var left *simFS
	s.fs.powerLosses(3, r, func(lost *simFS) { left = lost })
	return s.restart(left)
}
