package rules

import (
	"math"
	"slices"
)

// checkRoute checks ROUTE (RULES.md, "Requests and answers"): a service executes only requests that are routed to it by a configuration sent
// before, with a key that a tenant of it holds where one is needed.
//
// Any such configuration excuses the execution, be it acknowledged, refused or invalid: CONFIG checks which one is in force. Executions of
// what no client sent are left to UNASKED.
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
			verdict.violation("%s (%s %s, key %q) ran at %s", attempt.ID, attempt.Host, attempt.Path, attempt.Key, arrival.Service)
		}
	}
}

// everRouted reports whether any configuration that was sent before the execution of an arrival sends its attempt to its service.
func (x *index) everRouted(attempt *Attempt, arrival *Arrival) bool {
	return slices.ContainsFunc(x.Changes, func(c *Change) bool {
		return c.Config != nil && c.Sent <= arrival.ExecutedAt && c.Config.sends(attempt, arrival.Service)
	})
}

// checkDrain checks DRAIN (RULES.md, "Draining and shutdown"): nothing is sent to a server later than Bounds.Drain after the platform's list
// showed it as draining.
//
// Excused are requests that were sent by a proxy out of contact, and those that got 421, as they were meant for another incarnation. The time
// of the sending counts, where a link with faults is between.
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

// checkHome checks HOME (RULES.md, "Zones and regions"): a request whose route or tenant has home regions reaches servers there only, and in
// regions that are homes of both where both have some.
//
// Excused are requests that got 421, and those that a configuration which may be in force allows. The proxies that bodies pass are not
// checked.
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

// checkEvacuation checks EVAC (RULES.md, "Zones and regions"): nothing is sent to a zone later than Bounds.Evacuate after its evacuation was
// acknowledged, until the end of the evacuation is sent.
//
// Excused are requests that were sent by a proxy out of contact, and those that got 421. The bound grows by Bounds.Stretch around faults of
// voters (RULES.md, "In touch").
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
