package pick

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestWarmUpBoundAroundListing has proxies join and leave, and servers start or warm up again. Each proxy learns of that up to 1.6 s
// later, in order, as does a proxy that the others consider gone. Within any second no server may get more requests than its bound.
func TestWarmUpBoundAroundListing(t *testing.T) {
	peak := 0
	rapid.Check(t, func(t *rapid.T) { peak = max(peak, runMembershipChanges(t, 3, 1)) })
	t.Logf("at most %d requests in a second", peak)
}

// TestWarmUpBoundWhileAFleetGrows is the same with as many proxies joining as there are, or more.
func TestWarmUpBoundWhileAFleetGrows(t *testing.T) {
	peak := 0
	rapid.Check(t, func(t *rapid.T) { peak = max(peak, runMembershipChanges(t, 1, 2)) })
	t.Logf("at most %d requests in a second", peak)
}

// runMembershipChanges runs one such history and returns the highest number of requests
// in a second. Up to growth/part times the initial number of proxies may join.
func runMembershipChanges(t *rapid.T, part, growth int) (peak int) {
	run := newListingRun(t, part, growth)
	run.drawHistory(t, part)
	run.drawLearning(t)
	sent := run.simulate()
	peak = maxInASecond(sent)
	if float64(peak) > maxWarmUpRequests {
		t.Fatalf("%d of %d proxies, load from %v: %d requests in a second, want at most %v", run.initialProxies, len(run.fleet.pickers), run.loadStart, peak, maxWarmUpRequests)
	}
	return peak
}

// listingRun is a fleet whose members change, and a server that starts and warms up again.
type listingRun struct {
	fleet          *warmUpFleet
	initialProxies int  // initial number of proxies
	maxLagMS       int  // until a proxy learns of a change
	loadStart      Time // when requests begin to arrive
	live           map[int]bool
	joinedAt       map[int]Time // when proxies joined that were not there initially
	history        []listingState
	learnsAt       [][]Time // by proxy and by state of the history
	known          []int    // index of the state that each proxy knows; -1: none
}

// listingState is the actual state from a time on.
type listingState struct {
	at        Time
	peers     []string
	downCount int  // number of proxies that were given up but may still be running
	warmUntil Time // the server warms up until then; 0: it is not listed
}

func newListingRun(t *rapid.T, part, growth int) *listingRun {
	run := &listingRun{initialProxies: rapid.SampledFrom([]int{1, 2, 3, 8, 12, 16, 17, 18, 20, 30, 60}).Draw(t, "proxies"), live: map[int]bool{}, joinedAt: map[int]Time{}}
	extra := rapid.IntRange(0, max(1, run.initialProxies*growth/part)).Draw(t, "extra")
	run.maxLagMS = rapid.SampledFrom([]int{150, 600, 1000, 1600}).Draw(t, "lag")
	run.loadStart = time.Duration(rapid.IntRange(0, 8000).Draw(t, "load")) * time.Millisecond
	run.fleet = newWarmUpFleet(run.initialProxies + extra)
	for i := range run.initialProxies {
		run.live[i] = true
	}
	for range run.fleet.pickers {
		run.known = append(run.known, -1)
	}
	return run
}

// drawHistory draws changes: proxies join, proxies leave, or the server begins to warm up.
func (run *listingRun) drawHistory(t *rapid.T, part int) {
	run.record(0, 0)
	changes := rapid.IntRange(1, 8).Draw(t, "changes")
	var times []int
	for range changes {
		times = append(times, rapid.IntRange(1000, 10000).Draw(t, "at"))
	}
	slices.Sort(times)
	var warmUntil Time
	for _, ms := range times {
		now := Time(ms) * time.Millisecond
		switch rapid.IntRange(0, 2).Draw(t, "kind") {
		case 0:
			run.drawJoins(t, now)
		case 1:
			run.drawLeaves(t, part)
		case 2:
			if warmUntil < now {
				warmUntil = now + warmUpDuration
			}
		}
		run.record(now, warmUntil)
	}
}

