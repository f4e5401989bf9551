package pick

import (
	"fmt"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
)

// newPoolPicker returns a picker that knows n servers of one region and has not seen any prompts.
func newPoolPicker(n int) *Picker {
	picker := New(Settings{Zone: "z1", Region: "r1", Regions: testRegions})
	state := ClusterState{Config: &config.Config{Services: map[string]*config.Service{"lm": {Name: "lm", Engine: &config.Engine{Slots: 8, CacheTokens: 100_000}}}}}
	for i := range n {
		state.Servers = append(state.Servers, Server{ID: fmt.Sprint("s", i), Service: "lm", Address: fmt.Sprint(i), Zone: "z1", Slots: 8})
	}
	picker.UpdateClusterState(0, state)
	return picker
}

func poolSize(picker *Picker) (n int) {
	for _, s := range picker.servers {
		if s.inPromptPool {
			n++
		}
	}
	return n
}

// updateDemand updates a picker with the recent demand of the other proxies, in tokens of long and of short prompts.
func updateDemand(picker *Picker, now Time, long, short int64) {
	picker.UpdatePeerLoads(now, map[string]Load{demandKey("lm"): {Prefill: long, Tokens: short}})
}

// TestPromptPoolFollowsTheWork changes the share of the work that long prompts cause: after its first move the pool
// follows in bounded steps with pauses between them, and both kinds of prompts always keep at least one server.
func TestPromptPoolFollowsTheWork(t *testing.T) {
	picker, now := newPoolPicker(20), Time(0)
	if n := poolSize(picker); n != 10 {
		t.Fatalf("a pool of %d servers before any demand is known, want half of 20", n)
	}
	isFirstMove := true
	for _, c := range []struct{ long, short, want int64 }{{800_000, 200_000, 16}, {50_000, 950_000, 1}, {1_000_000, 0, 18}, {0, 1_000_000, 1}} {
		before, moves := poolSize(picker), 0
		for end := now + 60*time.Second; now < end; now += 100 * time.Millisecond {
			updateDemand(picker, now, c.long, c.short)
			if n := poolSize(picker); n != before {
				if step := max(n-before, before-n); step > 5 && !isFirstMove {
					t.Fatalf("the pool changed by %d servers in one move", step)
				}
				before, moves, isFirstMove = n, moves+1, false
			}
		}
		if n := poolSize(picker); n != int(c.want) {
			t.Errorf("%d tokens of long prompts and %d of short ones: a pool of %d, want %d", c.long, c.short, n, c.want)
		}
		if moves > 20 {
			t.Errorf("%d moves to reach the target, want at most 20", moves)
		}
	}
}

// TestPromptPoolIgnoresSmallDemandChanges varies the demand by less than one
// server's share: the pool, and so the homes of prefixes, must not change.
func TestPromptPoolIgnoresSmallDemandChanges(t *testing.T) {
	picker, now := newPoolPicker(20), Time(0)
	for i := range 600 {
		now += 100 * time.Millisecond
		updateDemand(picker, now, 500_000+int64(i%2)*60_000-30_000, 500_000)
		if n := poolSize(picker); n != 10 {
			t.Fatalf("the pool changed to %d servers after %v", n, now)
		}
	}
}

// TestPromptPoolWithoutPeerDemand checks that a proxy that knows only its own demand, which is not conclusive, keeps its pool unchanged.
func TestPromptPoolWithoutPeerDemand(t *testing.T) {
	picker := newPoolPicker(20)
	now := time.Minute
	picker.groups["lm"].demand.Add(now, true, 5_000_000)
	picker.assignPromptPools(now, picker.groups["lm"])
	if n := poolSize(picker); n != 10 {
		t.Errorf("the pool changed to %d servers", n)
	}
}

// TestPromptPoolsAgree sends different prompts to two proxies that share their demands: their pools must be the same.
func TestPromptPoolsAgree(t *testing.T) {
	first, second := newPoolPicker(20), newPoolPicker(20)
	now := Time(0)
	for range 30 {
		now += time.Second
		first.groups["lm"].demand.Add(now, true, 70_000)
		second.groups["lm"].demand.Add(now, false, 30_000)
		sharedLoads := func(x *Picker) map[string]Load {
			x.groups["lm"].demand.Decay(now)
			loads := map[string]Load{}
			x.PromptDemands().AddTo(loads)
			return loads
		}
		firstLoads, secondLoads := sharedLoads(first), sharedLoads(second)
		first.UpdatePeerLoads(now, secondLoads)
		second.UpdatePeerLoads(now, firstLoads)
		for id, s := range first.servers {
			if s.inPromptPool != second.servers[id].inPromptPool {
				t.Fatalf("after %v %s is in the pool of only one of the proxies", now, id)
			}
		}
	}
	if n := poolSize(first); n != 14 {
		t.Errorf("a pool of %d servers for 0.7 of the work, want 14", n)
	}
}

// TestPromptPoolKeepsItsShareWhereServersLeave removes half of the servers: the pool keeps its share.
func TestPromptPoolKeepsItsShareWhereServersLeave(t *testing.T) {
	picker := newPoolPicker(20)
	var state ClusterState
	state.Config = picker.state.Config
	state.Servers = append(state.Servers, picker.state.Servers[:10]...)
	picker.UpdateClusterState(time.Second, state)
	if n := poolSize(picker); n != 5 {
		t.Errorf("a pool of %d of 10 servers, want half", n)
	}
}

// TestPoolLeavesSlots has short prompts use most slots of a region while long prompts cause
// most of the prefill work: the pool leaves the servers whose slots the short prompts need.
func TestPoolLeavesSlots(t *testing.T) {
	picker, now := newPoolPicker(20), Time(0)
	for _, c := range []struct{ requests, want int }{{0, 16}, {3, 6}, {8, 1}, {1, 15}} {
		for end := now + 60*time.Second; now < end; now += 100 * time.Millisecond {
			loads := map[string]Load{demandKey("lm"): {Prefill: 800_000, Tokens: 200_000}}
			for id := range picker.servers {
				loads[id] = Load{Requests: c.requests}
			}
			picker.groups["lm"].mix.RecordShort(now, ownRegion)
			picker.UpdatePeerLoads(now, loads)
		}
		if n := poolSize(picker); n != c.want {
			t.Errorf("%d requests at each server of 8 slots: a pool of %d, want %d", c.requests, n, c.want)
		}
	}
}
