package replication

import (
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"testing"
	"time"
)

// firstLoss is a fault that the nodes repair, or a planned change of the membership.
type firstLoss struct {
	name  string
	shape topology
	start func(*clusterSim)
}

// incidents are the first losses during which a second fault is injected at every step. In the first four a second disk may be lost
// during the repair, in the others only afterwards.
var incidents = []firstLoss{
	{"a lost head", topology{5, 0, 2, 3, 0, 0}, func(w *clusterSim) { w.replica(0).loseFor(w, time.Second) }},
	{"a lost tail", topology{5, 0, 2, 3, 0, 0}, func(w *clusterSim) { w.replica(-1).loseFor(w, time.Second) }},
	{"a replacement without warning", topology{5, 0, 2, 3, 0, 0}, func(w *clusterSim) { w.replace(w.replica(1), fault{duration: time.Second}) }},
	{"a replacement with warning", topology{5, 0, 2, 3, 0, 0}, func(w *clusterSim) { w.replace(w.replica(1), fault{duration: time.Second, n: 1}) }},
	{"a replaced head", topology{3, 0, 1, 3, 0, 0}, func(w *clusterSim) { w.replace(w.replica(0), fault{duration: 500 * time.Millisecond}) }},
	{"a joining for a lost voter", topology{3, 1, 1, 3, 0, 0}, func(w *clusterSim) { w.replace(w.replica(1), fault{duration: time.Hour}) }},
	{"a leaving head", topology{3, 0, 1, 3, 0, 0}, func(w *clusterSim) { w.apply(fault{kind: faultLeave, a: w.replica(0).name, duration: time.Second}) }},
	{"a leaving tail", topology{4, 0, 1, 2, 0, 0}, func(w *clusterSim) { w.apply(fault{kind: faultLeave, a: w.replica(-1).name, duration: time.Second}) }},
	{"a killed head", topology{3, 0, 1, 3, 0, 0}, func(w *clusterSim) { w.apply(fault{kind: faultKill, a: w.replica(0).name, duration: time.Second}) }},
	{"a start of all", topology{3, 0, 1, 3, 0, 0}, func(w *clusterSim) { w.powerAll(fault{}) }},
}

// secondFaults are injected at a step of a first loss.
var secondFaults = []faultKind{faultKill, faultPause, faultIsolate, faultWipe, faultPowerAll}

// replica returns the node of a replica, counted from the end if i is negative.
func (w *clusterSim) replica(i int) *simNode {
	v := w.newest
	if i < 0 {
		i += len(v.Chain)
	}
	m, _ := v.Voter(v.Chain[i])
	return w.nodeAt(m.Addr)
}

// loseFor empties the disk of a node, which is down for a while.
func (m *simNode) loseFor(w *clusterSim, away time.Duration) {
	if w.loseDisk(m) {
		m.restartAfter(away)
	}
}

// startIn runs the simulation of a first loss up to its beginning, with clients running.
func (i firstLoss) startIn(seed uint64, h TestingKnobs) *clusterSim {
	w := newClusterSim(seed, i.shape, h)
	w.operate()
	w.runUntil(6 * time.Second)
	return w
}

const (
	repairBound = 4 * time.Second // catchUpTime: a first loss alone is repaired by then
	maxNth      = 3               // occurrences of the same step of a first loss
)

// steps returns the steps between the beginning of a first loss and the end of its repair, and how often each occurs.
func (i firstLoss) steps(seed uint64) (map[string]int, error) {
	w := i.startIn(seed, TestingKnobs{})
	count := map[string]int{}
	w.onStep = func(name, _ string) { count[name]++ }
	i.start(w)
	w.runUntil(w.now + 1500*time.Millisecond)
	w.runWhile(repairBound, func() bool { return !w.isFullyReplicated() })
	if w.violation == nil && !w.isFullyReplicated() {
		w.fail(fmt.Errorf("%s is not repaired within %v", i.name, repairBound))
	}
	return count, w.violation
}

// repairTrial is a second fault at a step of a first loss.
type repairTrial struct {
	first  firstLoss
	step   string
	nth    int
	before bool
	second faultKind
}

func (t repairTrial) String() string {
	return fmt.Sprintf("%s, %s at %q number %d, before %v", t.first.name, faultNames[t.second], t.step, t.nth, t.before)
}

