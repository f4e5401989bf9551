package invariant

import (
	"slices"
	"testing"
)

// TestCheckCountsAndNotifies: violations are counted, and reported at counts that are powers of two.
func TestCheckCountsAndNotifies(t *testing.T) {
	subject := New("invariant_test_subject", "one is one")
	var notified []uint64
	Notify(func(v Violation) {
		if v.Name != subject.Name() || v.Statement != "one is one" {
			t.Errorf("notified of an unexpected violation: %+v", v)
		}
		notified = append(notified, v.Count)
	})
	t.Cleanup(func() { receiver.Store(nil) })
	if !subject.Check(true) || subject.Violations() != 0 || Violations()[subject.Name()] != 0 {
		t.Fatalf("a check that passed was counted as a violation: %v", Violations())
	}
	for range 9 {
		if subject.Check(false) {
			t.Fatal("a check that failed returned true")
		}
	}
	if got := Violations()[subject.Name()]; got != 9 {
		t.Errorf("%d violations, want 9", got)
	}
	want := []uint64{1, 2, 4, 8}
	if !slices.Equal(notified, want) {
		t.Fatalf("notified at %v, want %v", notified, want)
	}
}
