package pick

import "time"

// A Stale proxy hears of no evacuation, and of no server that turns cold. In a small fleet it therefore sends any server that can be
// cold no more than its equal part of what a cold one may receive, so that even all proxies together keep that bound. In a
// large fleet such a part would be less than a request at a time: there a proxy goes on, as it brings little by itself.

// stalePace is the requests a second that this proxy may send to a warm server of that cold rate while it is Stale; 0: any number.
// One request may be saved up.
func (p *Picker) stalePace(rate float64) float64 {
	if !p.world.Stale || rate <= 0 || !p.allHold(rate) {
		return 0
	}
	return max(0, p.coldBound(rate)/float64(p.peers.count())-1)
}

// stalePaced tells whether a warm server may not be sent a request now, as this proxy is Stale and has sent its part.
func (p *Picker) stalePaced(now Time, s *server) bool {
	pace := p.stalePace(s.coldRate())
	if pace == 0 {
		return false
	}
	return now < s.staleNext
}

// spendStale takes note of a request that is sent to the warm server s.
func (p *Picker) spendStale(now Time, s *server) {
	if pace := p.stalePace(s.coldRate()); pace > 0 {
		s.staleNext = now + Time(float64(time.Second)/pace)
	}
}
