package platform

import (
	"testing"
	"time"
)

// TestWarmUpsCountFromTheLastPage: of a list in several pages each server is as of when its page arrived. Danger: those
// of the first count as warming up for as long as the other pages take.
func TestWarmUpsCountFromTheLastPage(t *testing.T) {
	start := time.Now()
	list := []Instance{{ID: "a", WarmUpLeft: 3 * time.Second}, {ID: "b", WarmUpLeft: 100 * time.Millisecond}, {ID: "c", WarmUpLeft: 2 * time.Second}}
	pages := []pageArrival{{start, 2}, {start.Add(300 * time.Millisecond), 3}}
	ageWarmUps(list, pages)
	for i, want := range []time.Duration{2700 * time.Millisecond, 0, 2000 * time.Millisecond} {
		if list[i].WarmUpLeft != want {
			t.Errorf("%s is cold for %v more, want %v", list[i].ID, list[i].WarmUpLeft, want)
		}
	}
}
