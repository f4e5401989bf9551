package rules

import (
	"cmp"
	"math"
	"slices"
)

// index is evidence with the maps by which checks look it up.
type index struct {
	*Evidence
	attemptByID   map[string]*Attempt
	arrivalsByID  map[string][]*Arrival // by id of the attempt, in order of arrival
	arrivalBySeal map[string]*Arrival
	serverEnds    map[string]Time // by id of the incarnation
	coreLosses    []span
}

// index returns the index of the evidence, and sorts its arrivals by time.
func (e *Evidence) index() *index {
	built := &index{
		Evidence:      e,
		attemptByID:   map[string]*Attempt{},
		arrivalsByID:  map[string][]*Arrival{},
		arrivalBySeal: map[string]*Arrival{},
		serverEnds:    map[string]Time{},
		coreLosses:    e.coreLosses(),
	}
	for _, attempt := range e.Attempts {
		built.attemptByID[attempt.ID] = attempt
	}
	slices.SortStableFunc(e.Arrivals, func(a, b *Arrival) int { return cmp.Compare(a.At, b.At) })
	for _, arrival := range e.Arrivals {
		built.arrivalsByID[arrival.ID] = append(built.arrivalsByID[arrival.ID], arrival)
		if arrival.Seal != "" {
			built.arrivalBySeal[arrival.Seal] = arrival
		}
	}
	for _, end := range e.Ends {
		built.serverEnds[end.Server] = end.At
	}
	return built
}

// inForce returns the configurations that may be in force somewhere in a period: the newest one that was acknowledged at least
// Bounds.ConfigApply, and what faults add to it, before from, and all newer ones that were sent until to and not refused.
func (x *index) inForce(from, to Time) []*Config {
	minRevision := x.settledRevision(from)
	var configs []*Config
	for _, c := range x.Changes {
		if c.Config != nil && c.Sent <= to && !c.wasRefused() && c.Config.Revision >= minRevision {
			configs = append(configs, c.Config)
		}
	}
	return configs
}

// settledRevision returns the highest revision that must be in force everywhere at a time, and math.MinInt64 if there is none.
func (x *index) settledRevision(at Time) int64 {
	settled := int64(math.MinInt64)
	for _, c := range x.Changes {
		if c.Config == nil || !c.acknowledged() {
			continue
		}
		if bound := x.Bounds.ConfigApply + x.stretch(c.AcknowledgedAt, at); c.AcknowledgedAt+bound <= at {
			settled = max(settled, c.Config.Revision)
		}
	}
	return settled
}

// idempotent reports whether the request of an attempt may be executed more than once, by any configuration that was sent before its end.
func (x *index) idempotent(attempt *Attempt) bool {
	return slices.ContainsFunc(x.Changes, func(c *Change) bool {
		return c.Config != nil && c.Sent <= attempt.Ended && c.Config.isIdempotent(attempt)
	})
}

// sender returns the address of the proxy through which an arrival came, empty if it is not known.
func (x *index) sender(arrival *Arrival) string {
	if attempt := x.attemptByID[arrival.ID]; attempt != nil {
		return attempt.Proxy
	}
	return ""
}
