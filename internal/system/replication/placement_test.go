package replication

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// sizes lists layouts by the number of nodes in each zone.
var sizes = [][]int{
	{1}, {2}, {1, 1}, {3}, {2, 1}, {1, 1, 1}, {2, 2}, {3, 1}, {2, 1, 1}, {1, 1, 1, 1}, {3, 2}, {3, 1, 1}, {2, 2, 1}, {2, 1, 1, 1},
	{1, 1, 1, 1, 1}, {3, 3}, {2, 2, 2}, {4, 1, 1}, {2, 2, 1, 1}, {3, 2, 2}, {5, 1, 1}, {2, 2, 2, 1}, {4, 4}, {3, 3, 2}, {2, 2, 2, 2},
	{3, 3, 3}, {5, 2, 2}, {3, 2, 2, 2}, {2, 2, 2, 2, 1},
}

// layouts returns the sizes, or with the race detector a part of them: each takes ten times as long.
func layouts() [][]int {
	if !raceDetector {
		return sizes
	}
	var out [][]int
	for i := 2; i < len(sizes); i += 6 {
		out = append(out, sizes[i])
	}
	return out
}

// membersOf returns the members of a layout; the nodes of a zone are not adjacent in the order of their identities.
func membersOf(layout []int) []Member {
	var out []Member
	for k := 0; len(out) < sum(layout); k++ {
		for z, n := range layout {
			if k < n {
				out = append(out, Member{ID: ID(fmt.Sprintf("%d%d", z, k)), Addr: fmt.Sprintf("z%dk%d", z, k), Zone: fmt.Sprintf("z%d", z), Region: "r"})
			}
		}
	}
	return out
}

func sum(ns []int) (n int) {
	for _, k := range ns {
		n += k
	}
	return n
}

// anySubset calls f with each choice of n members until f returns true.
func anySubset(members []Member, n int, f func([]Member) bool) bool {
	var choose func(from int, chosen []Member) bool
	choose = func(from int, chosen []Member) bool {
		if len(chosen) == n {
			return f(chosen)
		}
		for i := from; i < len(members); i++ {
			if choose(i+1, append(slices.Clone(chosen), members[i])) {
				return true
			}
		}
		return false
	}
	return choose(0, nil)
}

// sizedCluster starts the members; the first three are the seeds.
func sizedCluster(t *testing.T, members []Member, machines, zones int) *scriptedCluster {
	cluster := newScriptedCluster(t)
	var addrs []string
	for _, m := range members[:min(3, len(members))] {
		addrs = append(addrs, m.Addr)
	}
	for _, m := range members {
		cluster.start(Config{Self: m, MachineLosses: machines, ZoneLosses: zones, Seeds: addrs, Bootstrap: true})
	}
	return cluster
}

// TestSizesFollowTheTolerance forms a view for each layout and each tolerance, and compares its voters and replicas with what the
// best choice among the nodes would tolerate. It guards against a deployment with enough nodes that a tolerated loss stops, because
// the voters are badly placed.
func TestSizesFollowTheTolerance(t *testing.T) {
	for _, layout := range layouts() {
		for machines := range 5 {
			for zones := range 2 {
				checkSizes(t, layout, machines, zones)
			}
		}
	}
}

// checkSizes forms a view of the layout that must tolerate the loss of the given number of machines or zones.
func checkSizes(t *testing.T, layout []int, machines, zones int) {
	t.Helper()
	members := membersOf(layout)
	cfg := Config{MachineLosses: machines, ZoneLosses: zones}
	cluster := sizedCluster(t, members, machines, zones)
	wantVoters := min(len(members), cfg.targetVoters())
	wantReplicas := min(wantVoters, cfg.targetChainLength())
	if wantReplicas < cfg.minChainLength() {
		// The existing nodes are too few to acknowledge. They still form a view of all voters.
		cluster.until(8*time.Second, fmt.Sprint(layout, machines, zones), func() bool { return len(cluster.view().Voters) == wantVoters })
		return
	}
	name := fmt.Sprintf("zones %v, losses of %d machines or %d zones", layout, machines, zones)
	cluster.until(8*time.Second, name, func() bool { return cluster.complete(wantReplicas, wantVoters) })
	cluster.run(3 * time.Second) // working voters may still be replaced
	v := cluster.view()
	if can := anySubset(members, wantVoters, cfg.votersTolerateLosses); can != cfg.votersTolerateLosses(v.Voters) {
		t.Errorf("%s: a tolerant choice exists: %v, but the voters are %v", name, can, v)
	}
	if can := anySubset(v.Voters, wantReplicas, cfg.chainToleratesLosses); can != cfg.chainToleratesLosses(v.chainMembers()) {
		t.Errorf("%s: a tolerant choice exists: %v, but the replicas are %v", name, can, v)
	}
}

