package rules

import (
	"math"
	"slices"
)

// checkRoute checks ROUTE: a service executes only requests that a configuration routes to it which was sent before.
func (x *index) checkRoute(verdict *Verdict) {
	for _, arrival := range x.Arrivals {
		if !arrival.executed() {
			continue
		}
		verdict.Checked++
		attempt := x.attemptByID[arrival.ID]
		if attempt == nil {
			continue // UNASKED reports it.
		}
		if !x.everRouted(attempt, arrival) {
			verdict.violation("%s %s ran at %s", attempt.Host, attempt.Path, arrival.Service)
		}
	}
}

// everRouted reports whether any configuration that was sent before the execution of an arrival sends its attempt to its service.
func (x *index) everRouted(attempt *Attempt, arrival *Arrival) bool {
	return slices.ContainsFunc(x.Changes, func(c *Change) bool {
		return c.Config != nil && c.Sent <= arrival.ExecutedAt && c.Config.sends(attempt, arrival.Service)
	})
}

// checkDrain checks DRAIN: proxies in contact send nothing to a server later than Bounds.Drain after the list showed it as draining.
func (x *index) checkDrain(verdict *Verdict) {
	shown := map[string]Time{} // by id of the server's incarnation
	for _, listing := range x.Listings {
		shown[listing.Server] = listing.Shown
	}
	for _, arrival := range x.Arrivals {
		at, drains := shown[arrival.Server]
		if !drains || !arrival.reached() || arrival.At < at {
			continue
		}
		verdict.Checked++
		if sent := arrival.sentAt(); sent > at+x.Bounds.Drain && x.inContact(x.sender(arrival), sent) {
			verdict.violation("%s reached %s %v after it was shown as draining", arrival.ID, arrival.Server, sent-at)
		}
	}
}

// checkHome checks HOME: a request whose route has home regions reaches servers there only. It is a violation only if all configurations that may
// be in force say so.
func (x *index) checkHome(verdict *Verdict) {
	for _, arrival := range x.Arrivals {
		attempt := x.attemptByID[arrival.ID]
		if attempt == nil || !arrival.reached() {
			continue
		}
		verdict.Checked++
		configs := x.inForce(attempt.Sent, arrival.At)
		allowed := func(c *Config) bool { return !c.hasHomesElsewhere(attempt, arrival.Region) }
		if len(configs) > 0 && !slices.ContainsFunc(configs, allowed) {
			verdict.violation("%s reached %s in %s", arrival.ID, arrival.Server, arrival.Region)
		}
	}
}

// checkEvacuation checks EVAC: proxies in contact send nothing to a zone later than Bounds.Evacuate after its evacuation was acknowledged, until the
// end of the evacuation is sent.
func (x *index) checkEvacuation(verdict *Verdict) {
	for i, change := range x.Changes {
		if change.Config == nil && change.Start && change.acknowledged() {
			x.checkEvacuatedZone(change, x.endOfEvacuation(i), verdict)
		}
	}
}

// endOfEvacuation returns when the end of an evacuation was sent, and the end of time if it was not. start is the index in Changes of the change
// that started the evacuation.
func (x *index) endOfEvacuation(start int) Time {
	for _, later := range x.Changes[start+1:] {
		if later.Config == nil && later.Zone == x.Changes[start].Zone && !later.Start {
			return later.Sent
		}
	}
	return math.MaxInt64
}

// checkEvacuatedZone checks the arrivals in a zone from the acknowledgement of its evacuation until its end.
func (x *index) checkEvacuatedZone(evacuation *Change, end Time, verdict *Verdict) {
	acknowledged := evacuation.AcknowledgedAt
	for _, arrival := range x.Arrivals {
		if arrival.Zone != evacuation.Zone || arrival.At <= acknowledged || arrival.At >= end || !arrival.reached() {
			continue
		}
		verdict.Checked++
		sent := arrival.sentAt()
		from := acknowledged + x.Bounds.Evacuate + x.stretch(acknowledged, sent)
		if sent > from && x.inContact(x.sender(arrival), sent) {
			verdict.violation("%s reached %s in %s %v after its evacuation", arrival.ID, arrival.Server, arrival.Zone, sent-acknowledged)
		}
	}
}
