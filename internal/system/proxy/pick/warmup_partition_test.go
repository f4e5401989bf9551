package pick

import (
	"fmt"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
)

// TestReturningSendersWait: senders of a warming server were given up, stopped when they became stale,
// and are in contact with the control plane again. Their successors continue until they learn of that.
func TestReturningSendersWait(t *testing.T) {
	for _, count := range []int{6, 9, 17} {
		for _, learnDelay := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, time.Second, 1600 * time.Millisecond} {
			for _, idle := range []bool{false, true} {
				t.Run(fmt.Sprint(count, learnDelay, idle), func(t *testing.T) {
					run := newReturnRun(count, learnDelay)
					run.simulate(idle)
					run.fleet.checkBound(t)
				})
			}
		}
	}
}

// returnRun is a fleet in which some senders are given up and return.
type returnRun struct {
	fleet      *warmUpFleet
	removed    map[int]bool  // senders that are given up
	others     []string      // all other proxies
	learnDelay time.Duration // from renewed contact of the removed senders until the others learn of it
}

const returnGivenUp, returnStale, returnBack = 2 * time.Second, 3600 * time.Millisecond, 8 * time.Second

func newReturnRun(count int, learnDelay time.Duration) *returnRun {
	run := &returnRun{fleet: newWarmUpFleet(60), learnDelay: learnDelay}
	run.removed, run.others = run.fleet.splitSenders(count)
	return run
}

// simulate sends requests from the start or, with idle, only from when the removed senders return.
func (run *returnRun) simulate(idle bool) {
	loadFrom := Time(0)
	if idle {
		for now := Time(0); now < returnBack; now += 10 * time.Millisecond {
			run.updateStates(now)
		}
		loadFrom = returnBack
	}
	run.fleet.sendAll(loadFrom, returnBack+3*time.Second, 10*time.Millisecond, run.updateStates)
}

func (run *returnRun) updateStates(now Time) {
	for i, p := range run.fleet.pickers {
		state := run.fleet.state(i, 1, time.Minute-now)
		switch lost := run.removed[i]; {
		case now == returnGivenUp && !lost:
			state.Peers = run.others
		case now == returnStale && lost:
			state.Stale = true
		case now == returnBack && lost:
		case now == returnBack+run.learnDelay && !lost:
		default:
			continue
		}
		p.UpdateClusterState(now, state)
	}
}

// TestPartitionedFleetKeepsTheRate: the control plane's network is partitioned for over 30 s. The proxies on
// both sides get the list as read on their side, and reach the servers; then a server starts and warms up.
func TestPartitionedFleetKeepsTheRate(t *testing.T) {
	for _, minority := range []int{1, 3, 6, 8, 9, 11} {
		t.Run(fmt.Sprint(minority), func(t *testing.T) {
			fleet := newWarmUpFleet(12)
			partitionedState := func(i, servers int, cold time.Duration) ClusterState {
				w := fleet.state(i, servers, cold)
				if i < minority {
					w.Peers, w.Stale = fleet.names[:minority], true
				} else {
					w.Peers = fleet.names[minority:]
				}
				return w
			}
			for i, p := range fleet.pickers {
				p.UpdateClusterState(0, fleet.state(i, 0, 0))
				p.UpdateClusterState(time.Second, partitionedState(i, 0, 0))
			}
			const startedAt = 40 * time.Second
			for i, p := range fleet.pickers {
				p.UpdateClusterState(startedAt, partitionedState(i, 1, warmUpDuration))
			}
			fleet.sendAll(startedAt, startedAt+warmUpDuration, 10*time.Millisecond, nil)
			fleet.checkBound(t)
		})
	}
}

// TestUnseenWarmUpIsNoViolation: a server begins to warm up again 200 ms before the first request goes to it as a warm one, which no
// reading of the list can show by then (PROTOCOL: it may become cold again at any moment). The previous warm-up had ended 1.8 s earlier.
func TestUnseenWarmUpIsNoViolation(t *testing.T) {
	const restartedAt, requestedAt, listedAt = 4800 * time.Millisecond, 5 * time.Second, 5600 * time.Millisecond
	fleet := newWarmUpFleet(1)
	p := fleet.pickers[0]
	before := warmUpEndInvariant.Violations()
	p.UpdateClusterState(0, fleet.state(0, 1, warmUpDuration))
	fleet.sendAll(0, warmUpDuration, 10*time.Millisecond, nil)
	fleet.sendAll(requestedAt, requestedAt+10*time.Millisecond, 10*time.Millisecond, nil)
	w := fleet.state(0, 1, restartedAt+warmUpDuration-listedAt)
	w.Servers[0].WarmUpMin = w.Servers[0].WarmUpMax
	p.UpdateClusterState(listedAt, w)
	if warmUpEndInvariant.Violations() != before {
		t.Error("counted as a violation")
	}
}

