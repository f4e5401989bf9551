package replication

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// raceRun is the result of two operators racing to change the same version.
type raceRun struct {
	inFlight    int // concurrent calls
	answered    int // attempts in the race that got a conclusive answer
	lostAnswers int // answers that were lost
	kills       int // nodes killed between the commit and the answer
	changes     int // accepted between the race and the retries
	snapshots   int // nodes whose log no longer contains the race
	retries     map[string][]string
	err         error
}

// playRace sends two different changes of one version through every node concurrently, in eight calls or more. It loses answers,
// kills nodes between commit and answer, and sends both changes again after hundreds of changes and a restart of all nodes.
func playRace(seed uint64, layout topology, between, history int, knobs TestingKnobs, forgetful bool) *raceRun {
	out := &raceRun{retries: map[string][]string{}}
	w := newClusterSim(seed, layout, knobs)
	w.machine = toyMachine{forgetful: forgetful, history: history}
	w.runUntil(4 * time.Second)
	w.write(3, 50*time.Millisecond)
	race := w.newChange(0)
	race.Op, race.Base = controlstate.OpReplace, w.states[len(w.states)-1].rev
	changes := []controlstate.Change{race, race}
	changes[1].Body = fmt.Appendf(nil, "%s of the other", race.Body)

	w.onAnswer = func(call *simCall, done Completion) {
		if !call.read && slices.ContainsFunc(changes, func(c controlstate.Change) bool { return string(c.Body) == string(call.change.Body) }) {
			out.answerRace(w, call, done)
		}
	}
	// Two nodes are killed when they have just written the record and no other node knows of it.
	for range 2 {
		w.arm(&stepTrigger{name: "wrote append", remaining: 1 + w.rng.IntN(layout.diskNodes), before: true, action: func(m *simNode) {
			out.kills++
			w.apply(fault{kind: faultKill, a: m.name, duration: time.Second})
		}})
	}
	for range max(1, 8/layout.diskNodes+1) {
		for _, m := range w.nodes {
			for _, ch := range changes {
				w.submitUntilDone(&simCall{node: m, change: ch, first: w.acked}, 5, func() {})
				out.inFlight++
			}
		}
	}
	w.runUntil(w.now + 8*time.Second)
	raced := uint64(len(w.committedRecords))
	w.onAnswer = nil
	w.write(between, 50*time.Millisecond)
	out.changes = len(w.committedRecords) - int(raced)
	w.powerAll(fault{})
	w.runUntil(w.now + 5*time.Second)
	for _, m := range w.nodes {
		if m.isRunning() && m.core.chain.log.base > raced {
			out.snapshots++
		}
	}
	out.retry(w, changes)
	w.runUntil(w.now + 6*time.Second)
	if w.violation == nil {
		w.checkConverged()
	}
	out.err = w.violation
	return out
}

// retry sends the changes of the race again through every node.
func (got *raceRun) retry(w *clusterSim, changes []controlstate.Change) {
	for i, change := range changes {
		for _, m := range w.nodes {
			call := &simCall{node: m, change: change, ttl: 4 * time.Second}
			name := []string{"lost", "taken"}[min(1, int(w.acceptedAt[keyOf(change)]))]
			call.onDone = func(done Completion) {
				got.retries[name] = append(got.retries[name], fmt.Sprintf("outcome %d kind %d", done.Outcome, done.Verdict.Kind))
			}
			w.after(time.Duration(i)*20*time.Millisecond, func() { w.sendCall(call) })
		}
	}
}

// answerRace loses every second answer of the race.
func (got *raceRun) answerRace(w *clusterSim, call *simCall, done Completion) {
	if isConclusive(done) {
		got.answered++
	}
	if w.rng.IntN(2) != 0 || !call.node.isRunning() || call.closed {
		return
	}
	got.lostAnswers++
	call.closed = true // the caller receives no answer and retries
	again := &simCall{node: w.pickNode(), change: call.change, first: call.first}
	w.after(300*time.Millisecond, func() {
		if again.node != nil {
			w.sendCall(again)
		}
	})
}

