package hitters

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSummaryBound adds random work to several summaries, merges them in random order, and compares the result with exact counts.
func TestSummaryBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		exact := map[uint64]uint64{}
		parts := make([]Summary, rapid.IntRange(1, 5).Draw(t, "parts"))
		names := rapid.Uint64Range(1, rapid.SampledFrom([]uint64{3, 60, 65, 66, 200, 1 << 60}).Draw(t, "names"))
		for range rapid.IntRange(0, 600).Draw(t, "requests") {
			key, work := names.Draw(t, "key"), rapid.Uint64Range(0, 1000).Draw(t, "work")
			exact[key] += work
			parts[rapid.IntRange(0, len(parts)-1).Draw(t, "part")].Add(key, work)
		}
		var all Summary
		for _, i := range rapid.Permutation([]int{0, 1, 2, 3, 4}).Draw(t, "order") {
			if i < len(parts) {
				all.Merge(&parts[i])
			}
		}
		var total, held uint64
		for key, work := range exact {
			total += work
			held += all.Estimate(key)
			if of := all.Estimate(key); of > work || work > of+all.Err() {
				t.Fatalf("key %d has work %d, counted as %d with an error of %d", key, work, of, all.Err())
			}
		}
		if all.Total() != total || all.Err()*(maxCounters+1) > total-held || len(all.keys) > maxCounters {
			t.Fatalf("total work %d, %d of it in %d counters; Total %d, Err %d", total, held, len(all.keys), all.Total(), all.Err())
		}
	})
}

// TestManyClientKeys sends requests of a million clients, some with long names, and of one client without a name that has a tenth of
// the work. That client must be named in the report, and memory must stay bounded.
func TestManyClientKeys(t *testing.T) {
	detector, err := New(&testSettings)
	if err != nil {
		t.Fatal(err)
	}
	long := make([]byte, 1<<14)
	heavy := Key(0, "")
	allocs := testing.AllocsPerRun(1, func() {
		for i := range 1_000_000 {
			if detector.Observe(uint64(i)*0x9e3779b97f4a7c15, 9*time.Millisecond, true); i%10 == 0 {
				detector.Observe(heavy, 10*time.Millisecond, true)
			}
			if i%1000 == 0 {
				long[i%len(long)]++
				detector.Observe(Key(0, string(long)), 9*time.Millisecond, true)
			}
		}
	})
	own, _ := detector.EndWindow(testSettings.Window)
	if r := own.Report; r.Named == 0 || r.Keys[0] != heavy || r.Shares[0]+r.Err < fullShare/11 || r.Err > fullShare/50 {
		t.Errorf("a client with a tenth of the work is reported as %+v", r)
	}
	if allocs > 3000 { // the long names
		t.Errorf("%v allocations, want at most 3000", allocs)
	}
}

// FuzzParseReport checks for arbitrary input that an accepted report is within the bounds, and that encoding and parsing it again
// gives the same report.
func FuzzParseReport(f *testing.F) {
	good := Report{Total: 1 << 40, Requests: 77, Served: fullShare, Err: 9, Named: 2, Keys: [maxNamed]uint64{5, 6}, Shares: [maxNamed]uint16{900, 900}}
	f.Add(good.Append(nil))
	f.Add((&Report{}).Append(nil))
	f.Add(append(good.Append(nil), "of a later layout"...))
	f.Add([]byte{layoutVersion, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, from []byte) {
		r, err := ParseReport(from)
		if err != nil {
			if r != (Report{}) {
				t.Fatalf("ParseReport returned %+v with an error", r)
			}
			return
		}
		sum := 0
		for i := range r.Named {
			sum += int(r.Shares[i])
		}
		again, err := ParseReport(r.Append(nil))
		if err != nil || again != r || sum > fullShare || r.Total > maxTotal || len(from) > MaxReportBytes {
			t.Fatalf("%+v is %+v after encoding and parsing it again, error %v", r, again, err)
		}
	})
}
