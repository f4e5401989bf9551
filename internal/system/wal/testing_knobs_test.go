package wal_test

import (
	"math/rand/v2"
	"testing"

	"gradeusher.example/gradeusher/internal/system/wal"
)

// ignoredSyncs selects the syncs of a simulated disk that have no effect.
type ignoredSyncs struct{ files, folder, parentFolder bool }

// findFault runs the histories with protections disabled or with syncs that have no effect. It crashes at each call, with and
// without a failing call before the crash, and returns the first fault that it finds.
func findFault(knobs wal.TestingKnobs, ignored ignoredSyncs) error {
	r := rand.New(rand.NewPCG(8, 9))
	for _, name := range []string{"grow", "truncate", "compact", "install", "mixed"} {
		for _, gap := range []int{0, 1, 7} { // distance from the failing call to the crash; 0 if no call fails
			if err := crashEverywhere(histories[name], knobs, ignored, gap, r); err != nil {
				return err
			}
		}
	}
	return nil
}

// crashEverywhere runs a history with a crash at each call, gap calls after a failing one.
func crashEverywhere(steps []step, knobs wal.TestingKnobs, ignored ignoredSyncs, gap int, r *rand.Rand) error {
	for crash := 1 + gap; ; crash++ {
		run, err := runWith(steps, knobs, ignored, func(call int, _ string) error {
			switch call {
			case crash:
				return errCrash
			case crash - gap:
				return errNoSpace
			}
			return nil
		})
		if err != nil {
			return err
		}
		reached := run.fs.crashed
		if err := run.checkCrash(16, 0, r); err != nil {
			return err
		}
		if !reached {
			return nil
		}
	}
}

// TestTestingKnobs disables one protection at a time and requires that the crash tests find a fault. It guards against crash tests
// that pass because they check nothing.
func TestTestingKnobs(t *testing.T) {
	if err := findFault(wal.TestingKnobs{}, ignoredSyncs{}); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		knobs   wal.TestingKnobs
		ignored ignoredSyncs
	}{
		"no sync of files":                         {ignored: ignoredSyncs{files: true}},
		"no sync of the folder":                    {ignored: ignoredSyncs{folder: true}},
		"no sync of the folder above":              {ignored: ignoredSyncs{parentFolder: true}},
		"no checksum of records":                   {knobs: wal.TestingKnobs{SkipRecordChecksums: true}},
		"on in the same file after a failed sync":  {knobs: wal.TestingKnobs{ReuseSegmentAfterFailedSync: true}},
		"the newest segment is believed in a load": {knobs: wal.TestingKnobs{TrustNewestSegment: true}},
	} {
		t.Run(name, func(t *testing.T) {
			err := findFault(c.knobs, c.ignored)
			if err == nil {
				t.Error("the crash tests found no fault although a protection is disabled")
			}
			t.Log(err)
		})
	}
}
