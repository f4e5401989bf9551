package softstate

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

func TestServerTimesCountDown(t *testing.T) {
	in := pick.Server{ID: "a", Service: "s", Address: "h:1", Zone: "z", Region: "r", Slots: 4, Draining: true,
		Remaining: 2 * time.Second, WarmUpMax: 3 * time.Second}
	decoded, ok := decodeServer("a", EncodeServer(in))
	if !ok || decoded != in {
		t.Errorf("decoded server %+v", decoded)
	}
	// Durations that forbid end late, and durations that permit end early, as far as the age is known. WarmUpMin is without the margin
	// that was added to the end, and without the rounding.
	got := CountDown(decoded, Age{Min: 300 * time.Millisecond, Max: 500 * time.Millisecond})
	in.Remaining, in.WarmUpMax, in.WarmUpMin = 1500*time.Millisecond, 2700*time.Millisecond, 2478*time.Millisecond
	if got != in {
		t.Errorf("got server %+v", got)
	}
	if got = CountDown(decoded, Age{Min: time.Minute, Max: time.Minute}); got.WarmUpMax != 0 || got.WarmUpMin != 0 || got.Remaining != time.Millisecond {
		t.Errorf("after all times have ended: %+v", got)
	}
}
