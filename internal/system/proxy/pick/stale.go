package pick

import "time"

// A Stale proxy hears of no evacuation, and of no server that turns cold. In a small fleet it therefore sends any server that can be
// cold no more than its equal part of what a cold one may receive, so that even all proxies together keep that bound. In a
// large fleet such a part would be less than a request at a time: there a proxy goes on, as it brings little by itself. An order that
// came while keepers were not heard may still be on its way when they are: so the part holds for a while longer.

const (
	staleAfter   = 2 * time.Second // a proxy that hears a keeper again keeps to its part so long
	stalePaceUse = 0.8             // of its part: what is chosen in a second goes out in a little less, at times
)

// stalePace is the requests a second that this proxy may send to a warm server of that cold rate while it is Stale, or was lately; 0:
// any number. One request may be saved up.
func (p *Picker) stalePace(now Time, rate float64) float64 {
	lately := p.staleEnded > 0 && now-p.staleEnded < staleAfter
	if !p.world.Stale && !lately || rate <= 0 || !p.allHold(rate) {
		return 0
	}
	return stalePaceUse * max(0, p.coldBound(rate)/float64(p.peers.count())-1)
}

// stalePaced tells whether a warm server may not be sent a request now, as this proxy has sent its part.
func (p *Picker) stalePaced(now Time, s *server) bool {
	return p.stalePace(now, s.coldRate()) > 0 && now < s.staleNext
}

// spendStale takes note of a request that is sent to s.
func (p *Picker) spendStale(now Time, s *server) {
	if pace := p.stalePace(now, s.coldRate()); pace > 0 {
		s.staleNext = now + Time(float64(time.Second)/pace)
	}
}

// mayKnock tells whether a doubted server may get one more trial. Danger: requests that await connections to servers that are cut off
// all go out at the moment when the cut ends, and a Stale proxy does not know whether the servers are cold by then.
func (p *Picker) mayKnock(now Time, s *server) bool {
	if p.world.Stale && s.coldRate() > 0 {
		return s.own.Requests == 0 && !p.stalePaced(now, s)
	}
	return s.own.Requests < s.slots()
}
