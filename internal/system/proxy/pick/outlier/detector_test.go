package outlier

import (
	"testing"
	"time"
)

// TestEjectionTimes has a server fail again each time its ejection ends: the ejection time doubles up to its maximum.
func TestEjectionTimes(t *testing.T) {
	var detector Detector
	now := time.Minute
	for i, want := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second} {
		detector.RecordFailure(now)
		if got := detector.EjectedUntil() - now; got != want {
			t.Errorf("failure %d: ejected for %v, want %v", i+1, got, want)
		}
		detector.RecordFailure(now) // a failure of an attempt that was already in flight has no effect
		if !detector.Ejected(now + want - 1) {
			t.Errorf("failure %d: the ejection ended early", i+1)
		}
		now += want
		if detector.Ejected(now) {
			t.Errorf("failure %d: still ejected after the ejection time", i+1)
		}
	}
	detector.RecordSuccess()
	if detector.Suspected() {
		t.Error("suspected after a response")
	}
}

// TestOneProbeAtATime checks that a half-open server gets one request at a time until it responds.
func TestOneProbeAtATime(t *testing.T) {
	var detector Detector
	detector.StartAttempt(1)
	if detector.Probing() {
		t.Error("an attempt at a server that has not failed counts as a probe")
	}
	detector.RecordFailure(0)
	now := detector.EjectedUntil()
	detector.StartAttempt(2)
	detector.StartAttempt(3)
	if !detector.Ejected(now) {
		t.Error("not ejected while a probe is in flight")
	}
	if detector.EndAttempt(3) || !detector.EndAttempt(2) {
		t.Error("want the first attempt after the ejection, and no other, to be the probe")
	}
	if detector.Ejected(now) {
		t.Error("still ejected although no probe is in flight")
	}
}

func TestMayProbe(t *testing.T) {
	var detector Detector
	detector.RecordFailure(0)
	for _, test := range []struct {
		name     string
		after    time.Duration // the ejection's end
		canRetry bool
		want     bool
	}{
		{"can be retried", 0, true, true},
		{"cannot be retried", 0, false, false},
		{"nobody has probed for long", maxProbeDelay, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := detector.MayProbe(detector.EjectedUntil()+test.after, test.canRetry); got != test.want {
				t.Errorf("may probe: %v, want %v", got, test.want)
			}
		})
	}
}

// TestThresholds checks how many consecutive failures of a kind eject a server.
func TestThresholds(t *testing.T) {
	for _, test := range []struct {
		name   string
		record func(*Detector)
		want   int // number of failures that ejects the server
	}{
		{"broken answers", func(detector *Detector) { detector.RecordBroken(0, false) }, 2},
		{"broken answer of a probe", func(detector *Detector) { detector.RecordBroken(0, true) }, 1},
		{"server errors", func(detector *Detector) { detector.RecordServerError(0) }, 5},
	} {
		t.Run(test.name, func(t *testing.T) {
			var detector Detector
			for i := 1; i <= test.want; i++ {
				test.record(&detector)
				if got := detector.Ejected(0); got != (i == test.want) {
					t.Errorf("ejected after %d failures: %v", i, got)
				}
			}
		})
	}
}
