package pick

import (
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/invariant"
)

// What must hold of every request that a Picker sends. The checks rest on as little as possible of what the choice rests on.
var (
	warmUpRateInvariant = invariant.New("pick_cold_pace_kept",
		"in any second a proxy sends a cold server no more than its part of the pace and one request")
	warmUpEndInvariant = invariant.New("pick_cold_end_kept",
		"a server that was taken for cold gets no request as a warm one before that cold state is over by later readings of the list")
	eligibilityInvariant = invariant.New("pick_sends_allowed",
		"no request goes to a server that drains, lies in an evacuated zone or outside the route's home regions")
)

// sendWindow is what a proxy has sent to a cold server within the last second. It is empty for a server that is warm.
type sendWindow struct {
	sent []warmUpSend
}

// warmUpSend is one such request, and the proxy's part of the pace as it was then, in requests a second.
type warmUpSend struct {
	at   Time
	part float64
}

// add takes note of a request and tells whether the pace was kept.
func (w *sendWindow) add(now Time, part float64) bool {
	w.sent = slices.DeleteFunc(w.sent, func(s warmUpSend) bool { return s.at <= now-time.Second })
	w.sent = append(w.sent, warmUpSend{now, part})
	for _, s := range w.sent {
		part = max(part, s.part)
	}
	return float64(len(w.sent)) <= part+1
}

// checkEligibility checks that r may go to s.
func (p *Picker) checkEligibility(r *Request, s *server) {
	eligibilityInvariant.Check(!s.Draining && !p.state.Evacuated[s.Zone] && r.allowsRegion(s.Region))
}
