package defaults

import (
	"testing"
	"time"
)

func TestIfNotPositive(t *testing.T) {
	for value, want := range map[time.Duration]time.Duration{1: 1, time.Hour: time.Hour, 0: time.Second, -1: time.Second} {
		if got := IfNotPositive(value, time.Second); got != want {
			t.Errorf("%v for %v, want %v", got, value, want)
		}
	}
}
