package lab

import (
	"maps"
	"slices"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/link"
	"gradeusher.example/gradeusher/internal/lab/plan"
)

// linkFaults adds up all faults of each link. Orders carry each link's complete state, so that none is without faults for
// a moment between two faults.
type linkFaults struct {
	fleet *Fleet
	base  link.State // set before the load
	mu    sync.Mutex
	ends  map[string]*farEnd
}

// farEnd is what faults do to the links of one server, or of the list.
type farEnd struct {
	mu           sync.Mutex // held while its process gets orders
	activeFaults []*plan.Step
}

func newLinkFaults(f *Fleet) *linkFaults { return &linkFaults{fleet: f, ends: map[string]*farEnd{}} }

func (l *linkFaults) farEndOf(uid string) *farEnd {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ends[uid] == nil {
		l.ends[uid] = &farEnd{}
	}
	return l.ends[uid]
}

// baseline sets the links of all servers as they are without faults.
func (l *linkFaults) baseline(delay time.Duration) error {
	l.base.Delay = delay
	for i := range l.fleet.plan.InitialServers {
		if err := l.resend(l.fleet.plan.Servers[i].UID); err != nil {
			return err
		}
	}
	return nil
}

// resend says the state of a far end's links to a process that does not know it.
func (l *linkFaults) resend(uid string) error {
	end := l.farEndOf(uid)
	end.mu.Lock()
	defer end.mu.Unlock()
	if l.base == (link.State{}) && len(end.activeFaults) == 0 {
		return nil
	}
	_, err := l.sendStates(uid, end)
	return err
}

// apply begins or ends a fault of links.
func (l *linkFaults) apply(s *plan.Step) (int64, error) {
	end := l.farEndOf(s.Server)
	end.mu.Lock()
	defer end.mu.Unlock()
	if s.On {
		end.activeFaults = append(end.activeFaults, s)
	} else {
		end.activeFaults = slices.DeleteFunc(end.activeFaults, func(b *plan.Step) bool { return b.Fault == s.Fault })
	}
	return l.sendStates(s.Server, end)
}

// addEffect adds a fault to a link's state.
func addEffect(state *link.State, e plan.LinkEffect) {
	state.Hold[link.ToFar] = state.Hold[link.ToFar] || e.HoldFar
	state.Hold[link.ToNear] = state.Hold[link.ToNear] || e.HoldNear
	state.Delay += e.Delay
	state.Loss = max(state.Loss, e.Loss)
	state.Jitter = max(state.Jitter, e.Jitter)
	if e.Rate > 0 && (state.Rate == 0 || e.Rate < state.Rate) {
		state.Rate = e.Rate
	}
}

// sendStates sends a far end the state of all its links. The caller holds end.mu.
func (l *linkFaults) sendStates(uid string, end *farEnd) (at int64, err error) {
	states, partitioned := l.states(end)
	far := l.fleet.processOf(uid)
	for state, nears := range states {
		n, err := far.order(ctl.Order{Do: ctl.CommandLink, UID: uid, Nears: nears, State: &state})
		if err != nil {
			return n.At, err
		}
		at = max(at, n.At)
	}
	if uid == "" { // the list has one listener for all groups
		all := !slices.Contains(slices.Collect(maps.Values(partitioned)), false)
		n, err := far.order(ctl.Order{Do: ctl.CommandLink, Partitioned: &all})
		return max(at, n.At), err
	}
	for _, group := range slices.Sorted(maps.Keys(partitioned)) {
		isPartitioned := partitioned[group]
		n, err := far.order(ctl.Order{Do: ctl.CommandLink, UID: uid, Group: group, Partitioned: &isPartitioned})
		if err != nil {
			return n.At, err
		}
		at = max(at, n.At)
	}
	return at, nil
}

// states are the sidecars by the state of their link to a far end, and whether each group is partitioned from it: whether the links
// of all its sidecars are held. Calls of a partitioned group do not arrive; those of single sidecars do, and nothing after. The
// caller holds end.mu.
func (l *linkFaults) states(end *farEnd) (states map[link.State][]int, partitioned map[int]bool) {
	states, partitioned = map[link.State][]int{}, map[int]bool{}
	for i, sidecar := range l.fleet.plan.Sidecars {
		state, held := l.stateOf(end, i)
		states[state] = append(states[state], i)
		before, seen := partitioned[sidecar.Group]
		partitioned[sidecar.Group] = held && (before || !seen)
	}
	return states, partitioned
}

// stateOf is what all faults make of the link from a sidecar to a far end, and whether one holds it in either direction.
func (l *linkFaults) stateOf(end *farEnd, index int) (state link.State, held bool) {
	state = l.base
	for _, s := range end.activeFaults {
		if len(s.Nears) > 0 && !slices.Contains(s.Nears, index) {
			continue
		}
		addEffect(&state, s.Effect)
		held = held || s.Effect.HoldFar || s.Effect.HoldNear
	}
	return state, held
}