func (run *listingRun) drawJoins(t *rapid.T, now Time) {
	for i := run.initialProxies; i < len(run.fleet.pickers); i++ {
		if run.live[i] || !rapid.Bool().Draw(t, "joins") {
			continue
		}
		run.live[i] = true
		if _, ok := run.joinedAt[i]; !ok {
			run.joinedAt[i] = now
		}
	}
}

func (run *listingRun) drawLeaves(t *rapid.T, part int) {
	for i := range run.initialProxies / part {
		if run.live[i] && rapid.Bool().Draw(t, "goes") {
			run.live[i] = false
		}
	}
}

// record appends the current state to the history.
func (run *listingRun) record(now, warmUntil Time) {
	state := listingState{at: now, warmUntil: warmUntil}
	for i, name := range run.fleet.names {
		_, joined := run.joinedAt[i]
		switch {
		case run.live[i]:
			state.peers = append(state.peers, name)
		case i < run.initialProxies || joined:
			state.downCount++
		}
	}
	run.history = append(run.history, state)
}

// drawLearning draws when each proxy learns of each state, in order. A proxy that joins knows the state of that moment immediately.
func (run *listingRun) drawLearning(t *rapid.T) {
	for i := range run.fleet.pickers {
		var learnsAt []Time
		latestLearned := Time(0)
		for _, state := range run.history {
			learned := state.at
			if state.at > 0 && run.joinedAt[i] != state.at {
				learned += time.Duration(rapid.IntRange(20, run.maxLagMS).Draw(t, "hears")) * time.Millisecond
			}
			latestLearned = max(latestLearned, learned)
			learnsAt = append(learnsAt, latestLearned)
		}
		run.learnsAt = append(run.learnsAt, learnsAt)
	}
}

// simulate returns the times of the requests that were sent to the server during its actual warm-up by proxies that could know of it.
func (run *listingRun) simulate() (sent []Time) {
	const step, end = 20 * time.Millisecond, 14 * time.Second
	for now := Time(0); now < end; now += step {
		for i := range run.fleet.pickers {
			run.update(now, i)
		}
		if now < run.loadStart {
			continue
		}
		warmingUp := run.warmingUp(now)
		for i, p := range run.fleet.pickers {
			if run.known[i] < 0 {
				continue
			}
			result := p.Pick(now, &Request{Route: run.fleet.config.Routes[0], TimeLeft: time.Second}, nil, false)
			if result.Decision != Send {
				continue
			}
			if warmingUp && p.servers["s0"].warmingUp(now) { // proxies that cannot know yet are not counted
				sent = append(sent, now)
			}
			p.Done(now, result.Ticket, Served, 0)
		}
	}
	return sent
}

// warmingUp reports whether the server is actually warming up.
func (run *listingRun) warmingUp(now Time) bool {
	return slices.ContainsFunc(run.history, func(state listingState) bool {
		return state.warmUntil > 0 && now >= state.warmUntil-warmUpDuration && now < state.warmUntil
	})
}

// update gives a proxy the newest state that it learns by now.
func (run *listingRun) update(now Time, i int) {
	if began, late := run.joinedAt[i]; i >= run.initialProxies && (!late || now < began) {
		return
	}
	newest := run.known[i]
	for newest+1 < len(run.history) && run.learnsAt[i][newest+1] <= now {
		newest++
	}
	if newest == run.known[i] || newest < 0 {
		return
	}
	run.known[i] = newest
	run.fleet.pickers[i].UpdateClusterState(now, run.stateOf(now, i, &run.history[newest]))
}

// stateOf returns a state of the history as a proxy sees it. A proxy that the others consider gone continues until it learns of that.
func (run *listingRun) stateOf(now Time, i int, known *listingState) ClusterState {
	state := ClusterState{Config: run.fleet.config, Self: run.fleet.names[i], Peers: known.peers, DownCount: known.downCount}
	if !slices.Contains(state.Peers, state.Self) {
		state.Stale = true
		state.Peers = append(slices.Clone(state.Peers), state.Self)
		slices.Sort(state.Peers)
	}
	if known.warmUntil > 0 {
		state.Servers = []Server{{ID: "s0", Service: "a", Zone: "z", Slots: 1000, WarmUpMax: max(0, known.warmUntil-now)}}
	}
	return state
}
