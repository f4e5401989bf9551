package rules

import (
	"encoding/json"
	"time"
)

// checkConfig checks CONFIG: a configuration that was acknowledged comes into force and stays, and one that is invalid is never acknowledged.
func (x *index) checkConfig(verdict *Verdict) {
	bases := map[int64]*Change{}
	var newest *Change
	for _, change := range x.Changes {
		if change.Config == nil {
			continue
		}
		verdict.Checked++
		if !change.acknowledged() {
			continue
		}
		if change.Invalid {
			verdict.violation("the invalid version %d was acknowledged", change.Config.Revision)
		}
		if other := bases[change.Base]; other != nil && other.Config.Revision != change.Config.Revision {
			verdict.violation("versions %d and %d on top of version %d were both acknowledged", other.Config.Revision, change.Config.Revision, change.Base)
		}
		bases[change.Base] = change
		if newest == nil || change.Config.Revision > newest.Config.Revision {
			newest = change
		}
	}
	x.checkReadBack(newest, verdict)
	x.checkReadings(verdict)
	for _, attempt := range x.Attempts {
		if x.inContact(attempt.Proxy, attempt.Ended) {
			x.checkHandling(attempt, verdict)
		}
	}
	x.checkRegression(verdict)
}

// checkReadBack checks that the configuration read at the end is the newest one that was acknowledged, or a newer one without a clear answer.
func (x *index) checkReadBack(newest *Change, verdict *Verdict) {
	switch {
	case newest == nil:
		return
	case x.Read == nil:
		verdict.violation("the configuration was not read back")
		return
	case x.Read.Revision < newest.Config.Revision:
		verdict.violation("version %d was read back and %d had been acknowledged", x.Read.Revision, newest.Config.Revision)
		return
	}
	for _, c := range x.Changes {
		if c.Config != nil && c.Config.Revision == x.Read.Revision && !c.wasRefused() && sameConfig(c.Config, x.Read) {
			return
		}
	}
	verdict.violation("version %d was read back with what nobody sent under that number", x.Read.Revision)
}

// checkReadings checks that a reading returns no configuration older than one that was acknowledged before the reading was sent.
func (x *index) checkReadings(verdict *Verdict) {
	for _, r := range x.Reads {
		verdict.Checked++
		for _, c := range x.Changes {
			if c.Config != nil && c.acknowledged() && c.AcknowledgedAt <= r.Sent && c.Config.Revision > r.Revision {
				verdict.violation("a read sent at %v showed version %d, and %d had been acknowledged at %v", r.Sent.Round(time.Millisecond),
					r.Revision, c.Config.Revision, c.AcknowledgedAt.Round(time.Millisecond))
				break
			}
		}
	}
}

// sameConfig reports whether two configurations have the same JSON.
func sameConfig(a, b *Config) bool {
	one, err := json.Marshal(a)
	if err != nil {
		return false
	}
	other, err := json.Marshal(b)
	return err == nil && string(one) == string(other)
}

// checkHandling checks that an attempt is handled as a configuration says that may be in force between its start and its end.
func (x *index) checkHandling(attempt *Attempt, verdict *Verdict) {
	configs := x.inForce(attempt.Sent, attempt.Ended)
	if len(configs) == 0 {
		return
	}
	if attempt.foundNoRoute() {
		for _, c := range configs {
			if c.routeOf(attempt) == nil {
				return
			}
		}
		verdict.violation("%s got a 404 at %s, and the route is there", attempt.ID, attempt.Proxy)
		return
	}
	for _, arrival := range x.runs[attempt.ID] {
		if !arrival.executed() {
			continue
		}
		allowed := false
		for _, c := range configs {
			if c.sends(attempt, arrival.Service) {
				allowed = true
			}
		}
		if !allowed {
			verdict.violation("%s ran at %s by way of %s, as only an older version allows", attempt.ID, arrival.Service, attempt.Proxy)
		}
	}
}