// play runs a trial and reports whether the second fault was injected.
func (t repairTrial) play(seed uint64, h TestingKnobs) (bool, error) {
	w := t.first.startIn(seed, h)
	injected := false
	w.arm(&stepTrigger{name: t.step, remaining: t.nth, before: t.before, action: func(m *simNode) {
		if m.removed {
			return
		}
		lost := w.lost
		w.apply(fault{kind: t.second, a: m.name, duration: 1200 * time.Millisecond})
		injected = t.second != faultWipe || w.lost > lost
	}})
	t.first.start(w)
	w.runUntil(w.now + 5*time.Second)
	w.heal()
	w.expectAck("after the second fault")
	err := w.converge(8 * time.Second)
	return injected, err
}

// trials returns all second faults at all steps of the incidents.
func trials(t *testing.T) []repairTrial {
	var out []repairTrial
	for _, i := range incidents {
		steps, err := i.steps(1)
		if err != nil {
			t.Fatalf("%s alone: %v", i.name, err)
		}
		for _, name := range slices.Sorted(maps.Keys(steps)) {
			for nth := 1; nth <= min(maxNth, steps[name]); nth++ {
				for _, second := range secondFaults {
					out = append(out, repairTrial{i, name, nth, true, second}, repairTrial{i, name, nth, false, second})
				}
			}
		}
	}
	return out
}

// TestHardeningSecondLossAtEachStepOfARepair injects a second fault at the steps of repairs, replacements, joins and departures: a
// message of a given kind is sent or received, or a write begins or has completed. It guards against the loss of acknowledged
// changes, and against a system that no longer acknowledges any. REPLICATION_STRIDE=1 runs all trials.
func TestHardeningSecondLossAtEachStepOfARepair(t *testing.T) {
	all := trials(t)
	stride := envInt("REPLICATION_STRIDE", 40)
	if raceDetector {
		stride *= 10
	}
	var injected, completed atomic.Int64
	inParallel((len(all)+stride-1)/stride, func(i int) {
		if i *= stride; t.Failed() {
			return
		}
		ok, err := all[i].play(uint64(1+i%7), TestingKnobs{})
		completed.Add(1)
		if ok {
			injected.Add(1)
		}
		if err != nil {
			t.Errorf("seed %d, %v: %v", 1+i%7, all[i], err)
		}
	})
	t.Logf("%d trials, %d run, %d with the second fault injected", len(all), completed.Load(), injected.Load())
	if injected.Load() < completed.Load()/2 {
		t.Error("most second faults were not injected")
	}
}

// TestHardeningSecondLossControls disables protections; some step must then violate an invariant.
func TestHardeningSecondLossControls(t *testing.T) {
	all := trials(t)
	for name, c := range map[string]struct {
		TestingKnobs
		known int // a trial that violates an invariant
	}{
		"the head acknowledges what it alone holds":     {TestingKnobs{AcknowledgeAtHead: true}, 0},
		"a wiped disk keeps its vote":                   {TestingKnobs{KeepIdentityOfLostDisk: true}, 0},
		"messages go out before the write they rest on": {TestingKnobs{SendBeforeWrite: true}, 0},
	} {
		var err error
		for n := 0; n < 600 && err == nil; n++ {
			i := (c.known + 16*n) % len(all)
			if _, err = all[i].play(uint64(1+i%7), c.TestingKnobs); err != nil {
				t.Logf("%s: trial %d, %v: %v", name, i, all[i], err)
			}
		}
		if err == nil {
			t.Errorf("%s: no invariant was violated", name)
		}
	}
}

// TestHardeningSecondLossRightAfterARepair loses each replica in turn at the moment when the previous loss has been repaired.
func TestHardeningSecondLossRightAfterARepair(t *testing.T) {
	lost := 0
	for _, first := range incidents {
		for place := range 5 {
			w := first.startIn(uint64(place+1), TestingKnobs{})
			first.start(w)
			w.runUntil(w.now + 1500*time.Millisecond)
			if !w.runWhile(repairBound, func() bool { return !w.isFullyReplicated() }) {
				t.Fatalf("%s is not repaired within %v: %v", first.name, repairBound, w.violation)
			}
			if place >= len(w.newest.Chain) {
				continue
			}
			m, before := w.replica(place), w.acked
			m.loseFor(w, time.Second)
			if w.lost != 1 || m.isRunning() {
				t.Fatalf("%s: replica %d was not lost", first.name, place)
			}
			lost++
			w.runUntil(w.now + 1500*time.Millisecond)
			if !w.runWhile(repairBound, func() bool { return !w.isFullyReplicated() || w.acked == before }) {
				t.Fatalf("%s, then replica %d: not repaired within %v: %v", first.name, place, repairBound, w.violation)
			}
			if err := w.converge(6 * time.Second); err != nil {
				t.Errorf("%s, then replica %d: %v", first.name, place, err)
			}
		}
	}
	t.Logf("%d second losses", lost)
}
