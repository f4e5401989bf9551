package failuredetector

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The bound within which all watchers know a dead process dead, at beats of 400 ms.
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
					t.Fatalf("%s watches %s, which beats to %v", node, n, Watchers(n, live, watcherCount))
				}
			}
		}
		if want := len(live) * min(watcherCount, len(live)-1); count != want {
			t.Fatalf("%d pairs, want %d", count, want)
		}
	})
}

func eachSeed(t *testing.T, run func(t *testing.T, seed uint64)) {
	t.Helper()
	for seed := range seeds() {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { run(t, seed) })
	}
}

// Loss, cuts of a few pairs and processes that are paused: nobody that lives and is reachable is called down.
func TestNoFalsePositives(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		w := newSimulation(t, seed, 24, Options{})
		w.interRegion, w.loss = seed%2 == 0, 0.05
		w.run(3 * time.Second)
		partitionPairs(w, true)
		w.run(20 * time.Second)
		partitionPairs(w, false)
		w.run(5 * time.Second)
		w.checkCalm()
		if len(w.verdicts) > 0 {
			t.Errorf("verdicts: %v", w.verdicts)
		}
	})
}

// partitionPairs cuts each fourth node off from one of its watchers, in one direction or both.
func partitionPairs(w *simulation, on bool) {
	for i := 0; i < len(w.names); i += 4 {
		node := w.names[i]
		watcher := w.watchersOf(node)[i/4%3]
		w.setPartitioned(node, watcher, on)
		if i/4%2 == 0 {
			w.setPartitioned(watcher, node, on)
		}
	}
}

func TestCrashesAreDetectedInTime(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		w := newSimulation(t, seed, 24, Options{})
		w.interRegion, w.loss = seed%2 == 0, float64(seed%3)*0.02
		w.run(3*time.Second + time.Duration(w.rng.IntN(500))*time.Millisecond)
		// A whole zone at once, or one node.
		dead := w.names[4:8]
		if seed%2 == 1 {
			dead = w.names[9:10]
		}
		killed := w.now
		for _, name := range dead {
			w.kill(name)
		}
		w.run(10 * time.Second)
		for _, name := range dead {
			told := w.verdicts[fmt.Sprint(name, "/", w.nodes[name].incarnation)]
			if len(told) == 0 {
				t.Errorf("nobody called %s down", name)
			}
			for who, at := range told {
				if at-killed > detectionBound {
					t.Errorf("%s called %s down after %v", who, name, at-killed)
				}
			}
			if r := w.members[name]; !r.down || r.since-killed > detectionBound+220*time.Millisecond {
				t.Errorf("%s is counted down: %v, after %v", name, r.down, r.since-killed)
			}
		}
		w.checkCalm()
	})
}

// A verdict must come from every watcher, not only from the first: here the members are not told.
func TestEveryWatcherGivesAVerdict(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		w := newSimulation(t, seed, 12, Options{})
		w.interRegion = seed%2 == 0
		w.run(3 * time.Second)
		name := w.randomNode()
		r := w.members[name]
		w.kill(name)
		r.incarnation = 0 // verdicts do not match, so the table stays as it is
		killed := w.now
		w.run(detectionBound)
		told := w.verdicts[fmt.Sprint(name, "/", w.nodes[name].incarnation)]
		var who []string
		for n := range told {
			who = append(who, n)
		}
		if want := sortStrings(w.watchersOf(name)); !slices.Equal(sortStrings(who), want) {
			t.Errorf("%v called %s down %v after its end, want %v", who, name, w.now-killed, want)
		}
	})
}

func TestRestarts(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		w := newSimulation(t, seed, 12, Options{})
		w.loss = 0.02
		w.run(3 * time.Second)
		for range 6 {
			name := w.randomNode()
			w.kill(name)
			w.run(time.Duration(w.rng.IntN(4000)) * time.Millisecond)
			w.start(name)
			w.run(time.Duration(w.rng.IntN(4000)) * time.Millisecond)
		}
		w.run(5 * time.Second)
		w.checkCalm()
		for _, name := range w.names {
			for _, watcher := range w.watchersOf(name) {
				if got := w.nodes[watcher].detector.watched[name]; got == nil || got.incarnation != w.nodes[name].incarnation {
					t.Errorf("%s does not watch the present process of %s", watcher, name)
				}
			}
		}
	})
}

func playFreezes(w *simulation) {
	w.run(3 * time.Second)
	for range 8 {
		// Several at once, so that some who watch each other are paused together.
		paused := []string{w.randomNode(), w.randomNode(), w.randomNode()}
		for _, name := range paused {
			w.freeze(name)
		}
		w.run(time.Duration(200+w.rng.IntN(8000)) * time.Millisecond)
		for _, name := range paused {
			w.thaw(name)
		}
		w.run(time.Duration(w.rng.IntN(3000)) * time.Millisecond)
	}
	w.run(5 * time.Second)
}

