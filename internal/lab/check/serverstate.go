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
	return e.statePeriods(func(r *serverState) (from int64, is bool) { return r.warmAt, r.up && !r.hanging && r.blocked == 0 })
}

// unresponsive are the times, by server, in which a server takes what it is sent and says nothing to anybody.
func (e *Evidence) unresponsive() map[string][]Span {
	return e.statePeriods(func(r *serverState) (from int64, is bool) { return math.MinInt64, r.up && (r.hanging || r.blocked > 0) })
}

// statePeriods are the times, by server, in which something is so, which it is of a state not before from.
func (e *Evidence) statePeriods(so func(*serverState) (from int64, is bool)) map[string][]Span {
	type change struct {
		at   int64
		make func(*serverState)
	}
	changes := map[string][]change{}
	cold := e.Plan.File.Fleet.Start == "cold"
	for i := range e.Plan.InitialServers {
		s := &e.Plan.Servers[i]
		changes[s.UID] = append(changes[s.UID], change{math.MinInt64, func(r *serverState) { r.up, r.warmAt = true, e.warmAt(s.ColdFor, 0, cold) }})
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
		add := func(do func(*serverState)) { changes[s.Server] = append(changes[s.Server], change{at, do}) }
		switch s.Do {
		case plan.Add, plan.Revive:
			add(func(r *serverState) {
				*r = serverState{up: true, blocked: r.blocked, warmAt: e.warmAt(coldFor[s.Server], s.At, true)}
			})
		case plan.Drain, plan.Die, plan.Remove:
			add(func(r *serverState) { r.up = false })
		case plan.ServerFault:
			add(func(r *serverState) { r.hanging = s.Trouble.Hang })
		case plan.Link:
			if len(s.Nears) == 0 && (s.Effect.HoldFar || s.Effect.HoldNear) {
				add(func(r *serverState) {
					if r.blocked--; s.On {
						r.blocked += 2
					}
				})
			}
		}
	}
	for _, n := range e.Falls {
		changes[n.UID] = append(changes[n.UID], change{n.At, func(r *serverState) { r.up = false }})
	}
	spans := map[string][]Span{}
	for uid, all := range changes {
		slices.SortStableFunc(all, func(a, b change) int { return cmp.Compare(a.at, b.at) })
		var r serverState
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

// serverState is what is so of a server.
type serverState struct {
	up, hanging bool
	blocked     int   // faults that keep everybody from it
	warmAt      int64 // ns of the lab's clock
}

func (e *Evidence) warmAt(coldFor, from time.Duration, cold bool) int64 {
	if !cold {
		return math.MinInt64
	}
	return e.Start + int64(from) + int64(coldFor)
}

// covers tells whether one of some spans holds a time.
func covers(spans []Span, from, to int64) bool {
	return slices.ContainsFunc(spans, func(s Span) bool { return s.From <= from && s.To >= to })
}
