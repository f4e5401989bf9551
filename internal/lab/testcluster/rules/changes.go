package rules

import (
	"encoding/json"
	"slices"
	"time"
)

// checkConfig checks CONFIG (RULES.md, "Configuration"): a configuration that was acknowledged comes into force and stays, and one that is
// invalid or lost a race is not acknowledged.
//
// How a request is handled is excused by any configuration that may be in force (inForce), and at a proxy out of contact. A change without a
// clear answer may or may not be in force. How often requests on added routes are served is not checked.
func (x *index) checkConfig(verdict *Verdict) {
	x.checkAcknowledgements(verdict)
	x.checkReadBack(verdict)
	x.checkReadings(verdict)
	for _, attempt := range x.Attempts {
		if x.inContact(attempt.Proxy, attempt.Ended) {
			x.checkHandling(attempt, verdict)
		}
	}
	x.checkRegression(verdict)
}

// checkAcknowledgements checks that no invalid configuration was acknowledged, and of those on top of one version at most one.
func (x *index) checkAcknowledgements(verdict *Verdict) {
	acknowledged := map[int64]*Config{} // by the version on which it builds
	for _, change := range x.Changes {
		if change.Config == nil {
			continue
		}
		verdict.Checked++
		if !change.acknowledged() {
			continue
		}
		revision := change.Config.Revision
		if change.Invalid {
			verdict.violation("the invalid version %d was acknowledged", revision)
		}
		if other := acknowledged[change.Base]; other != nil && other.Revision != revision {
			verdict.violation("versions %d and %d on top of version %d were both acknowledged", other.Revision, revision, change.Base)
		}
		acknowledged[change.Base] = change.Config
	}
}

// checkReadBack checks that the configuration read at the end is the newest one that was acknowledged, or a newer one without a clear answer,
// and has what was sent under its number.
func (x *index) checkReadBack(verdict *Verdict) {
	newest, ok := x.newestAcknowledged()
	switch {
	case !ok:
		return
	case x.Read == nil:
		verdict.violation("the configuration was not read back")
		return
	case x.Read.Revision < newest:
		verdict.violation("version %d was read back and %d had been acknowledged", x.Read.Revision, newest)
		return
	}
	for _, c := range x.Changes {
		if c.Config != nil && c.Config.Revision == x.Read.Revision && !c.wasRefused() && sameConfig(c.Config, x.Read) {
			return
		}
	}
	verdict.violation("version %d was read back with what nobody sent under that number", x.Read.Revision)
}

// newestAcknowledged returns the highest revision that was acknowledged; ok is false if none was.
func (x *index) newestAcknowledged() (revision int64, ok bool) {
	for _, c := range x.Changes {
		if c.Config != nil && c.acknowledged() && (!ok || c.Config.Revision > revision) {
			revision, ok = c.Config.Revision, true
		}
	}
	return revision, ok
}

// checkReadings checks that a reading during the run returns no configuration older than one that was acknowledged before the reading was
// sent. Readings without a clear answer are not in the evidence.
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

// allAuthenticate reports whether all configurations let an attempt pass by its key.
func allAuthenticate(configs []*Config, attempt *Attempt) bool {
	return !slices.ContainsFunc(configs, func(c *Config) bool { return !c.authenticates(attempt) })
}

// checkHandling checks that an attempt is handled as a configuration says that may be in force between its start and its end.
func (x *index) checkHandling(attempt *Attempt, verdict *Verdict) {
	configs := x.inForce(attempt.Sent, attempt.Ended)
	if len(configs) == 0 {
		return
	}
	if attempt.foundNoRoute() {
		if !slices.ContainsFunc(configs, func(c *Config) bool { return c.routeOf(attempt) == nil }) {
			verdict.violation("%s got a 404 at %s, and the route is there", attempt.ID, attempt.Proxy)
		}
		return
	}
	if attempt.foundNoKey() && allAuthenticate(configs, attempt) {
		verdict.violation("%s got a 401 at %s, and the key is there", attempt.ID, attempt.Proxy)
		return
	}
	for _, arrival := range x.arrivalsByID[attempt.ID] {
		allowed := func(c *Config) bool { return c.sends(attempt, arrival.Service) }
		if arrival.executed() && !slices.ContainsFunc(configs, allowed) {
			verdict.violation("%s ran at %s by way of %s, as only an older version allows (key %q)", attempt.ID, arrival.Service, attempt.Proxy, attempt.Key)
		}
	}
}
