package distribution

import (
	"testing"
	"time"
)

// TestStateAgeIsThatOfTheProof: contact to a current node that has newer state than the proxy does not reset the state's age.
func TestStateAgeIsThatOfTheProof(t *testing.T) {
	start := time.Now()
	after := start.Add
	var tracker freshnessTracker
	expect := func(now time.Time, want time.Duration) {
		t.Helper()
		if age := tracker.stateAge(now); age != want {
			t.Errorf("state age %v, want %v", age, want)
		}
	}
	expect(start, unknownAge)
	tracker.observeCurrent(start)
	expect(start, unknownAge)
	tracker.observeFresh(start)
	expect(after(time.Second), time.Second)
	tracker.observeCurrent(after(2 * time.Second))
	expect(after(3*time.Second), 3*time.Second)
	tracker.observeFresh(after(-time.Second)) // proves freshness only for an earlier time
	expect(after(3*time.Second), 3*time.Second)
	expect(after(2*unknownAge), unknownAge)
}
