package rules

import "slices"

// checkRoute checks ROUTE: a service executes only requests that a configuration routes to it which was sent before.
func (x *index) checkRoute(verdict *Verdict) {
	for _, arrival := range x.Arrivals {
		if !arrival.executed() {
			continue
		}
		verdict.Checked++
		attempt, sends := x.attempts[arrival.ID], false
		if attempt == nil {
			continue // UNASKED reports it.
		}
		for _, c := range x.Changes {
			if c.Config == nil || c.Sent > arrival.ExecutedAt {
				continue
			}
			if c.Config.sends(attempt, arrival.Service) {
				sends = true
				break
			}
		}
		if !sends {
			verdict.violation("%s %s ran at %s", attempt.Host, attempt.Path, arrival.Service)
		}
	}
}

// checkDrain checks DRAIN: proxies in contact send nothing to a server later than Bounds.Drain after the list showed it as draining.
func (x *index) checkDrain(verdict *Verdict) {
	shown := map[string]Time{}
	for _, l := range x.Listings {
		shown[l.Server] = l.Shown
	}
	for _, a := range x.Arrivals {
		at, drains := shown[a.Server]
		if !drains || !a.reached() || a.At < at {
			continue
		}
		verdict.Checked++
		if sent := a.sentAt(); sent > at+x.Bounds.Drain && x.inContact(x.sender(a), sent) {
			verdict.violation("%s reached %s %v after it was shown as draining", a.ID, a.Server, sent-at)
		}
	}
}

// checkHome checks HOME: a request whose route has home regions reaches servers there only. It is a violation only if all configurations that may
// be in force say so.
func (x *index) checkHome(verdict *Verdict) {
	for _, arrival := range x.Arrivals {
		attempt := x.attempts[arrival.ID]
		if attempt == nil || !arrival.reached() {
			continue
		}
		some := x.inForce(attempt.Sent, arrival.At)
		abroad := len(some) > 0
		for _, c := range some {
			r := c.routeOf(attempt)
			abroad = abroad && r != nil && len(r.Homes) > 0 && !slices.Contains(r.Homes, arrival.Region)
		}
		verdict.Checked++
		if abroad {
			verdict.violation("%s reached %s in %s", arrival.ID, arrival.Server, arrival.Region)
		}
	}
}

// checkEvacuation checks EVAC: proxies in contact send nothing to a zone later than Bounds.Evacuate after its evacuation was acknowledged, until the
// end of the evacuation is sent.
func (x *index) checkEvacuation(verdict *Verdict) {
	for i, change := range x.Changes {
		if change.Config != nil || !change.Start || !change.acknowledged() {
			continue
		}
		until := Time(1<<63 - 1)
		for _, later := range x.Changes[i+1:] {
			if later.Config == nil && later.Zone == change.Zone && !later.Start {
				until = later.Sent
				break
			}
		}
		for _, arrival := range x.Arrivals {
			sent := arrival.sentAt()
			from := change.AcknowledgedAt + x.Bounds.Evacuate + x.stretch(change.AcknowledgedAt, sent)
			if arrival.Zone != change.Zone || arrival.At <= change.AcknowledgedAt || arrival.At >= until || !arrival.reached() {
				continue
			}
			verdict.Checked++
			if sent > from && x.inContact(x.sender(arrival), sent) {
				verdict.violation("%s reached %s in %s %v after its evacuation", arrival.ID, arrival.Server, arrival.Zone, sent-change.AcknowledgedAt)
			}
		}
	}
}
