package replication

import (
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"testing"
	"time"
)

// incident is something that the keepers repair, or a planned change of who they are.
type incident struct {
	name  string
	shape shape
	begin func(*world)
}

// incidents are those whose every step meets a second trouble. In the first four a second disk may be lost on the way, in
// the others only after the repair.
var incidents = []incident{
	{"a lost head", shape{5, 0, 2, 3, 0, 0}, func(w *world) { w.link(0).loseFor(w, time.Second) }},
	{"a lost tail", shape{5, 0, 2, 3, 0, 0}, func(w *world) { w.link(-1).loseFor(w, time.Second) }},
	{"a replacement without warning", shape{5, 0, 2, 3, 0, 0}, func(w *world) { w.replace(w.link(1), fault{dur: time.Second}) }},
	{"a replacement with warning", shape{5, 0, 2, 3, 0, 0}, func(w *world) { w.replace(w.link(1), fault{dur: time.Second, n: 1}) }},
	{"a replaced head", shape{3, 0, 1, 3, 0, 0}, func(w *world) { w.replace(w.link(0), fault{dur: 500 * time.Millisecond}) }},
	{"a joining for a lost voter", shape{3, 1, 1, 3, 0, 0}, func(w *world) { w.replace(w.link(1), fault{dur: time.Hour}) }},
	{"a leaving head", shape{3, 0, 1, 3, 0, 0}, func(w *world) { w.apply(fault{kind: faultLeave, a: w.link(0).name, dur: time.Second}) }},
	{"a leaving tail", shape{4, 0, 1, 2, 0, 0}, func(w *world) { w.apply(fault{kind: faultLeave, a: w.link(-1).name, dur: time.Second}) }},
	{"a killed head", shape{3, 0, 1, 3, 0, 0}, func(w *world) { w.apply(fault{kind: faultKill, a: w.link(0).name, dur: time.Second}) }},
	{"a start of all", shape{3, 0, 1, 3, 0, 0}, func(w *world) { w.powerAll(fault{}) }},
}

// secondTroubles strike at a step of an incident.
var secondTroubles = []faultKind{faultKill, faultFreeze, faultIsolate, faultWipe, faultPowerAll}

// link is the machine of a link, counted from the end when i is negative.
func (w *world) link(i int) *machine {
	v := w.newest
	if i < 0 {
		i += len(v.Chain)
	}
	m, _ := v.Voter(v.Chain[i])
	return w.at(m.Addr)
}

// loseFor empties the disk of a machine, which is away for a while.
func (m *machine) loseFor(w *world, away time.Duration) {
	if w.lose(m) {
		m.back(away)
	}
}

// begun runs an incident's world up to where it begins, with clients at work.
func (i incident) begun(seed uint64, h TestingKnobs) *world {
	w := newWorld(seed, i.shape, h)
	w.operate()
	w.runUntil(6 * time.Second)
	return w
}

const (
	repairBound = 4 * time.Second // catchUp: an incident alone is over by then
	maxNth      = 3               // of the same step of an incident
)

// steps lists what happens between the beginning of an incident and its end: each step and how often it is taken.
func (i incident) steps(seed uint64) (map[string]int, error) {
	w := i.begun(seed, TestingKnobs{})
	count := map[string]int{}
	w.onStep = func(name, _ string) { count[name]++ }
	i.begin(w)
	w.runUntil(w.now + 1500*time.Millisecond)
	w.runWhile(repairBound, func() bool { return !w.whole() })
	if w.broken == nil && !w.whole() {
		w.fail(fmt.Errorf("%s is not over within %v", i.name, repairBound))
	}
	return count, w.broken
}

// trial is a second trouble at a step of an incident.
type trial struct {
	incident incident
	step     string
	nth      int
	before   bool
	trouble  faultKind
}

func (t trial) String() string {
	return fmt.Sprintf("%s, %s at %q number %d, before %v", t.incident.name, faultNames[t.trouble], t.step, t.nth, t.before)
}

