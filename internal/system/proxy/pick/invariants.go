package pick

import (
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/invariant"
)

// What must hold of every request that a Picker sends. The checks rest on as little as possible of what the choice rests on.
var (
	coldPaceKept = invariant.New("pick_cold_pace_kept",
		"in any second a proxy sends a cold server no more than its part of the pace and one request")
	coldEndKept = invariant.New("pick_cold_end_kept",
		"a server that was taken for cold gets no request as a warm one before that cold state is over by later readings of the list")
	sendsAllowed = invariant.New("pick_sends_allowed",
		"no request goes to a server that drains, lies in an evacuated zone or outside the route's home regions")
)

// coldWindow is what a proxy has sent to a cold server within the last second. It is empty for a server that is warm.
type coldWindow struct {
	sent []coldSend
}

// coldSend is one such request, and the proxy's part of the pace as it was then, in requests a second.
type coldSend struct {
	at   Time
	part float64
}

// add takes note of a request and tells whether the pace was kept.
func (w *coldWindow) add(now Time, part float64) bool {
	w.sent = slices.DeleteFunc(w.sent, func(s coldSend) bool { return s.at <= now-time.Second })
	w.sent = append(w.sent, coldSend{now, part})
	for _, s := range w.sent {
		part = max(part, s.part)
	}
	return float64(len(w.sent)) <= part+1
}

// checkSend checks that r may go to s.
func (p *Picker) checkSend(r *Request, s *server) {
	home := len(r.Route.HomeRegions) == 0 || slices.Contains(r.Route.HomeRegions, s.Region)
	sendsAllowed.Check(!s.Draining && !p.world.Evacuated[s.Zone] && home)
}

// checkColdEnd checks, by what the list tells now, that s was warm when a request first went to it as to a warm server.
func (p *Picker) checkColdEnd(now Time, s *server) {
	if s.warmedAt == 0 || s.WarmUpMin <= 0 {
		return
	}
	// The cold state that is told began at this moment at the latest. One that began after this proxy had heard of the former one is
	// another one, of which no reading may have told in time.
	began := now + s.WarmUpMax - p.coldFor(s.Service)
	coldEndKept.Check(began > s.warmedSince)
	s.warmedAt = 0
}
