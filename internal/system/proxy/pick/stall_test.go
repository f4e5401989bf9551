package pick

import (
	"testing"
	"time"
)

// stalledPicker is one of twelve proxies that knows a warm server and has just stood still.
func stalledPicker(at Time) (*Picker, *warmUpFleet) {
	f := newWarmUpFleet(12)
	p := f.pickers[0]
	p.UpdateClusterState(0, f.state(0, 1, 0))
	p.Stalled(at)
	return p, f
}

// TestStalledAwaitsLaterContact: what a keeper told before the end of the stall says nothing of servers that turned cold in it.
func TestStalledAwaitsLaterContact(t *testing.T) {
	const woke = 10 * time.Second
	p, f := stalledPicker(woke)
	for _, word := range []struct{ came, age, delay time.Duration }{
		{100 * time.Millisecond, 5 * time.Second, 0},
		{100 * time.Millisecond, 101 * time.Millisecond, 0},
		{100 * time.Millisecond, 10 * time.Millisecond, 91 * time.Millisecond},
	} {
		w := f.state(0, 2, 0)
		w.ContactAge, w.Age = word.age, word.delay
		p.UpdateClusterState(woke+word.came, w)
		for id, s := range p.servers {
			if !p.AwaitsControlPlane() || !s.warmingUp(woke+warmUpDuration-1) || s.warmingUp(woke+warmUpDuration) {
				t.Errorf("%+v: %s is cold until %v, want %v", word, id, s.warmUp.until, woke+warmUpDuration)
			}
		}
	}
	w := f.state(0, 2, 0)
	w.ContactAge = 100 * time.Millisecond
	p.UpdateClusterState(woke+100*time.Millisecond, w)
	if p.AwaitsControlPlane() || p.servers["s0"].warmingUp(woke+100*time.Millisecond) {
		t.Error("a word from after the stall says that the server is warm")
	}
}

// TestStalledLearnsOfWarmUp: the word tells that the server turned cold during the stall.
func TestStalledLearnsOfWarmUp(t *testing.T) {
	const woke = 10 * time.Second
	p, f := stalledPicker(woke)
	p.UpdateClusterState(woke+100*time.Millisecond, f.state(0, 1, 2*time.Second))
	if s := p.servers["s0"]; s.warmUp.until != woke+2100*time.Millisecond {
		t.Errorf("cold until %v", s.warmUp.until)
	}
}

// TestStalledSenderStops: in a large fleet others have taken the place of a holder that stood still.
func TestStalledSenderStops(t *testing.T) {
	const woke = 10 * time.Second
	f := newWarmUpFleet(60)
	for i, p := range f.pickers {
		p.UpdateClusterState(0, f.state(i, 1, time.Minute))
		if !p.servers["s0"].warmUp.isSender {
			continue
		}
		p.Stalled(woke)
		if _, may := p.warmUps.sendsFrom(woke, p.servers["s0"]); may {
			t.Error("it holds on as it wakes")
		}
		p.UpdateClusterState(woke+time.Second, f.state(i, 1, time.Minute))
		if from, may := p.warmUps.sendsFrom(woke+time.Second, p.servers["s0"]); !may || from != woke+time.Second+successorDelay {
			t.Errorf("it holds again %v, from %v", may, from)
		}
	}
}

// TestDelayedClusterStateCountsDown: durations are counted from when they were told.
func TestDelayedClusterStateCountsDown(t *testing.T) {
	p, f := New(Settings{WarmUpExcess: 1.5, WarmUpSlack: 5}), newWarmUpFleet(1)
	w := f.state(0, 1, 2*time.Second)
	w.Age = 500 * time.Millisecond
	p.UpdateClusterState(time.Second, w)
	if s := p.servers["s0"]; s.warmUp.until != 2500*time.Millisecond {
		t.Errorf("cold until %v, want 2.5 s", s.warmUp.until)
	}
}
