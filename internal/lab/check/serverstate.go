package check

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/lab/plan"
)

// readyWarm are the periods, by server, in which it could serve everybody at its whole capacity: its process is up and not draining, does
// work, is warm, and no fault separates all sidecars from it. A server that only some sidecars cannot reach is ready: that the
// others go there is what the spread measures.
func (e *Evidence) readyWarm() map[string][]Span {
	return e.statePeriods(func(state *serverState) (from int64, ok bool) {
		return state.warmAt, state.up && !state.hanging && state.blocked == 0
	})
}

// unresponsive are the periods, by server, in which it accepts what it is sent and responds to nobody.
func (e *Evidence) unresponsive() map[string][]Span {
	return e.statePeriods(func(state *serverState) (from int64, ok bool) {
		return math.MinInt64, state.up && (state.hanging || state.blocked > 0)
	})
}

// serverState is the state of a server as the plan and its falls determine it.
type serverState struct {
	up, hanging bool
	blocked     int   // faults that separate all sidecars from it
	warmAt      int64 // ns of the lab's clock
}

// stateChange is a change of the state of a server at a time.
type stateChange struct {
	at    int64
	apply func(*serverState)
}

// statePeriods are the periods, by server, in which a condition holds: in a state that meets it, not before from.
func (e *Evidence) statePeriods(condition func(*serverState) (from int64, ok bool)) map[string][]Span {
	periods := map[string][]Span{}
	for uid, changes := range e.stateChanges() {
		slices.SortStableFunc(changes, func(a, b stateChange) int { return cmp.Compare(a.at, b.at) })
		var state serverState
		for i, change := range changes {
			change.apply(&state)
			to := int64(math.MaxInt64)
			if i+1 < len(changes) {
				to = changes[i+1].at
			}
			from, ok := condition(&state)
			if from = max(change.at, from); ok && from < to {
				periods[uid] = append(periods[uid], Span{from, to})
			}
		}
	}
	return periods
}

// stateChanges are the changes of each server: its start, the steps of the plan, and its falls.
func (e *Evidence) stateChanges() map[string][]stateChange {
	changes := map[string][]stateChange{}
	add := func(uid string, at int64, apply func(*serverState)) {
		changes[uid] = append(changes[uid], stateChange{at, apply})
	}
	cold := e.Plan.File.Fleet.Start == "cold"
	for i := range e.Plan.InitialServers {
		server := &e.Plan.Servers[i]
		add(server.UID, math.MinInt64, func(state *serverState) { state.up, state.warmAt = true, e.warmAt(server.ColdFor, 0, cold) })
	}
	coldFor := map[string]time.Duration{}
	for _, server := range e.Plan.Servers {
		coldFor[server.UID] = server.ColdFor
	}
	for i := range e.Plan.Steps {
		step := &e.Plan.Steps[i]
		if apply := e.stepEffect(step, coldFor[step.Server]); step.Server != "" && apply != nil {
			add(step.Server, e.Start+int64(step.At), apply)
		}
	}
	for _, fall := range e.Falls {
		add(fall.UID, fall.At, func(state *serverState) { state.up = false })
	}
	return changes
}

// stepEffect is how a step changes the state of its server; nil: not at all.
func (e *Evidence) stepEffect(step *plan.Step, coldFor time.Duration) func(*serverState) {
	switch step.Do {
	case plan.Add, plan.Revive:
		return func(state *serverState) {
			*state = serverState{up: true, blocked: state.blocked, warmAt: e.warmAt(coldFor, step.At, true)}
		}
	case plan.Drain, plan.Die, plan.Remove:
		return func(state *serverState) { state.up = false }
	case plan.ServerFault:
		return func(state *serverState) { state.hanging = step.Trouble.Hang }
	case plan.Link:
		allSidecars, blocks := len(step.Nears) == 0, step.Effect.HoldFar || step.Effect.HoldNear
		switch {
		case allSidecars && blocks && step.On:
			return func(state *serverState) { state.blocked++ }
		case allSidecars && blocks:
			return func(state *serverState) { state.blocked-- }
		}
	}
	return nil
}

// warmAt is when a server that started at a time of the load is warm, in ns of the lab's clock.
func (e *Evidence) warmAt(coldFor, started time.Duration, cold bool) int64 {
	if !cold {
		return math.MinInt64
	}
	return e.Start + int64(started) + int64(coldFor)
}

// covers reports whether one of some periods covers a whole period.
func covers(periods []Span, from, to int64) bool {
	return slices.ContainsFunc(periods, func(period Span) bool { return period.From <= from && period.To >= to })
}
