package platform

import (
	"testing"
	"time"
)

// TestWarmUpsCountFromTheLastPage: warm-up times of a paged list are relative to the arrival of each page. Without a
// correction, servers of the first page would count as warming up for as long as the other pages take to arrive.
func TestWarmUpsCountFromTheLastPage(t *testing.T) {
	start := time.Now()
	list := []Instance{{ID: "a", WarmUpLeft: 3 * time.Second}, {ID: "b", WarmUpLeft: 100 * time.Millisecond}, {ID: "c", WarmUpLeft: 2 * time.Second}}
	pages := []pageArrival{{start, 2}, {start.Add(300 * time.Millisecond), 3}}
	ageWarmUps(list, pages)
	for i, want := range []time.Duration{2700 * time.Millisecond, 0, 2000 * time.Millisecond} {
		if list[i].WarmUpLeft != want {
			t.Errorf("%s is still warming up for %v, want %v", list[i].ID, list[i].WarmUpLeft, want)
		}
	}
}
