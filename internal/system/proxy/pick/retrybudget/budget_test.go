package retrybudget

import (
	"testing"
	"time"
)

func TestAllows(t *testing.T) {
	for _, test := range []struct {
		name              string
		requests, retries float64
		ratio, slack      float64
		want              bool
	}{
		{"no requests, no slack", 0, 0, 0.2, 0, false},
		{"slack alone, unused part excluded", 0, 7, 0.2, 10, true},
		{"slack alone, used up", 0, 8, 0.2, 10, false},
		{"ratio alone", 100, 15, 0.2, 0, true},
		{"ratio alone, used up", 100, 16, 0.2, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := New(10 * time.Second)
			b.RecordRequest(time.Hour, test.requests)
			b.RecordRetry(time.Hour, test.retries)
			if got := b.Allows(time.Hour, test.ratio, test.slack); got != test.want {
				t.Errorf("allowed: %v, want %v", got, test.want)
			}
		})
	}
}

// TestWindow checks that a request counts for the window plus at most one bucket.
func TestWindow(t *testing.T) {
	const window = 10 * time.Second
	b := New(window)
	b.RecordRequest(0, 1)
	b.Allows(window, 0, 0)
	if requests, _ := b.Counts(); requests != 1 {
		t.Errorf("%v requests at the end of the window, want 1", requests)
	}
	b.Allows(window+window/buckets, 0, 0)
	if requests, _ := b.Counts(); requests != 0 {
		t.Errorf("%v requests after the window, want 0", requests)
	}
}
