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

// linkFaults adds up all faults of the links of servers and of the list. Orders carry each link's complete state, so that no link is
// without faults for a moment between two of them.
type linkFaults struct {
	fleet *Fleet
	base  link.State // of all links without faults; set before the load

	mu   sync.Mutex
	ends map[string]*farEnd // by UID; "" is the list
}

// farEnd is what faults do to the links of one server, or of the list.
type farEnd struct {
	mu           sync.Mutex   // held while its process gets orders, so that they arrive in order
	activeFaults []*plan.Step // guarded by mu
}

// newLinkFaults returns the faults of a fleet that has none yet.
func newLinkFaults(f *Fleet) *linkFaults { return &linkFaults{fleet: f, ends: map[string]*farEnd{}} }

// farEndOf returns the far end of a UID, and makes it at the first call.
func (l *linkFaults) farEndOf(uid string) *farEnd {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ends[uid] == nil {
		l.ends[uid] = &farEnd{}
	}
	return l.ends[uid]
}

// baseline sets the links of all servers of the start as they are without faults: with a delay, one way.
func (l *linkFaults) baseline(delay time.Duration) error {
	l.base.Delay = delay
	experiment := l.fleet.plan
	for _, spec := range experiment.Servers[:experiment.InitialServers] {
		if err := l.resend(spec.UID); err != nil {
			return err
		}
	}
	return nil
}

// resend sends the state of a far end's links to a process that has just started.
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

// apply begins or ends a fault of links. It returns when all links had their new states, in ns of the lab's clock.
func (l *linkFaults) apply(step *plan.Step) (at int64, err error) {
	end := l.farEndOf(step.Server)
	end.mu.Lock()
	defer end.mu.Unlock()
	if step.On {
		end.activeFaults = append(end.activeFaults, step)
	} else {
		end.activeFaults = slices.DeleteFunc(end.activeFaults, func(active *plan.Step) bool { return active.Fault == step.Fault })
	}
	return l.sendStates(step.Server, end)
}

// addEffect adds the effect of a fault to a link's state: delays add up, of other effects the worst counts.
func addEffect(state *link.State, effect plan.LinkEffect) {
	state.Hold[link.ToFar] = state.Hold[link.ToFar] || effect.HoldFar
	state.Hold[link.ToNear] = state.Hold[link.ToNear] || effect.HoldNear
	state.Delay += effect.Delay
	state.Loss = max(state.Loss, effect.Loss)
	state.Jitter = max(state.Jitter, effect.Jitter)
	limited := effect.Rate > 0
	if limited && (state.Rate == 0 || effect.Rate < state.Rate) {
		state.Rate = effect.Rate
	}
}

// sendStates sends a far end the state of all its links, and then which groups are partitioned from it. It returns when all links had
// their states. The caller holds end.mu.
func (l *linkFaults) sendStates(uid string, end *farEnd) (at int64, err error) {
	states, partitioned := l.states(end)
	var orders []ctl.Order
	for state, nears := range states {
		orders = append(orders, ctl.Order{Do: ctl.CommandLink, UID: uid, Nears: nears, State: &state})
	}
	orders = append(orders, partitionOrders(uid, partitioned)...)
	far := l.fleet.processOf(uid)
	for _, order := range orders {
		event, err := far.order(order)
		if err != nil {
			return event.At, err
		}
		at = max(at, event.At)
	}
	return at, nil
}

// partitionOrders are the orders that partition groups from a far end, or no longer. The list has one listener for all groups, so it is
// partitioned from all or from none.
func partitionOrders(uid string, partitioned map[int]bool) (orders []ctl.Order) {
	if uid == "" {
		all := !slices.Contains(slices.Collect(maps.Values(partitioned)), false)
		return []ctl.Order{{Do: ctl.CommandLink, Partitioned: &all}}
	}
	for _, group := range slices.Sorted(maps.Keys(partitioned)) {
		isPartitioned := partitioned[group]
		orders = append(orders, ctl.Order{Do: ctl.CommandLink, UID: uid, Group: group, Partitioned: &isPartitioned})
	}
	return orders
}

// states are the sidecars by the state of their link to a far end, and whether each group is partitioned from it: whether the links
// of all its sidecars are held. Calls of a partitioned group do not arrive; those of single sidecars do, and nothing after. The
// caller holds end.mu.
func (l *linkFaults) states(end *farEnd) (states map[link.State][]int, partitioned map[int]bool) {
	states, partitioned = map[link.State][]int{}, map[int]bool{}
	for index, sidecar := range l.fleet.plan.Sidecars {
		state, held := l.stateOf(end, index)
		states[state] = append(states[state], index)
		before, seen := partitioned[sidecar.Group]
		partitioned[sidecar.Group] = held && (before || !seen)
	}
	return states, partitioned
}

// stateOf is what all faults make of the link from a sidecar to a far end, and whether one holds it in either direction. The caller
// holds end.mu.
func (l *linkFaults) stateOf(end *farEnd, index int) (state link.State, held bool) {
	state = l.base
	for _, step := range end.activeFaults {
		if len(step.Nears) > 0 && !slices.Contains(step.Nears, index) {
			continue
		}
		addEffect(&state, step.Effect)
		held = held || step.Effect.HoldFar || step.Effect.HoldNear
	}
	return state, held
}