// write submits n changes one after another, through any running node, with a pause between them.
func (w *clusterSim) write(n int, pause time.Duration) {
	w.writeUnless(n, pause, nil)
}

// writeUnless is like write, but never uses the node excluded.
func (w *clusterSim) writeUnless(n int, pause time.Duration, excluded *simNode) {
	end := int64(n) + w.states[len(w.states)-1].rev
	next := w.now
	for limit := w.now + 4*time.Duration(n)*pause + 10*time.Second; w.violation == nil && w.now < limit; {
		rev := w.states[len(w.states)-1].rev
		if rev >= end {
			return
		}
		if m := w.pickNode(); m != nil && m != excluded && !m.paused {
			change := w.newChange(50)
			change.Base = rev
			w.sendCall(&simCall{node: m, change: change, first: w.acked, ttl: time.Second})
		}
		next += pause
		w.runUntil(next)
	}
}

// TestHardeningTwoOperatorsOneNumber checks that exactly one of two changes of one version is confirmed, and that an accepted change
// is never refused when it is repeated, even after hundreds of changes, snapshots and a restart of all nodes.
func TestHardeningTwoOperatorsOneNumber(t *testing.T) {
	for i, layout := range []topology{{3, 0, 1, 3, 0, 0}, {5, 1, 2, 3, 0, 0}, {4, 0, 1, 2, 1, 0}, {1, 0, 0, 1, 0, 0}} {
		for j, between := range []int{10, 300, 300} {
			if raceDetector && i+j > 0 {
				continue
			}
			history := []int{toyHistory, toyHistory, 500}[j]
			for seed := range uint64(envInt("REPLICATION_RACES", 2)) {
				got := playRace(seed+1, layout, between, history, TestingKnobs{}, false)
				name := fmt.Sprintf("%v, %d changes between, %d remembered, seed %d", layout, between, history, seed+1)
				got.check(t, name, between, history)
				if seed == 0 {
					t.Logf("%s: %d concurrent calls, %d conclusive answers, %d lost, %d kills, then %v", name, got.inFlight, got.answered, got.lostAnswers, got.kills, got.retries)
				}
			}
		}
	}
}

// check checks the result of a race with the given number of changes between race and retries, and of remembered changes.
func (got *raceRun) check(t *testing.T, name string, between, history int) {
	t.Helper()
	switch {
	case got.err != nil:
		t.Errorf("%s: %v", name, got.err)
	case got.inFlight < 8 || got.answered < 4 || got.lostAnswers == 0 || got.kills == 0 || got.changes < between:
		t.Errorf("%s: the race did not take place as intended: %+v", name, got)
	case between > 100 && got.snapshots == 0:
		t.Errorf("%s: no snapshot covers the race", name)
	case len(got.retries["taken"]) == 0 || len(got.retries["lost"]) == 0:
		t.Errorf("%s: the retries were %v", name, got.retries)
	}
	for _, r := range got.retries["taken"] {
		known, unclear := "outcome 1 kind 1", "outcome 1 kind 4"
		if history > between && r != known || history <= between && r != unclear {
			t.Errorf("%s: an accepted change got %s when it was repeated", name, r)
		}
	}
}

// TestHardeningTwoOperatorsControls disables protections; some seed must then violate an invariant.
func TestHardeningTwoOperatorsControls(t *testing.T) {
	for name, c := range map[string]struct {
		TestingKnobs
		forgetful bool
	}{
		"a judgement is given before it is committed": {TestingKnobs{SkipVerdictConfirmation: true}, false},
		"a change that was taken is not known again":  {TestingKnobs{}, true},
		"the head acknowledges what it alone holds":   {TestingKnobs{AcknowledgeAtHead: true}, false},
	} {
		var err error
		seed := uint64(0)
		for err == nil && seed < 30 {
			seed++
			err = playRace(seed, topology{3, 0, 1, 3, 0, 0}, 10, toyHistory, c.TestingKnobs, c.forgetful).err
		}
		if err == nil {
			t.Errorf("%s: no invariant was violated", name)
			continue
		}
		t.Logf("%s: seed %d: %v", name, seed, err)
	}
}