// TestToleratedLossIsSurvived removes from each sufficiently tolerant layout the nodes that may be lost at once, including their
// disks and starting with the head, and then requests a change.
func TestToleratedLossIsSurvived(t *testing.T) {
	var longest time.Duration
	runs := 0
	for _, layout := range layouts() {
		for machines := range 5 {
			members := membersOf(layout)
			cfg := Config{MachineLosses: machines, ZoneLosses: 1}
			if !anySubset(members, min(len(members), cfg.targetVoters()), cfg.votersTolerateLosses) {
				continue
			}
			losses := [][]Member{nil} // nil: the first replicas and then voters
			for z := range layout {
				losses = append(losses, slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Zone != fmt.Sprintf("z%d", z) }))
			}
			for _, lost := range losses {
				name := fmt.Sprintf("zones %v, losses of %d machines or a zone, without %v", layout, machines, lost)
				longest = max(longest, playToleratedLoss(t, name, members, lost, machines))
				runs++
			}
		}
	}
	t.Logf("%d losses; the longest wait for a change was %v", runs, longest)
}

// playToleratedLoss loses the members, or the first replicas of the chain if there are none, and returns how long a change then
// waits.
func playToleratedLoss(t *testing.T, name string, members, lost []Member, machines int) time.Duration {
	t.Helper()
	cfg := Config{MachineLosses: machines, ZoneLosses: 1}
	cluster := sizedCluster(t, members, machines, 1)
	cluster.until(8*time.Second, name, func() bool {
		return cluster.complete(min(cfg.targetVoters(), cfg.targetChainLength()), cfg.targetVoters())
	})
	cluster.run(3 * time.Second)
	first := cluster.submit(members[0].Addr, replacing(0, "first"), 2*time.Second)
	cluster.until(2*time.Second, name+": the first change", func() bool { return cluster.answered(first) })
	if lost == nil {
		replicas := cluster.view().chainMembers()
		lost = replicas[:min(machines, len(replicas))]
	}
	for _, m := range lost {
		cluster.nodes[m.Addr].core = nil
	}
	at := slices.IndexFunc(members, func(m Member) bool { return !slices.Contains(lost, m) })
	id := cluster.submit(members[at].Addr, replacing(1, "second"), 10*time.Second)
	took := cluster.until(5*time.Second, name+": a change", func() bool { return cluster.answered(id) })
	if seq := cluster.nodes[members[at].Addr].core.chain.commitIndex; seq < 2 {
		t.Errorf("%s: only %d records remain", name, seq)
	}
	return took
}

// TestVotersAreRebalanced starts with three voters of which two are in one zone, since the third zone's node started late. Voters
// must be replaced, without ever falling below what may acknowledge. It guards against a loss of that zone taking the majority.
func TestVotersAreRebalanced(t *testing.T) {
	members := []Member{
		{ID: "a1", Addr: "a1", Zone: "a", Region: "r"}, {ID: "a2", Addr: "a2", Zone: "a", Region: "r"}, {ID: "b1", Addr: "b1", Zone: "b", Region: "r"},
	}
	cluster := sizedCluster(t, members, 1, 1)
	cluster.until(5*time.Second, "the first view", func() bool { return cluster.complete(3, 3) })
	cluster.run(time.Second)
	cluster.start(Config{Self: Member{ID: "c1", Addr: "c1", Zone: "c", Region: "r"}, MachineLosses: 1, ZoneLosses: 1, Seeds: []string{"a1"}})
	took := cluster.until(5*time.Second, "one voter per zone", func() bool {
		if v := cluster.view(); len(v.Chain) < 2 || len(v.Voters) != 3 {
			t.Fatalf("too few replicas or voters in between: %v", v)
		}
		cfg := Config{MachineLosses: 1, ZoneLosses: 1}
		return cluster.complete(3, 3) && cfg.votersTolerateLosses(cluster.view().Voters)
	})
	t.Logf("after %v: %v", took, cluster.view())
}
