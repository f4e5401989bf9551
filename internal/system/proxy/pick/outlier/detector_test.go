package outlier

import (
	"testing"
	"time"
)

// TestEjectionTimes has a server fail again each time that its ejection is over: the time doubles up to its bound.
func TestEjectionTimes(t *testing.T) {
	var d Detector
	now := time.Minute
	for i, want := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second} {
		d.RecordFailure(now)
		if got := d.EjectedUntil() - now; got != want {
			t.Errorf("failure %d: ejected for %v, want %v", i+1, got, want)
		}
		d.RecordFailure(now) // an attempt that was under way changes nothing
		if !d.Ejected(now + want - 1) {
			t.Errorf("failure %d: not ejected to the end", i+1)
		}
		now += want
		if d.Ejected(now) {
			t.Errorf("failure %d: ejected for longer", i+1)
		}
	}
	d.RecordSuccess()
	if d.Suspected() {
		t.Error("suspected after an answer")
	}
}

// TestOneProbeAtATime lets a half-open server get one request until it answers.
func TestOneProbeAtATime(t *testing.T) {
	var d Detector
	d.StartAttempt(1)
	if d.Probing() {
		t.Error("an attempt at a server that has not failed is no probe")
	}
	d.RecordFailure(0)
	now := d.EjectedUntil()
	d.StartAttempt(2)
	d.StartAttempt(3)
	if !d.Ejected(now) {
		t.Error("a second probe may start")
	}
	if d.EndAttempt(3) || !d.EndAttempt(2) {
		t.Error("the first attempt after the ejection is the probe, and no other")
	}
	if d.Ejected(now) {
		t.Error("ejected though no probe is under way")
	}
}

func TestMayProbe(t *testing.T) {
	var d Detector
	d.RecordFailure(0)
	for _, c := range []struct {
		name     string
		after    time.Duration // the ejection's end
		canRetry bool
		want     bool
	}{
		{"can be retried", 0, true, true},
		{"cannot be retried", 0, false, false},
		{"nobody has probed for long", maxProbeDelay, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := d.MayProbe(d.EjectedUntil()+c.after, c.canRetry); got != c.want {
				t.Errorf("may probe: %v, want %v", got, c.want)
			}
		})
	}
}

// TestThresholds counts failures that eject only in a row.
func TestThresholds(t *testing.T) {
	for _, c := range []struct {
		name   string
		record func(*Detector)
		want   int // from which one on the server is ejected
	}{
		{"broken answers", func(d *Detector) { d.RecordBroken(0, false) }, 2},
		{"broken answer of a probe", func(d *Detector) { d.RecordBroken(0, true) }, 1},
		{"server errors", func(d *Detector) { d.RecordServerError(0) }, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			var d Detector
			for i := 1; i <= c.want; i++ {
				c.record(&d)
				if got := d.Ejected(0); got != (i == c.want) {
					t.Errorf("ejected after %d: %v", i, got)
				}
			}
		})
	}
}