// TestRateChangedForAMomentIsNoViolation: the configuration has a higher cold_per_s for a moment and is
// then reverted, while requests go to other servers. At most one request is saved up at the higher rate.
func TestRateChangedForAMomentIsNoViolation(t *testing.T) {
	fleet := newWarmUpFleet(1)
	p := fleet.pickers[0]
	before := warmUpRateInvariant.Violations()
	updateRate := func(now Time, rate float64) {
		w := fleet.state(0, 1, 10*time.Second-now)
		w.Config = &config.Config{Routes: fleet.config.Routes, Services: map[string]*config.Service{"a": {Name: "a", WarmUpRequestsPerSecond: rate, WarmUpTime: 10 * time.Second}}}
		p.UpdateClusterState(now, w)
	}
	updateRate(0, 3.1)
	fleet.sendAll(0, 2910*time.Millisecond, 10*time.Millisecond, nil) // the last one is sent at 2.9 s
	n := fleet.sent[len(fleet.sent)-1]
	updateRate(n+10*time.Millisecond, 310)
	p.eligibility(&pickInput{now: n + 20*time.Millisecond}, p.servers["s0"]) // the server is considered, and the request goes to another one
	updateRate(n+30*time.Millisecond, 3.1)
	fleet.sendAll(n+40*time.Millisecond, n+2*time.Second, 10*time.Millisecond, nil)
	if warmUpRateInvariant.Violations() != before {
		t.Error("counted as a violation")
	}
}

// TestCompleteMembershipWaits: proxies that knew a server while their membership was incomplete learn their peers at different times.
func TestCompleteMembershipWaits(t *testing.T) {
	for _, learnDelay := range []time.Duration{300 * time.Millisecond, time.Second, 1600 * time.Millisecond} {
		for _, returning := range []int{6, 9, 17} {
			t.Run(fmt.Sprint(learnDelay, returning), func(t *testing.T) { testCompleteMembershipWaits(t, learnDelay, returning) })
		}
	}
}

// testCompleteMembershipWaits restarts a number of senders (returning) at 0 without the
// control plane, and reconnects them at reconnectedAt; the others learn of it later.
func testCompleteMembershipWaits(t *testing.T, learnDelay time.Duration, returning int) {
	const reconnectedAt = 4 * time.Second
	fleet := newWarmUpFleet(60)
	removed, others := fleet.splitSenders(returning)
	for i, p := range fleet.pickers {
		state := fleet.state(i, 1, time.Minute)
		if removed[i] {
			fleet.pickers[i] = New(p.settings)
			state.MembershipIncomplete, state.Stale = true, true
			fleet.pickers[i].UpdateClusterState(0, state)
			continue
		}
		state.Peers = others
		p.UpdateClusterState(0, state)
	}
	fleet.sendAll(reconnectedAt, reconnectedAt+3*time.Second, 10*time.Millisecond, func(now Time) {
		for i, p := range fleet.pickers {
			if now == reconnectedAt && removed[i] || now == reconnectedAt+learnDelay && !removed[i] {
				p.UpdateClusterState(now, fleet.state(i, 1, time.Minute))
			}
		}
	})
	fleet.checkBound(t)
}

// TestStaleMinorityOfSeventeenSends: a fleet of more than 17 is partitioned for a few seconds, until each side has
// marked the other one down. The smaller side is stale, and learns of a new server from its own control-plane node.
func TestStaleMinorityOfSeventeenSends(t *testing.T) {
	for _, c := range []struct{ all, minority int }{{93, 15}, {93, 17}, {93, 20}, {30, 14}, {24, 8}, {20, 5}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			fleet := newWarmUpFleet(c.all)
			for i, p := range fleet.pickers {
				p.UpdateClusterState(0, fleet.state(i, 0, 0))
			}
			partitionedState := func(i, servers int, cold time.Duration) ClusterState {
				w := fleet.state(i, servers, cold)
				if i < c.minority {
					w.Peers, w.Stale = fleet.names[:c.minority], true
				} else {
					w.Peers = fleet.names[c.minority:]
				}
				return w
			}
			const partitionedAt, startedAt = 5 * time.Second, 10 * time.Second
			for i, p := range fleet.pickers {
				p.UpdateClusterState(partitionedAt, partitionedState(i, 0, 0))
			}
			for i, p := range fleet.pickers {
				p.UpdateClusterState(startedAt, partitionedState(i, 1, warmUpDuration))
			}
			fleet.sendAll(startedAt+800*time.Millisecond, startedAt+warmUpDuration, 10*time.Millisecond, nil)
			fleet.checkBound(t)
		})
	}
}
