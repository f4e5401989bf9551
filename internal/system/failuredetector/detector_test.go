package failuredetector

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// detectionBound is the time within which all watchers detect a crash, with heartbeats every 400 ms.
const detectionBound = 2500 * time.Millisecond

func TestWatchersAndWatchedAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z0-9]{1,8}`), 1, 20, rapid.ID).Draw(t, "live")
		watcherCount := rapid.IntRange(1, 4).Draw(t, "k")
		count := 0
		for _, node := range live {
			watchers := Watchers(node, live, watcherCount)
			if len(watchers) != min(watcherCount, len(live)-1) || slices.Contains(watchers, node) {
				t.Fatalf("%s is watched by %v", node, watchers)
			}
			watched := Watched(node, live, watcherCount)
			count += len(watched)
			for _, n := range watched {
				if !slices.Contains(Watchers(n, live, watcherCount), node) {
					t.Fatalf("%s watches %s, which sends heartbeats to %v", node, n, Watchers(n, live, watcherCount))
				}
			}
		}
		if want := len(live) * min(watcherCount, len(live)-1); count != want {
			t.Fatalf("%d pairs of watcher and watched node, want %d", count, want)
		}
	})
}

func eachSeed(t *testing.T, run func(t *testing.T, seed uint64)) {
	t.Helper()
	for seed := range seeds() {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { run(t, seed) })
	}
}

// TestNoFalsePositives: with packet loss and partitions between a few pairs, no live and reachable process is reported as down.
func TestNoFalsePositives(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		sim := newSimulation(t, seed, 24, Options{})
		sim.interRegion, sim.loss = seed%2 == 0, 0.05
		sim.run(3 * time.Second)
		partitionPairs(sim, true)
		sim.run(20 * time.Second)
		partitionPairs(sim, false)
		sim.run(5 * time.Second)
		sim.checkConverged()
		if len(sim.reportedDown) > 0 {
			t.Errorf("down reports: %v", sim.reportedDown)
		}
	})
}

// partitionPairs partitions each fourth node from one of its watchers, in one direction or both.
func partitionPairs(sim *simulation, on bool) {
	for i := 0; i < len(sim.names); i += 4 {
		node := sim.names[i]
		watcher := sim.watchersOf(node)[i/4%3]
		sim.setPartitioned(node, watcher, on)
		if i/4%2 == 0 {
			sim.setPartitioned(watcher, node, on)
		}
	}
}

func TestCrashesAreDetectedInTime(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		sim := newSimulation(t, seed, 24, Options{})
		sim.interRegion, sim.loss = seed%2 == 0, float64(seed%3)*0.02
		sim.run(3*time.Second + time.Duration(sim.rng.IntN(500))*time.Millisecond)
		// Either all nodes of a zone at the same time, or one node.
		dead := sim.names[4:8]
		if seed%2 == 1 {
			dead = sim.names[9:10]
		}
		killed := sim.now
		for _, name := range dead {
			sim.kill(name)
		}
		sim.run(10 * time.Second)
		for _, name := range dead {
			reports := sim.reportedDown[fmt.Sprint(name, "/", sim.nodes[name].incarnation)]
			if len(reports) == 0 {
				t.Errorf("no watcher reported %s as down", name)
			}
			for who, at := range reports {
				if at-killed > detectionBound {
					t.Errorf("%s reported %s as down after %v", who, name, at-killed)
				}
			}
			if r := sim.members[name]; !r.down || r.since-killed > detectionBound+220*time.Millisecond {
				t.Errorf("%s is listed as down: %v, after %v", name, r.down, r.since-killed)
			}
		}
		sim.checkConverged()
	})
}

// TestEveryWatcherReportsADownNode: a down report must come from every watcher, not only from the first one. In this test the
// membership list does not change.
func TestEveryWatcherReportsADownNode(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		sim := newSimulation(t, seed, 12, Options{})
		sim.interRegion = seed%2 == 0
		sim.run(3 * time.Second)
		name := sim.randomNode()
		r := sim.members[name]
		sim.kill(name)
		r.incarnation = 0 // down reports do not match, so the table stays as it is
		killed := sim.now
		sim.run(detectionBound)
		told := sim.reportedDown[fmt.Sprint(name, "/", sim.nodes[name].incarnation)]
		var reporters []string
		for n := range told {
			reporters = append(reporters, n)
		}
		if want := sortStrings(sim.watchersOf(name)); !slices.Equal(sortStrings(reporters), want) {
			t.Errorf("%v reported %s as down %v after its crash, want %v", reporters, name, sim.now-killed, want)
		}
	})
}

func TestRestarts(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		sim := newSimulation(t, seed, 12, Options{})
		sim.loss = 0.02
		playRestarts(sim)
		sim.checkConverged()
		for _, name := range sim.names {
			for _, watcher := range sim.watchersOf(name) {
				if got := sim.nodes[watcher].detector.watched[name]; got == nil || got.incarnation != sim.nodes[name].incarnation {
					t.Errorf("%s does not watch the current process of %s", watcher, name)
				}
			}
		}
	})
}

func playFreezes(sim *simulation) {
	sim.run(3 * time.Second)
	for range 8 {
		// Pause several nodes at the same time, so that some that watch each other are paused together.
		paused := []string{sim.randomNode(), sim.randomNode(), sim.randomNode()}
		for _, name := range paused {
			sim.freeze(name)
		}
		sim.run(time.Duration(200+sim.rng.IntN(8000)) * time.Millisecond)
		for _, name := range paused {
			sim.thaw(name)
		}
		sim.run(time.Duration(sim.rng.IntN(3000)) * time.Millisecond)
	}
	sim.run(5 * time.Second)
}

func TestResumedNodesPingFirst(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		sim := newSimulation(t, seed, 12, Options{})
		sim.loss = 0.02
		playFreezes(sim)
		sim.checkConverged()
		resumed := 0
		for _, n := range sim.nodes {
			resumed += n.resumed
			if !n.detector.Connected(sim.now) {
				t.Errorf("%s is not connected although there are no faults", n.name)
			}
		}
		if resumed == 0 {
			t.Error("no process detected that it was paused")
		}
	})
}

func TestNotConnectedUntilAnswered(t *testing.T) {
	sim := newSimulation(t, 1, 6, Options{})
	name := sim.names[0]
	if sim.nodes[name].detector.Connected(sim.now) {
		t.Error("connected when it starts")
	}
	sim.run(3 * time.Second)
	if !sim.nodes[name].detector.Connected(sim.now) {
		t.Error("not connected although there are no faults")
	}
	sim.freeze(name)
	sim.run(10 * time.Second)
	for _, other := range sim.names[1:] {
		sim.setPartitioned(other, name, true) // no replies arrive
	}
	sim.thaw(name) // its buffer contains the messages that arrived while it was paused
	sim.run(100 * time.Millisecond)
	if sim.nodes[name].detector.Connected(sim.now) {
		t.Error("connected after its pause, although no ping was answered")
	}
	sim.run(20 * time.Second)
	for key, reports := range sim.reportedDown {
		if _, ok := reports[name]; ok {
			t.Errorf("while partitioned, it reported %s as down", key)
		}
	}
	for _, other := range sim.names[1:] {
		sim.setPartitioned(other, name, false)
	}
	sim.faultFreeSince = sim.now
	sim.run(2 * time.Second)
	if !sim.nodes[name].detector.Connected(sim.now) {
		t.Error("not connected after its pings were answered")
	}
	sim.checkConverged()
}

// TestPartitionHeals: the sides of a partition report each other as down, and no node stays down after the partition heals.
func TestPartitionHeals(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		sim := newSimulation(t, seed, 12, Options{})
		sim.run(3 * time.Second)
		setPartition := func(on bool) {
			for _, a := range sim.names[:4] {
				for _, b := range sim.names[4:] {
					sim.setPartitioned(a, b, on)
					if seed%2 == 0 {
						sim.setPartitioned(b, a, on)
					}
				}
			}
		}
		setPartition(true)
		sim.faultFreeSince = sim.now + time.Hour
		sim.run(10 * time.Second)
		setPartition(false)
		sim.faultFreeSince = sim.now
		sim.run(3 * time.Second)
		sim.checkConverged()
	})
}

func TestLeaveIsNoFailure(t *testing.T) {
	sim := newSimulation(t, 1, 8, Options{})
	sim.run(3 * time.Second)
	n := sim.nodes[sim.names[0]]
	n.detector.Leave(sim.now)
	sim.processReady(n)
	sim.kill(n.name)
	sim.run(10 * time.Second)
	if len(sim.reportedDown) > 0 {
		t.Errorf("down reports about a node that left: %v", sim.reportedDown)
	}
	sim.start(n.name)
	sim.run(3 * time.Second)
	sim.kill(n.name)
	sim.run(3 * time.Second)
	if len(sim.reportedDown) != 1 {
		t.Errorf("down reports about the next process of the node: %v, want one", sim.reportedDown)
	}
}

// TestProtectionsAreNeeded is a control: with a protection disabled, the simulation must produce the failure that it prevents.
func TestProtectionsAreNeeded(t *testing.T) {
	findsWrongReport := func(o Options, faults func(*simulation)) bool {
		for seed := range uint64(20) {
			sim := newSimulation(t, seed, 12, o)
			faults(sim)
			if len(sim.wrongReports) > 0 || sim.disconnected > 0 {
				return true
			}
		}
		return false
	}
	// A watcher is paused while it suspects a node that was paused, and resumes long after that node.
	pauseNodeThenWatcher := func(sim *simulation) {
		sim.run(3 * time.Second)
		for range 10 {
			name := sim.randomNode()
			watcher := sim.watchersOf(name)[0]
			sim.freeze(name)
			sim.run(1600 * time.Millisecond)
			sim.freeze(watcher)
			sim.thaw(name)
			sim.run(5 * time.Second)
			sim.thaw(watcher)
			sim.run(5 * time.Second)
		}
	}
	if findsWrongReport(Options{}, pauseNodeThenWatcher) {
		t.Error("a process that was paused while it suspected another gives a wrong down report")
	}
	if !findsWrongReport(Options{PauseThreshold: time.Hour}, pauseNodeThenWatcher) {
		t.Error("processes that do not detect their pause give no wrong down report: the simulation does not exercise this")
	}
	if !findsWrongReport(Options{Watchers: 1}, func(sim *simulation) {
		sim.run(3 * time.Second)
		for _, name := range sim.names {
			sim.setPartitioned(name, Watchers(name, sim.names, 1)[0], true)
			sim.run(4 * time.Second)
		}
	}) {
		t.Error("a single watcher per node gives no wrong down report: the simulation does not exercise this")
	}
}

func BenchmarkTick(b *testing.B) {
	members := make([]Member, 410)
	for n := range members {
		members[n] = Member{Node: fmt.Sprintf("10.0.%d.%d", n/250, n%250+1), Incarnation: uint64(n)}
	}
	d := NewDetector(Options{Self: members[0].Node, Incarnation: 0})
	b.Run("members", func(b *testing.B) {
		for b.Loop() {
			d.SetMembers(0, members)
		}
	})
	b.Run("tick", func(b *testing.B) {
		var now Time
		for b.Loop() {
			now += 100 * time.Millisecond
			d.Tick(now)
			d.Ready()
		}
	})
}
