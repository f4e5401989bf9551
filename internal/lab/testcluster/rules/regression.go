package rules

import (
	"cmp"
	"math"
	"net/http"
	"slices"
)

// effect is what an attempt shows of the configuration that its proxy used: a revision from minRevision to maxRevision.
type effect struct {
	attempt                  *Attempt
	at                       Time // of the execution; of a 404 the end of time, as it does not show that the proxy had used the revision before
	minRevision, maxRevision int64
}

// versionRange returns the lowest and the highest revision that was sent among the configurations that are allowed; ok is false if there is none.
func (x *index) versionRange(allowed func(*Config) bool) (least, most int64, ok bool) {
	least, most = math.MaxInt64, math.MinInt64
	for _, c := range x.Changes {
		if c.Config != nil && allowed(c.Config) {
			least, most, ok = min(least, c.Config.Revision), max(most, c.Config.Revision), true
		}
	}
	return least, most, ok
}

// effects returns what the executions of an attempt, or its 404, show of the configuration.
func (x *index) effects(t *Attempt) []effect {
	var all []effect
	if t.Outcome == Answered && t.Status == http.StatusNotFound && t.Seal == "" {
		if least, most, ok := x.versionRange(func(c *Config) bool { return c.Match(t.Host, t.Path) == nil }); ok {
			all = append(all, effect{t, math.MaxInt64, least, most})
		}
	}
	for _, a := range x.runs[t.ID] {
		if a.ExecutedAt == Never {
			continue
		}
		least, most, ok := x.versionRange(func(c *Config) bool {
			r := c.Match(t.Host, t.Path)
			return r != nil && r.sends(a.Service)
		})
		if ok {
			all = append(all, effect{t, a.ExecutedAt, least, most})
		}
	}
	return all
}

// checkRegression checks that a proxy does not go back to an older configuration within one incarnation.
func (x *index) checkRegression(verdict *Verdict) {
	by := map[string][]effect{}
	for _, t := range x.Attempts {
		by[t.Proxy] = append(by[t.Proxy], x.effects(t)...)
	}
	for proxy, all := range by {
		slices.SortStableFunc(all, func(a, b effect) int { return cmp.Compare(a.attempt.Sent, b.attempt.Sent) })
		seen := slices.Clone(all)
		slices.SortStableFunc(seen, func(a, b effect) int { return cmp.Compare(a.at, b.at) })
		next, newest, life := 0, int64(math.MinInt64), Time(0)
		for _, e := range all {
			if began := x.incarnationStart(proxy, e.attempt.Sent); began > life {
				newest, life = math.MinInt64, began
			}
			for next < len(seen) && seen[next].at < e.attempt.Sent-x.Bounds.RevertSlack {
				if seen[next].at >= life {
					newest = max(newest, seen[next].minRevision)
				}
				next++
			}
			if e.maxRevision < newest {
				verdict.violation("%s went by version %d at most at %s, which had gone by version %d", e.attempt.ID, e.maxRevision, proxy, newest)
			}
		}
	}
}

// incarnationStart returns when the incarnation of a proxy started that is up at a time, or 0 if it started before the run.
func (x *index) incarnationStart(proxy string, at Time) Time {
	var began Time
	for _, t := range x.Faults {
		if t.Proxy == proxy && t.Kind == Start && t.At <= at {
			began = max(began, t.At)
		}
	}
	return began
}
