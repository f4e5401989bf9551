package check

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/lab/plan"
)

// readyWarm are the times, by server, in which it could serve everybody at its whole capacity: its process is up, says
// that it serves, does work, is warm, and no fault keeps all sidecars from it. What only some sidecars cannot reach is
// ready: that the others go there is what spread is about.
func (e *Evidence) readyWarm() map[string][]Span {
	return e.spans(func(r *readiness) (from int64, is bool) { return r.warmAt, r.up && !r.hangs && r.holds == 0 })
}

// silent are the times, by server, in which a server takes what it is sent and says nothing to anybody.
func (e *Evidence) silent() map[string][]Span {
	return e.spans(func(r *readiness) (from int64, is bool) { return math.MinInt64, r.up && (r.hangs || r.holds > 0) })
}

// spans are the times, by server, in which something is so, which it is of a state not before from.
func (e *Evidence) spans(so func(*readiness) (from int64, is bool)) map[string][]Span {
	type change struct {
		at   int64
		make func(*readiness)
	}
	changes := map[string][]change{}
	cold := e.Plan.File.Fleet.Start == "cold"
	for i := range e.Plan.InitialServers {
		s := &e.Plan.Servers[i]
		changes[s.UID] = append(changes[s.UID], change{math.MinInt64, func(r *readiness) { r.up, r.warmAt = true, e.warmAt(s.ColdFor, 0, cold) }})
	}
	coldFor := map[string]time.Duration{}
	for _, s := range e.Plan.Servers {
		coldFor[s.UID] = s.ColdFor
	}
	for i := range e.Plan.Steps {
		s := &e.Plan.Steps[i]
		if s.Server == "" {
			continue
		}
		at := e.Start + int64(s.At)
		add := func(do func(*readiness)) { changes[s.Server] = append(changes[s.Server], change{at, do}) }
		switch s.Do {
		case plan.Add, plan.Revive:
			add(func(r *readiness) {
				*r = readiness{up: true, holds: r.holds, warmAt: e.warmAt(coldFor[s.Server], s.At, true)}
			})
		case plan.Drain, plan.Die, plan.Remove:
			add(func(r *readiness) { r.up = false })
		case plan.ServerFault:
			add(func(r *readiness) { r.hangs = s.Trouble.Hang })
		case plan.Link:
			if len(s.Nears) == 0 && (s.Effect.HoldFar || s.Effect.HoldNear) {
				add(func(r *readiness) {
					if r.holds--; s.On {
						r.holds += 2
					}
				})
			}
		}
	}
	for _, n := range e.Falls {
		changes[n.UID] = append(changes[n.UID], change{n.At, func(r *readiness) { r.up = false }})
	}
	spans := map[string][]Span{}
	for uid, all := range changes {
		slices.SortStableFunc(all, func(a, b change) int { return cmp.Compare(a.at, b.at) })
		var r readiness
		for i, c := range all {
			c.make(&r)
			to := int64(math.MaxInt64)
			if i+1 < len(all) {
				to = all[i+1].at
			}
			from, is := so(&r)
			if from = max(c.at, from); is && from < to {
				spans[uid] = append(spans[uid], Span{from, to})
			}
		}
	}
	return spans
}

// readiness is what is so of a server.
type readiness struct {
	up, hangs bool
	holds     int   // faults that keep everybody from it
	warmAt    int64 // ns of the lab's clock
}

func (e *Evidence) warmAt(coldFor, from time.Duration, cold bool) int64 {
	if !cold {
		return math.MinInt64
	}
	return e.Start + int64(from) + int64(coldFor)
}

// throughout tells whether one of some spans holds a time.
func throughout(spans []Span, from, to int64) bool {
	return slices.ContainsFunc(spans, func(s Span) bool { return s.From <= from && s.To >= to })
}
