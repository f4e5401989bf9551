package replication

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

// outageCatchUpBound is the time after the last fault within which a member that missed hundreds of changes must catch up.
const outageCatchUpBound = 5 * time.Second

// outageModes are the ways in which a node is unavailable.
var outageModes = map[string]func(w *clusterSim, m *simNode) (back func()){
	"killed": func(_ *clusterSim, m *simNode) func() {
		m.kill()
		return m.start
	},
	"cut off": func(w *clusterSim, m *simNode) func() {
		w.partitionNode(m, partitionModes[0], time.Hour)
		return func() { w.rejoin(m) }
	},
	"cut off, messages late": func(w *clusterSim, m *simNode) func() {
		w.partitionNode(m, partitionModes[1], time.Hour)
		return func() { w.rejoin(m) }
	},
	"killed, starts with as few others as go on": func(w *clusterSim, node *simNode) func() {
		node.kill()
		return func() {
			with := len(w.newest.Voters)/2 + 1
			for i, o := range w.nodes {
				if o == node {
					continue
				}
				o.kill()
				if i%2 == 0 && with > 1 {
					with--
					o.start()
				} else {
					o.restartAfter(3 * time.Second)
				}
			}
			node.start()
		}
	},
	"killed, starts with all others": func(w *clusterSim, m *simNode) func() {
		m.kill()
		return func() {
			w.powerAll(fault{})
			m.start()
		}
	},
	"frozen": func(_ *clusterSim, m *simNode) func() {
		m.pause(time.Hour)
		return m.resume
	},
}

// rejoin ends all partitions of a node.
func (w *clusterSim) rejoin(m *simNode) {
	var ends [][2]string
	for k := range w.partitioned {
		if k[0] == m.member.Addr || k[1] == m.member.Addr {
			ends = append(ends, k)
		}
	}
	for _, k := range sortedPaths(ends) {
		w.healPath(k)
	}
}

// outageRun is the result of a run in which a member is unavailable.
type outageRun struct {
	missed           uint64
	installs         int // snapshots that it was sent after its return
	upstreamLosses   int // nodes that were lost while sending records or a snapshot to it
	caughtUpAfter    time.Duration
	longest          int // records in the longest log of any node
	changesMeanwhile int // changes made while it caught up
	err              error
}

// playOutage keeps a member unavailable for n changes at 20 a second. Changes continue while it returns, and the first node that
// sends it a snapshot, or otherwise the first that sends it records, is killed at that moment.
func playOutage(seed uint64, layout topology, role, mode string, changes int, knobs TestingKnobs) *outageRun {
	out := &outageRun{}
	w := newClusterSim(seed, layout, knobs)
	w.operate()
	w.runUntil(5 * time.Second)
	if w.newest == nil {
		out.err = fmt.Errorf("there is no view: %w", w.violation)
		return out
	}
	absent := nodeRoles[role](w)
	if absent == nil {
		out.err = fmt.Errorf("there is no node in the role %s", role)
		return out
	}
	held := absent.core.chain.commitIndex
	back := outageModes[mode](w, absent)
	w.writeUnless(changes+5, 50*time.Millisecond, absent)
	out.missed = w.acked - held
	w.onStep = func(name, addr string) {
		if name == "receive install" && addr == absent.member.Addr {
			out.installs++
		}
		for _, o := range w.nodes {
			if o.isRunning() {
				out.longest = max(out.longest, len(o.core.chain.log.entries))
			}
		}
	}
	kill := func(feeder *simNode) {
		if out.upstreamLosses == 0 {
			out.upstreamLosses++
			w.apply(fault{kind: faultKill, a: feeder.name, duration: time.Second})
		}
	}
	w.arm(&stepTrigger{name: "send install", remaining: 1, to: absent.member.Addr, action: kill})
	w.after(600*time.Millisecond, func() {
		w.arm(&stepTrigger{name: "send append", remaining: 2, to: absent.member.Addr, action: kill})
	})
	back()
	before := len(w.committedRecords)
	caughtUpAt := w.watchCatchUp(absent)
	w.writeUnless(60, 50*time.Millisecond, absent)
	out.changesMeanwhile = len(w.committedRecords) - before
	w.runUntil(w.now + 2*outageCatchUpBound)
	out.caughtUpAfter = max(0, *caughtUpAt-w.eventAt)
	out.err = w.converge(8 * time.Second)
	return out
}