func TestResumedNodesPingFirst(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		w := newSimulation(t, seed, 12, Options{})
		w.loss = 0.02
		playFreezes(w)
		w.checkCalm()
		resumed := 0
		for _, n := range w.nodes {
			resumed += n.resumed
			if !n.detector.Connected(w.now) {
				t.Errorf("%s is not connected in calm times", n.name)
			}
		}
		if resumed == 0 {
			t.Error("nobody noticed that it was paused")
		}
	})
}

func TestNotConnectedUntilAnswered(t *testing.T) {
	w := newSimulation(t, 1, 6, Options{})
	name := w.names[0]
	if w.nodes[name].detector.Connected(w.now) {
		t.Error("connected at its start")
	}
	w.run(3 * time.Second)
	if !w.nodes[name].detector.Connected(w.now) {
		t.Error("not connected in calm times")
	}
	w.freeze(name)
	w.run(10 * time.Second)
	for _, other := range w.names[1:] {
		w.setPartitioned(other, name, true) // nobody's answers come through
	}
	w.thaw(name) // with a buffer full of what came while it was paused
	w.run(100 * time.Millisecond)
	if w.nodes[name].detector.Connected(w.now) {
		t.Error("connected after its pause, though nobody has answered")
	}
	w.run(20 * time.Second)
	for key, told := range w.verdicts {
		if _, ok := told[name]; ok {
			t.Errorf("cut off, it called %s down", key)
		}
	}
	for _, other := range w.names[1:] {
		w.setPartitioned(other, name, false)
	}
	w.calmSince = w.now
	w.run(2 * time.Second)
	if !w.nodes[name].detector.Connected(w.now) {
		t.Error("not connected after it was answered")
	}
	w.checkCalm()
}

// Halves that cannot reach each other call each other down, and none stays down when the cut ends.
func TestPartitionHeals(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		w := newSimulation(t, seed, 12, Options{})
		w.run(3 * time.Second)
		part := func(on bool) {
			for _, a := range w.names[:4] {
				for _, b := range w.names[4:] {
					w.setPartitioned(a, b, on)
					if seed%2 == 0 {
						w.setPartitioned(b, a, on)
					}
				}
			}
		}
		part(true)
		w.calmSince = w.now + time.Hour
		w.run(10 * time.Second)
		part(false)
		w.calmSince = w.now
		w.run(3 * time.Second)
		w.checkCalm()
	})
}

func TestLeaveIsNoFailure(t *testing.T) {
	w := newSimulation(t, 1, 8, Options{})
	w.run(3 * time.Second)
	n := w.nodes[w.names[0]]
	n.detector.Leave(w.now)
	w.processReady(n)
	w.kill(n.name)
	w.run(10 * time.Second)
	if len(w.verdicts) > 0 {
		t.Errorf("verdicts on one that left: %v", w.verdicts)
	}
	w.start(n.name)
	w.run(3 * time.Second)
	w.kill(n.name)
	w.run(3 * time.Second)
	if len(w.verdicts) != 1 {
		t.Errorf("verdicts on the process after it: %v, want one", w.verdicts)
	}
}

// Controls: with a protection taken out, the harness must find what it guards against.
func TestProtectionsAreNeeded(t *testing.T) {
	found := func(o Options, faults func(*simulation)) bool {
		for seed := range uint64(20) {
			w := newSimulation(t, seed, 12, o)
			faults(w)
			if len(w.wrongVerdicts) > 0 || w.disconnected > 0 {
				return true
			}
		}
		return false
	}
	// One is paused while it suspects another that was paused, and resumes long after that one.
	turns := func(w *simulation) {
		w.run(3 * time.Second)
		for range 10 {
			name := w.randomNode()
			watcher := w.watchersOf(name)[0]
			w.freeze(name)
			w.run(1600 * time.Millisecond)
			w.freeze(watcher)
			w.thaw(name)
			w.run(5 * time.Second)
			w.thaw(watcher)
			w.run(5 * time.Second)
		}
	}
	if found(Options{}, turns) {
		t.Error("a process that was paused while it suspected another gives a wrong verdict")
	}
	if !found(Options{PauseThreshold: time.Hour}, turns) {
		t.Error("processes that do not notice their pause give no wrong verdict: the harness does not test it")
	}
	if !found(Options{Watchers: 1}, func(w *simulation) {
		w.run(3 * time.Second)
		for _, name := range w.names {
			w.setPartitioned(name, Watchers(name, w.names, 1)[0], true)
			w.run(4 * time.Second)
		}
	}) {
		t.Error("watchers that ask nobody else give no wrong verdict: the harness does not test it")
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
