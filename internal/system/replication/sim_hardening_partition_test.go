package replication

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

// rejoinBound is the time within which a node must hold everything again and be current after a partition.
const rejoinBound = 3 * time.Second

// partitionMode is how a node is partitioned.
type partitionMode struct {
	name      string
	out, in   bool // the directions that are blocked
	late      bool // messages sent in the meantime arrive after the partition
	reachable bool // operators and proxies still reach it
	paused    bool // the process is paused instead of partitioned
}

var partitionModes = []partitionMode{
	{name: "silent", out: true, in: true},
	{name: "delivered late", out: true, in: true, late: true},
	{name: "only outwards", out: true, late: true},
	{name: "only inwards", in: true, late: true},
	{name: "from keepers only", out: true, in: true, reachable: true},
	{name: "from keepers only, late", out: true, in: true, late: true, reachable: true},
	{name: "frozen", paused: true},
}

// nodeRoles select the node to partition, according to its role at the beginning of the partition.
var nodeRoles = map[string]func(*clusterSim) *simNode{
	"head":   func(w *clusterSim) *simNode { return w.replica(0) },
	"second": func(w *clusterSim) *simNode { return w.replica(1) },
	"tail":   func(w *clusterSim) *simNode { return w.replica(-1) },
	"outsider": func(w *clusterSim) *simNode { // not a replica: a spare or an observer
		for _, m := range w.nodes {
			if m.isRunning() && w.newest.chainIndex(m.core.self.ID) < 0 {
				return m
			}
		}
		return nil
	},
}

// partitionRun is the result of partitioning a node for 20 s while operators continue everywhere.
type partitionRun struct {
	asked         int // calls that reached the node during the partition
	answered      int // of those, the calls that it answered conclusively
	changes       int // acknowledged elsewhere during the partition
	rejoinedAfter time.Duration
	err           error
}

func playPartition(seed uint64, s topology, role string, mode partitionMode, knobs TestingKnobs) *partitionRun {
	const length = 20 * time.Second
	out := &partitionRun{}
	w := newClusterSim(seed, s, knobs)
	w.operate()
	w.runUntil(5 * time.Second)
	node := nodeRoles[role](w)
	if node == nil {
		out.err = fmt.Errorf("there is no node in the role %s", role)
		return out
	}
	began, before := w.now, w.stats.accepted
	w.onAnswer = func(a *simCall, d Completion) {
		if a.node == node && a.sent > began && w.now < began+length {
			out.asked++
			if d.Outcome == Answered {
				out.answered++
				w.trace("%v CONCLUSIVE answer of the partitioned machine: %s read %v %+v", w.now, keyOf(a.change), a.read, d)
			}
		}
	}
	w.partitionNode(node, mode, length)
	// Calls are sent to the partitioned node all the time; the operators call the others.
	for i := range 60 {
		w.after(time.Duration(i)*length/60, func() {
			w.sendCall(&simCall{node: node, read: i%2 == 0, change: w.newChange(100 + i)})
		})
	}
	w.runUntil(began + length)
	out.changes = w.stats.accepted - before
	ended := w.now
	w.runWhile(2*rejoinBound, func() bool {
		return node.core == nil || !node.core.Current(node.clock()) || node.core.chain.commitIndex < w.ackedBefore(ended)
	})
	out.rejoinedAfter = w.now - ended
	w.runUntil(ended + 5*time.Second)
	out.err = w.converge(7 * time.Second)
	return out
}

func (w *clusterSim) partitionNode(node *simNode, mode partitionMode, length time.Duration) {
	if mode.paused {
		node.pause(length)
		return
	}
	others := []string{}
	for _, o := range w.nodes {
		others = append(others, o.member.Addr)
	}
	if !mode.reachable {
		others = append(others, outside)
		for _, p := range w.proxies {
			others = append(others, p.addr)
		}
	}
	for _, o := range others {
		if mode.out {
			w.block(node.member.Addr, o, length, mode.late)
		}
		if mode.in {
			w.block(o, node.member.Addr, length, mode.late)
		}
	}
}

// TestHardeningPartitionOfTwentySeconds partitions each kind of node in each way. It guards against a node that answers operators or
// proxies with stale state, refuses what it cannot know, or takes long to be in service again.
func TestHardeningPartitionOfTwentySeconds(t *testing.T) {
	type job struct {
		topology
		role string
		mode partitionMode
		seed uint64
	}
	var jobs []job
	for i, s := range []topology{{3, 1, 1, 3, 0, 0}, {5, 0, 2, 3, 1, 0}} {
		for _, role := range slices.Sorted(maps.Keys(nodeRoles)) {
			for j, mode := range partitionModes {
				if (raceDetector || testing.Short()) && j%3 != i {
					continue
				}
				jobs = append(jobs, job{s, role, mode, uint64(10*i + j)})
			}
		}
	}
	got := make([]*partitionRun, len(jobs))
	inParallel(len(jobs), func(i int) {
		got[i] = playPartition(jobs[i].seed, jobs[i].topology, jobs[i].role, jobs[i].mode, TestingKnobs{})
	})
	var longest time.Duration
	asked, changes := 0, 0
	for i, run := range got {
		name := fmt.Sprintf("%v, %s cut off %s", jobs[i].topology, jobs[i].role, jobs[i].mode.name)
		switch {
		case run.err != nil:
			t.Errorf("%s: %v", name, run.err)
		case run.changes < 20:
			t.Errorf("%s: only %d changes were acknowledged in the meantime", name, run.changes)
		case jobs[i].mode.reachable && run.asked < 20:
			t.Errorf("%s: only %d calls reached the node", name, run.asked)
		case run.answered > 0:
			t.Errorf("%s: the partitioned node gave %d conclusive answers", name, run.answered)
		case run.rejoinedAfter > rejoinBound:
			t.Errorf("%s: in service again only after %v", name, run.rejoinedAfter)
		}
		longest = max(longest, run.rejoinedAfter)
		asked, changes = asked+run.asked, changes+run.changes
	}
	t.Logf("%d runs: %d changes elsewhere, %d calls ended without a conclusive answer, in service again after at most %v", len(jobs), changes, asked, longest)
}

// TestHardeningPartitionControls disables protections; the same runs must then violate an invariant.
func TestHardeningPartitionControls(t *testing.T) {
	keepersOnly := partitionModes[4]
	for name, c := range map[string]struct {
		role string
		mode partitionMode
		TestingKnobs
	}{
		"the tail answers without a majority":       {"tail", keepersOnly, TestingKnobs{SkipReadConfirmation: true}},
		"a keeper that is cut off feeds proxies":    {"head", keepersOnly, TestingKnobs{SkipCurrentMajority: true}},
		"the head acknowledges what it alone holds": {"head", keepersOnly, TestingKnobs{AcknowledgeAtHead: true}},
	} {
		got := playPartition(4, topology{3, 1, 1, 3, 0, 0}, c.role, c.mode, c.TestingKnobs)
		if got.err == nil && got.answered == 0 {
			t.Errorf("%s: no invariant was violated", name)
			continue
		}
		t.Logf("%s: %v, %d conclusive answers", name, got.err, got.answered)
	}
}
