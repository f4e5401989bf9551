package pick

import (
	"testing"
	"time"
)

// TestZoneTakenBackColdUnseen: the servers of an evacuated zone turn cold 200 ms before it is taken back, and the list shows
// it 950 ms after that. Danger: until then they look warm.
func TestZoneTakenBackColdUnseen(t *testing.T) {
	const back, cold, told = 10 * time.Second, 9800 * time.Millisecond, 10950 * time.Millisecond
	f := newColdFleet(12)
	for i, p := range f.pickers {
		w := f.world(i, 5, 0)
		w.Evacuated = map[string]bool{"z": true}
		p.SetWorld(0, w)
	}
	f.press(back, cold+coldFor, 40*time.Millisecond, func(now Time) {
		for i, p := range f.pickers {
			switch {
			case now == back:
				w := f.world(i, 5, 0)
				w.ListAge = 300 * time.Millisecond
				p.SetWorld(now, w)
			case now >= told && now < told+40*time.Millisecond:
				w := f.world(i, 5, cold+coldFor-now)
				w.ListAge = 100 * time.Millisecond
				p.SetWorld(now, w)
			}
		}
	})
	f.check(t)
	if len(f.sent) == 0 {
		t.Error("a server that may be cold got nothing")
	}
}

// TestZoneTakenBackWarm: servers of a zone that is taken back get all again as soon as a reading of the list shows them warm
// that was made late enough to know, and not before; without one, once they must be warm.
func TestZoneTakenBackWarm(t *testing.T) {
	const back = 10 * time.Second
	p, f := New(Settings{ColdExcess: 1.5, ColdSlack: 5, ListLag: 800 * time.Millisecond}), newColdFleet(1)
	w := f.world(0, 1, 0)
	w.Evacuated = map[string]bool{"z": true}
	p.SetWorld(0, w)
	w.Evacuated = nil
	p.SetWorld(back, w)
	if s := p.servers["s0"]; !s.cold(back) || !p.AwaitsList() {
		t.Fatal("taken for warm before the list can tell")
	}
	w.ListAge = 300 * time.Millisecond
	p.SetWorld(back+time.Second, w) // read 700 ms after the zone was taken back, of 800
	if s := p.servers["s0"]; !s.cold(back + time.Second) {
		t.Error("taken for warm by a reading that may be too old")
	}
	p.SetWorld(back+1100*time.Millisecond, w)
	if s := p.servers["s0"]; s.cold(back+1100*time.Millisecond) || p.AwaitsList() {
		t.Error("taken for cold though the list knows better")
	}

	w.Evacuated = map[string]bool{"z": true}
	p.SetWorld(2*back, w)
	w.Evacuated, w.ListAge = nil, time.Minute
	p.SetWorld(3*back, w)
	if s := p.servers["s0"]; !s.cold(3*back+coldFor-1) || s.cold(3*back+coldFor) {
		t.Errorf("without a list cold for %v, of %v", s.coldUntil-3*back, coldFor)
	}
}
