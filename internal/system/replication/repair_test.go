package replication

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// catchUpTime is how long after its return a node may still count as lost.
const catchUpTime = 4 * time.Second

// awaitRepair runs a simulation without faults until its view is complete.
func awaitRepair(t *testing.T, w *clusterSim, limit time.Duration) time.Duration {
	t.Helper()
	began := w.now
	for !w.isFullyReplicated() || len(w.newest.Chain) < min(defaultChainLength, len(w.newest.Voters)) {
		if w.now-began > limit || w.violation != nil {
			w.trace = t.Logf
			w.dump()
			t.Fatalf("view not complete after %v: %v, %v", w.now-began, w.newest, w.violation)
		}
		w.runUntil(w.now + 20*time.Millisecond)
	}
	return w.now - began
}

// TestLostDiskIsRepairedInTime wipes, replaces or restarts one node after another. The next one may be lost catch_up_s after the
// return of the previous one; if the repair took longer, that would be one loss too many.
func TestLostDiskIsRepairedInTime(t *testing.T) {
	longest := map[string]time.Duration{}
	seeds := uint64(24)
	if raceDetector {
		seeds = 4
	}
	for seed := range seeds {
		s := diskLossTopologies()[seed%uint64(len(diskLossTopologies()))]
		w := newClusterSim(seed, s, TestingKnobs{})
		awaitRepair(t, w, 6*time.Second)
		w.after(0, func() { w.client(0) })
		for round := range 8 {
			lost := w.nodes[w.rng.IntN(len(w.nodes))]
			if lost.removed {
				continue
			}
			away := time.Duration(w.rng.IntN(3000)) * time.Millisecond
			what := ""
			switch round % 4 {
			case 0:
				what = "wiped"
				lost.wipe()
			case 1:
				what = "killed"
				lost.kill()
			case 2:
				what = "replaced"
				lost.kill()
				lost.removed = true
				seeds := lost.seeds
				lost = w.newNode(lost.member.Addr+"9", lost.member.Zone, lost.member.Region)
				lost.seeds = seeds
			case 3:
				what = "frozen"
				lost.pause(away)
				w.runUntil(w.now + away)
			}
			if what != "frozen" {
				w.runUntil(w.now + away)
				lost.start()
			}
			longest[what] = max(longest[what], awaitRepair(t, w, catchUpTime))
			w.runUntil(w.now + time.Second)
		}
	}
	t.Logf("view complete again after at most %v", longest)
}

// TestChangesWaitOnlyForTheRepair measures the longest time without an acknowledged change after the loss of one replica. It guards
// against a wait close to ack_ms, with which an operator's change would be refused although only one node was lost.
func TestChangesWaitOnlyForTheRepair(t *testing.T) {
	var longest time.Duration
	for seed := range uint64(30) {
		layout := diskLossTopologies()[seed%uint64(len(diskLossTopologies()))]
		w := newClusterSim(seed, layout, TestingKnobs{})
		awaitRepair(t, w, 6*time.Second)
		m := w.nodes[seed%uint64(layout.diskNodes)]
		switch seed % 5 {
		case 0:
			m.kill()
		case 1:
			m.wipe()
		case 2:
			m.paused = true
		case 3:
			m.diskStalled = true
		case 4:
			other := w.nodes[(seed+1)%uint64(layout.diskNodes)]
			w.block(m.member.Addr, other.member.Addr, time.Hour, false)
		}
		asker := w.nodes[(seed+2)%uint64(layout.diskNodes)]
		a := &simCall{node: asker, change: controlstate.Change{Op: controlstate.OpReplace, Body: []byte("x")}, ttl: 5 * time.Second}
		w.clientsDone = true
		began := w.now
		w.sendCall(a)
		for w.acked+uint64(w.stats.already) == 0 && w.now-began < 5*time.Second && w.violation == nil {
			w.runUntil(w.now + 10*time.Millisecond)
		}
		if w.violation != nil || w.acked+uint64(w.stats.already) == 0 {
			w.trace = t.Logf
			w.dump()
			t.Fatalf("seed %d: not acknowledged: %v", seed, w.violation)
		}
		longest = max(longest, w.now-began)
	}
	t.Logf("the longest wait was %v", longest)
	if longest > 2500*time.Millisecond {
		t.Errorf("a change waited %v", longest)
	}
}

// TestAChangeOfVotersNeedsBothMajorities checks that a majority of the voters who decide on the next view knows the view that it
// starts from.
func TestAChangeOfVotersNeedsBothMajorities(t *testing.T) {
	a, b, x, y := Member{ID: "a"}, Member{ID: "b"}, Member{ID: "x"}, Member{ID: "y"}
	c := newCore(Config{}, toyMachine{})
	cur := &View{Epoch: 1, Voters: []Member{a, x, y}}
	c.acceptor.view = cur
	next := &View{Epoch: 2, Voters: []Member{a, b, x, y}}
	c.proposer.proposal = &proposal{current: cur, value: next, acceptedBy: voterSet{}}
	c.proposer.recordAccepted("a", "")
	c.proposer.recordAccepted("x", "")
	if c.acceptor.view != cur {
		t.Fatal("chosen by half of the new voters")
	}
	c.proposer.recordAccepted("b", "")
	if c.acceptor.view != next {
		t.Fatal("not chosen by both majorities")
	}
}