// watchCatchUp records the time when a member last caught up: it is current and has everything that was acknowledged a second ago.
func (w *clusterSim) watchCatchUp(m *simNode) *time.Duration {
	at, was := w.now, false
	current := -time.Hour // when it was last current; a learner is not current for some milliseconds between a record and its write
	target := w.acked
	var checkLevel func()
	checkLevel = func() {
		if m.core != nil && !m.paused && m.core.Current(m.clock()) {
			current = w.now
		}
		is := m.core != nil && m.core.chain.commitIndex >= max(target, w.ackedBefore(w.now-time.Second)) && w.now-current < 500*time.Millisecond
		if !is || !was {
			at = w.now
		}
		was = is
		if !w.clientsDone {
			w.after(20*time.Millisecond, checkLevel)
		}
	}
	checkLevel()
	return &at
}

// outageJob is one run of an outage.
type outageJob struct {
	topology
	role, mode string
	seed       uint64
}

// outageJobs returns the runs: a third of them by default, all with REPLICATION_AWAY.
func outageJobs(changes int) []outageJob {
	var jobs []outageJob
	for i, layout := range []topology{{3, 0, 1, 3, 0, 0}, {5, 0, 2, 3, 1, 0}, {4, 1, 1, 2, 0, 0}} {
		for _, role := range []string{"head", "second", "tail", "outsider"} {
			for _, mode := range slices.Sorted(maps.Keys(outageModes)) {
				if role == "outsider" && layout.spares+layout.observers == 0 || (raceDetector || testing.Short()) && (i > 0 || mode != "killed") {
					continue
				}
				if k := len(role) + len(mode); changes == 400 && !raceDetector && k%3 != i {
					continue
				}
				jobs = append(jobs, outageJob{layout, role, mode, uint64(i + 1)})
			}
		}
	}
	return jobs
}

// check returns what is wrong with an outage of the given number of changes, or an empty string.
func (run *outageRun) check(changes int) string {
	switch {
	case run.err != nil:
		return run.err.Error()
	case run.missed < uint64(changes):
		return fmt.Sprintf("it missed only %d changes", run.missed)
	case run.caughtUpAfter > outageCatchUpBound:
		return fmt.Sprintf("caught up only after %v", run.caughtUpAfter)
	case run.longest > 100: // a snapshot every 20 records, 5 retained below it, and the records in flight
		return fmt.Sprintf("a log of %d records", run.longest)
	case run.changesMeanwhile < 20:
		return fmt.Sprintf("only %d changes were made in the meantime", run.changesMeanwhile)
	}
	return ""
}

// TestHardeningOutageOfHundredsOfChanges checks that a member that missed hundreds of changes catches up within outageCatchUpBound
// after the last fault, although changes continue and the node that sends it records is lost, and that logs stay bounded. It guards
// against a member that leads or serves proxies with stale state, or never catches up. REPLICATION_AWAY=2000 selects the deep run,
// 401 all runs of the usual length.
func TestHardeningOutageOfHundredsOfChanges(t *testing.T) {
	changes := envInt("REPLICATION_AWAY", 400)
	jobs := outageJobs(changes)
	got := make([]*outageRun, len(jobs))
	inParallel(len(jobs), func(i int) {
		got[i] = playOutage(jobs[i].seed, jobs[i].topology, jobs[i].role, jobs[i].mode, changes, TestingKnobs{})
	})
	var sum outageRun
	for i, run := range got {
		if problem := run.check(changes); problem != "" {
			t.Errorf("%v: %s", jobs[i], problem)
		}
		sum.caughtUpAfter = max(sum.caughtUpAfter, run.caughtUpAfter)
		sum.longest = max(sum.longest, run.longest)
		sum.installs += run.installs
		sum.upstreamLosses += run.upstreamLosses
	}
	t.Logf("%d runs, away for %d changes: caught up after at most %v, %d snapshots sent, %d upstream losses meanwhile, logs of at most %d records",
		len(jobs), changes, sum.caughtUpAfter, sum.installs, sum.upstreamLosses, sum.longest)
	if sum.installs == 0 || sum.upstreamLosses == 0 {
		t.Error("no snapshot was sent, or no upstream was lost")
	}
}

// TestHardeningOutageControls disables protections; the same runs must then violate an invariant.
func TestHardeningOutageControls(t *testing.T) {
	for name, c := range map[string]struct {
		role, mode string
		TestingKnobs
	}{
		"the past is passed on":      {"tail", "cut off", TestingKnobs{SkipCurrentMajority: true}},
		"a fresh tail answers reads": {"tail", "killed, starts with all others", TestingKnobs{SkipMinReadIndex: true}},
		"the tail answers blindly":   {"tail", "cut off", TestingKnobs{SkipReadConfirmation: true}},
	} {
		var err error
		seed := uint64(0)
		for err == nil && seed < 40 {
			seed++
			err = playOutage(seed, topology{3, 1, 1, 3, 0, 0}, c.role, c.mode, 60, c.TestingKnobs).err
		}
		if err == nil {
			t.Errorf("%s: no invariant was violated", name)
			continue
		}
		t.Logf("%s: seed %d: %v", name, seed, err)
	}
}
