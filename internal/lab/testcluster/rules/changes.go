package rules

import (
	"encoding/json"
	"net/http"
	"time"
)

// services returns the services to which a route sends requests.
func (r *Route) services() []string {
	if r.Target != "" {
		return []string{r.Target}
	}
	var all []string
	for _, s := range r.Shares {
		if s.Weight > 0 {
			all = append(all, s.Target)
		}
	}
	return all
}

// inForce returns the configurations that may be in force somewhere in a period: the newest one that was acknowledged at least
// Bounds.ConfigApply before from, and all newer ones that were sent until to and not refused.
func (x *index) inForce(from, to Time) []*Config {
	var settled *Change
	for _, c := range x.Changes {
		bound := x.Bounds.ConfigApply + x.stretch(c.AcknowledgedAt, from)
		if c.Config != nil && c.AcknowledgedAt != Never && c.AcknowledgedAt+bound <= from && (settled == nil || c.Config.Revision > settled.Config.Revision) {
			settled = c
		}
	}
	var some []*Config
	for _, c := range x.Changes {
		if c.Config == nil || c.Sent > to || c.wasRefused() {
			continue
		}
		if settled == nil || c.Config.Revision >= settled.Config.Revision {
			some = append(some, c.Config)
		}
	}
	return some
}

// wasRefused reports whether a change was clearly refused.
func (c *Change) wasRefused() bool {
	return c.AcknowledgedAt == Never && c.Status >= 400 && c.Status < 500
}

// checkConfig checks CONFIG: a configuration that was acknowledged comes into force and stays, and one that is invalid is never acknowledged.
func (x *index) checkConfig(verdict *Verdict) {
	bases := map[int64]*Change{}
	var newest *Change
	for _, change := range x.Changes {
		if change.Config == nil {
			continue
		}
		verdict.Checked++
		if change.AcknowledgedAt == Never {
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
			if c.Config != nil && c.AcknowledgedAt != Never && c.AcknowledgedAt <= r.Sent && c.Config.Revision > r.Revision {
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
	if attempt.Outcome == Answered && attempt.Status == http.StatusNotFound && attempt.Seal == "" {
		for _, c := range configs {
			if c.Match(attempt.Host, attempt.Path) == nil {
				return
			}
		}
		verdict.violation("%s got a 404 at %s, and the route is there", attempt.ID, attempt.Proxy)
		return
	}
	for _, arrival := range x.runs[attempt.ID] {
		if arrival.ExecutedAt == Never {
			continue
		}
		allowed := false
		for _, c := range configs {
			if r := c.Match(attempt.Host, attempt.Path); r != nil && r.sends(arrival.Service) {
				allowed = true
			}
		}
		if !allowed {
			verdict.violation("%s ran at %s by way of %s, as only an older version allows", attempt.ID, arrival.Service, attempt.Proxy)
		}
	}
}

// checkLost checks LOST: around a graceful shutdown of a proxy, requests that the proxy has read are answered completely.
func (x *index) checkLost(verdict *Verdict) {
	for _, fault := range x.Faults {
		if fault.Kind != Terminate || fault.Proxy == "" {
			continue
		}
		until := fault.At + x.Bounds.Grace + 1e9
		for _, attempt := range x.Attempts {
			if attempt.Proxy != fault.Proxy || attempt.Ended < fault.At || attempt.Ended > until || !x.plannedOnly(attempt) {
				continue
			}
			verdict.Checked++
			if attempt.Outcome != Truncated || x.abortedByServer(attempt) {
				continue
			}
			if len(x.runs[attempt.ID]) > 0 || attempt.Ended > attempt.SentComplete+x.Bounds.LossSlack {
				verdict.violation("%s was truncated at %s, %v after SIGTERM", attempt.ID, attempt.Proxy, attempt.Ended-fault.At)
			}
		}
	}
}

// plannedOnly reports whether the proxy of an attempt had no unplanned fault from Bounds.Contact before the attempt until its end.
func (x *index) plannedOnly(attempt *Attempt) bool {
	for _, other := range x.Faults {
		if other.Proxy == attempt.Proxy && other.isUnplanned() && other.At <= attempt.Ended && other.endedAt() > attempt.Sent-x.Bounds.Contact {
			return false
		}
	}
	return true
}

// abortedByServer reports whether a server aborted an attempt.
func (x *index) abortedByServer(attempt *Attempt) bool {
	for _, arrival := range x.runs[attempt.ID] {
		if arrival.Aborted {
			return true
		}
	}
	return false
}
