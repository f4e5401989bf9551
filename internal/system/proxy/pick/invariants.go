package pick

import (
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/invariant"
)

// Invariants of every request that a Picker sends. The checks share as little as possible with the
// code that chooses the server. The names and descriptions are the ones on the operators' pages.
var (
	warmUpRateInvariant = invariant.New("pick_cold_pace_kept",
		"in any second a proxy sends a cold server no more than its part of the pace and one request")
	warmUpEndInvariant = invariant.New("pick_cold_end_kept",
		"a server that was taken for cold gets no request as a warm one before that cold state is over by later readings of the list")
	eligibilityInvariant = invariant.New("pick_sends_allowed",
		"no request goes to a server that drains, lies in an evacuated zone or outside the home regions of route and tenant")
)

// sendWindow holds the requests that this proxy has sent to a warming server within the last second. It is empty for a warm server.
type sendWindow struct {
	sent []warmUpSend
}

// warmUpSend is one of these requests, with this proxy's share of the warm-up rate at that time.
type warmUpSend struct {
	at        Time
	perSecond float64 // requests per second
}

// add records a request and reports whether the rate was kept: in any second, at most this proxy's share of the rate plus one request.
func (w *sendWindow) add(now Time, perSecond float64) bool {
	w.sent = slices.DeleteFunc(w.sent, func(s warmUpSend) bool { return s.at <= now-time.Second })
	w.sent = append(w.sent, warmUpSend{now, perSecond})
	for _, s := range w.sent {
		perSecond = max(perSecond, s.perSecond)
	}
	return float64(len(w.sent)) <= perSecond+1
}

// checkEligibility checks that r may go to s.
func (p *Picker) checkEligibility(r *Request, s *server) {
	eligibilityInvariant.Check(!s.Draining && !p.state.Evacuated[s.Zone] && r.allowsRegion(s.Region))
}
