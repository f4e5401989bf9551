package rules

import (
	"cmp"
	"math"
	"slices"
)

// effect is what an attempt shows of the configuration that its proxy used: a revision from minRevision to maxRevision.
type effect struct {
	attempt                  *Attempt
	at                       Time // of the execution; of a 404 or 401 the end of time, as it does not show that the proxy had used the revision before
	minRevision, maxRevision int64
}

// revisionRange returns the lowest and the highest revision that was sent among the configurations that are allowed; ok is false if there is none.
func (x *index) revisionRange(allowed func(*Config) bool) (minRevision, maxRevision int64, ok bool) {
	minRevision, maxRevision = math.MaxInt64, math.MinInt64
	for _, c := range x.Changes {
		if c.Config != nil && allowed(c.Config) {
			minRevision, maxRevision, ok = min(minRevision, c.Config.Revision), max(maxRevision, c.Config.Revision), true
		}
	}
	return minRevision, maxRevision, ok
}

// refusedBy returns which configurations explain that the proxy itself answered 404 or 401; nil if it did not.
func (a *Attempt) refusedBy() func(*Config) bool {
	switch {
	case a.foundNoRoute():
		return func(c *Config) bool { return c.routeOf(a) == nil }
	case a.foundNoKey():
		return func(c *Config) bool { return !c.authenticates(a) }
	}
	return nil
}

// effects returns what the executions of an attempt, or its 404 or 401, show of the configuration.
func (x *index) effects(attempt *Attempt) []effect {
	var all []effect
	if explains := attempt.refusedBy(); explains != nil {
		if minRevision, maxRevision, ok := x.revisionRange(explains); ok {
			all = append(all, effect{attempt, math.MaxInt64, minRevision, maxRevision})
		}
	}
	for _, arrival := range x.arrivalsByID[attempt.ID] {
		if !arrival.executed() {
			continue
		}
		minRevision, maxRevision, ok := x.revisionRange(func(c *Config) bool { return c.sends(attempt, arrival.Service) })
		if ok {
			all = append(all, effect{attempt, arrival.ExecutedAt, minRevision, maxRevision})
		}
	}
	return all
}

// checkRegression checks the rule of CONFIG on regression (RULES.md, "Configuration"): a proxy does not go back to an older configuration
// within one incarnation.
//
// Excused are attempts that were sent within Bounds.RevertSlack after the effect of the newer configuration. An attempt that several
// configurations allow counts as the effect of the oldest one when it is seen first, and of the newest one when it is seen later.
func (x *index) checkRegression(verdict *Verdict) {
	byProxy := map[string][]effect{}
	for _, attempt := range x.Attempts {
		byProxy[attempt.Proxy] = append(byProxy[attempt.Proxy], x.effects(attempt)...)
	}
	for proxy, effects := range byProxy {
		x.checkProxyRegression(proxy, effects, verdict)
	}
}

// checkProxyRegression checks the effects of one proxy: none is of an older configuration than any effect that was seen more than
// Bounds.RevertSlack before its attempt was sent.
func (x *index) checkProxyRegression(proxy string, effects []effect, verdict *Verdict) {
	slices.SortStableFunc(effects, func(a, b effect) int { return cmp.Compare(a.attempt.Sent, b.attempt.Sent) })
	seen := slices.Clone(effects)
	slices.SortStableFunc(seen, func(a, b effect) int { return cmp.Compare(a.at, b.at) })
	next, newest, started := 0, int64(math.MinInt64), Time(0)
	for _, e := range effects {
		if began := x.incarnationStart(proxy, e.attempt.Sent); began > started {
			newest, started = math.MinInt64, began
		}
		for next < len(seen) && seen[next].at < e.attempt.Sent-x.Bounds.RevertSlack {
			if seen[next].at >= started {
				newest = max(newest, seen[next].minRevision)
			}
			next++
		}
		if e.maxRevision < newest {
			verdict.violation("%s went by version %d at most at %s, which had gone by version %d", e.attempt.ID, e.maxRevision, proxy, newest)
		}
	}
}

// incarnationStart returns when the incarnation of a proxy started that is up at a time, or 0 if it started before the run.
func (x *index) incarnationStart(proxy string, at Time) Time {
	var began Time
	for _, fault := range x.Faults {
		if fault.Proxy == proxy && fault.Kind == Start && fault.At <= at {
			began = max(began, fault.At)
		}
	}
	return began
}
