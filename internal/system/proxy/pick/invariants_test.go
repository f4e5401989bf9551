package pick

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/invariant/invarianttest"
)

// TestColdPaceKeptControl: a proxy that saves up more than one request is seen.
func TestColdPaceKeptControl(t *testing.T) {
	f := newColdFleet(12)
	f.pickers = f.pickers[:1]
	p := f.pickers[0]
	p.SetWorld(0, f.world(0, 1, time.Minute))
	f.press(0, 5*time.Second, 10*time.Millisecond, nil)
	invarianttest.Expect(t, coldPaceKept, func() {
		f.press(5*time.Second, 5100*time.Millisecond, 10*time.Millisecond, func(Time) { p.servers["s0"].token = 2 })
	})
}

// TestColdEndKeptControl: a word of the cold state that ends 80 ms early is seen with the next reading, and another cold state
// that begins after the first request is not taken for it.
func TestColdEndKeptControl(t *testing.T) {
	play := func(cold, later time.Duration) {
		f := newColdFleet(1)
		f.pickers[0].SetWorld(0, f.world(0, 1, cold))
		f.press(0, cold+40*time.Millisecond, 10*time.Millisecond, nil)
		w := f.world(0, 1, later)
		w.Servers[0].ColdLeast = later
		f.pickers[0].SetWorld(cold+40*time.Millisecond, w)
	}
	invarianttest.Expect(t, coldEndKept, func() { play(coldFor-80*time.Millisecond, 40*time.Millisecond) })
	before := coldEndKept.Violations()
	play(coldFor, coldFor-20*time.Millisecond)
	if coldEndKept.Violations() != before {
		t.Error("a cold state that began after the first request counts as the one before")
	}
}

// TestSendsAllowedControl: a request to a server in an evacuated zone is seen.
func TestSendsAllowedControl(t *testing.T) {
	f := newColdFleet(1)
	p := f.pickers[0]
	p.SetWorld(0, f.world(0, 1, 0))
	invarianttest.Expect(t, sendsAllowed, func() {
		p.world.Evacuated = map[string]bool{"z": true}
		r := &Request{Route: f.config.Routes[0], Left: time.Second}
		p.Done(0, p.send(0, Choice{}, r, p.servers["s0"], cost{}, &chain{}).Ticket, Served, 0)
	})
}

// TestZoneTakenBackIsNoViolation: a server was cold and got its first request as a warm one; its zone is evacuated, and taken back
// after the server has turned cold anew. The guess that paces it until the list can tell says nothing of that request.
func TestZoneTakenBackIsNoViolation(t *testing.T) {
	const back = 12 * time.Second
	f := newColdFleet(1)
	p := f.pickers[0]
	before := coldEndKept.Violations()
	p.SetWorld(0, f.world(0, 1, coldFor))
	f.press(0, coldFor+100*time.Millisecond, 10*time.Millisecond, nil)
	w := f.world(0, 1, 0)
	w.Evacuated = map[string]bool{"z": true}
	p.SetWorld(5*time.Second, w)
	w.Evacuated = nil
	p.SetWorld(back, w)
	w = f.world(0, 1, 1700*time.Millisecond)
	w.Servers[0].ColdLeast = time.Second
	p.SetWorld(back+500*time.Millisecond, w)
	if coldEndKept.Violations() != before {
		t.Error("counted as a fault")
	}
}