// play runs a trial and tells whether the trouble came about.
func (t trial) play(seed uint64, h TestingKnobs) (bool, error) {
	w := t.incident.begun(seed, h)
	struck := false
	w.arm(&armedStep{name: t.step, left: t.nth, before: t.before, do: func(m *machine) {
		if m.gone {
			return
		}
		lost := w.lost
		w.apply(fault{kind: t.trouble, a: m.name, dur: 1200 * time.Millisecond})
		struck = t.trouble != faultWipe || w.lost > lost
	}})
	t.incident.begin(w)
	w.runUntil(w.now + 5*time.Second)
	w.heal()
	w.expectAck("after the trouble")
	err := w.settle(8 * time.Second)
	return struck, err
}

// trials lists all second troubles at all steps of the incidents.
func trials(t *testing.T) []trial {
	var out []trial
	for _, i := range incidents {
		steps, err := i.steps(1)
		if err != nil {
			t.Fatalf("%s alone: %v", i.name, err)
		}
		for _, name := range slices.Sorted(maps.Keys(steps)) {
			for nth := 1; nth <= min(maxNth, steps[name]); nth++ {
				for _, trouble := range secondTroubles {
					out = append(out, trial{i, name, nth, true, trouble}, trial{i, name, nth, false, trouble})
				}
			}
		}
	}
	return out
}

// TestHardeningSecondLossAtEachStepOfARepair brings about a second trouble at the steps of repairs, replacements, joinings
// and leavings: a message of a kind goes out or comes in, a write begins or has come about. REPLICATION_STRIDE=1 plays all.
// Danger: what was acknowledged is gone, or nothing is acknowledged any more.
func TestHardeningSecondLossAtEachStepOfARepair(t *testing.T) {
	all := trials(t)
	stride := envInt("REPLICATION_STRIDE", 40)
	if raceDetector {
		stride *= 10
	}
	var struck, played atomic.Int64
	inParallel((len(all)+stride-1)/stride, func(i int) {
		if i *= stride; t.Failed() {
			return
		}
		ok, err := all[i].play(uint64(1+i%7), TestingKnobs{})
		played.Add(1)
		if ok {
			struck.Add(1)
		}
		if err != nil {
			t.Errorf("seed %d, %v: %v", 1+i%7, all[i], err)
		}
	})
	t.Logf("%d steps with a trouble each, %d played, %d came about", len(all), played.Load(), struck.Load())
	if struck.Load() < played.Load()/2 {
		t.Error("most troubles did not come about")
	}
}

// TestHardeningSecondLossControls takes protections out; some step must then break.
func TestHardeningSecondLossControls(t *testing.T) {
	all := trials(t)
	for name, c := range map[string]struct {
		TestingKnobs
		known int // a trial that breaks
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
			t.Errorf("%s: nothing broke", name)
		}
	}
}

// TestHardeningSecondLossRightAfterARepair loses each link in turn at the very moment when the loss before is made good.
func TestHardeningSecondLossRightAfterARepair(t *testing.T) {
	lost := 0
	for _, i := range incidents {
		for place := range 5 {
			w := i.begun(uint64(place+1), TestingKnobs{})
			i.begin(w)
			w.runUntil(w.now + 1500*time.Millisecond)
			if !w.runWhile(repairBound, func() bool { return !w.whole() }) {
				t.Fatalf("%s is not over within %v: %v", i.name, repairBound, w.broken)
			}
			if place >= len(w.newest.Chain) {
				continue
			}
			m, before := w.link(place), w.acked
			m.loseFor(w, time.Second)
			if w.lost != 1 || m.up() {
				t.Fatalf("%s: link %d was not lost", i.name, place)
			}
			lost++
			w.runUntil(w.now + 1500*time.Millisecond)
			if !w.runWhile(repairBound, func() bool { return !w.whole() || w.acked == before }) {
				t.Fatalf("%s, then link %d: not over within %v: %v", i.name, place, repairBound, w.broken)
			}
			if err := w.settle(6 * time.Second); err != nil {
				t.Errorf("%s, then link %d: %v", i.name, place, err)
			}
		}
	}
	t.Logf("%d second losses", lost)
}
