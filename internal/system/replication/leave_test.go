package replication

import (
	"fmt"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// holders counts the keepers other than addr whose disk holds the records up to seq.
func (cl *scriptedCluster) holders(seq uint64, addr string) int {
	n := 0
	for a, x := range cl.nodes {
		end := x.disk.p.snap.Seq
		if k := len(x.disk.p.entries); k > 0 {
			end = x.disk.p.entries[k-1].Seq
		}
		if a != addr && end >= seq {
			n++
		}
	}
	return n
}

func (cl *scriptedCluster) leave(addr string) {
	n := cl.nodes[addr]
	n.core.Leave(cl.clock(n))
	cl.collect(addr)
}

// submitMany has count changes acknowledged, through addr.
func (cl *scriptedCluster) submitMany(addr string, count int) {
	cl.t.Helper()
	for range count {
		cl.lastCallID++
		id := cl.submit(addr, evacuating(fmt.Sprint("zone ", cl.lastCallID)), 2*time.Second)
		cl.until(3*time.Second, "a change", func() bool { return cl.answered(id) })
	}
}

// TestLeavingNodeWaitsForEnoughReplicas has a link leave while another is away. Danger: it goes, and what was acknowledged is
// left on a single disk, though a machine may be lost at any time.
func TestLeavingNodeWaitsForEnoughReplicas(t *testing.T) {
	for leaves := range 2 {
		t.Run([]string{"head", "tail"}[leaves], func(t *testing.T) {
			cl := threeNodes(t, 1, TestingKnobs{})
			away := cl.nodes["c"]
			away.core = nil
			cl.until(3*time.Second, "a chain of two", func() bool { return len(cl.view().Chain) == 2 })
			cl.run(time.Second)
			leaver := cl.replica(leaves)
			cl.submitMany("b", 40)
			acked := cl.nodes["b"].core.chain.commitIndex
			cl.leave(leaver)
			for range 1000 {
				cl.step()
				if cl.nodes[leaver].core.Departed() && cl.holders(acked, leaver) < 2 {
					t.Fatal("it has left, and what was acknowledged is on a single disk beside its own")
				}
			}
			if cl.nodes[leaver].core.Departed() {
				t.Fatal("it has left, and nobody could take its place")
			}
			// Who comes back hears the others, but it takes long to feed it.
			cl.filter = func(_, to string, m *replicationpb.Message) bool {
				return to != "c" || m.GetAppend() == nil && m.GetInstall() == nil
			}
			cl.start(away.cfg)
			for range 600 {
				cl.step()
				if cl.nodes[leaver].core.Departed() && cl.holders(acked, leaver) < 2 {
					t.Fatal("it has left for one that has yet to be fed")
				}
			}
			cl.filter = nil
			took := cl.until(5*time.Second, "it has left", func() bool {
				left := cl.nodes[leaver].core.Departed()
				if left && cl.holders(acked, leaver) < 2 {
					t.Fatal("it has left, and what was acknowledged is on a single disk beside its own")
				}
				return left
			})
			t.Logf("it left %v after the other was fed", took)
		})
	}
}

// TestLeavingNodeHandsOverOnlyReplica: a single link leaves and another keeper is there. Danger: it never hands over.
func TestLeavingNodeHandsOverOnlyReplica(t *testing.T) {
	cl := threeNodes(t, 0, TestingKnobs{})
	cl.nodes["b"].core, cl.nodes["c"].core = nil, nil
	cl.run(3 * time.Second)
	cl.start(cl.nodes["b"].cfg)
	cl.until(5*time.Second, "a chain", func() bool { return len(cl.view().Chain) > 0 })
	cl.run(2 * time.Second)
	head := cl.replica(0)
	cl.submitMany(head, 3)
	cl.leave(head)
	cl.until(3*time.Second, "it has left", func() bool { return cl.nodes[head].core.Departed() })
	if n := cl.holders(3, head); n < 1 {
		t.Fatalf("%d others hold the changes", n)
	}
}

// TestLeavingNodeLeadsWhenNobodyElseCan loses the only other copy while a link waits to leave. Danger: the changes are on the
// leaver's disk alone, nobody else may lead, and it does not any more.
func TestLeavingNodeLeadsWhenNobodyElseCan(t *testing.T) {
	cl := threeNodes(t, 1, TestingKnobs{})
	cl.nodes["c"].core = nil
	cl.until(3*time.Second, "a chain of two", func() bool { return len(cl.view().Chain) == 2 })
	cl.run(time.Second)
	cl.submitMany("b", 5)
	cl.leave("a")
	cl.run(100 * time.Millisecond)
	cl.nodes["b"].core = nil
	cl.nodes["b"].disk = newMemDisk()
	cl.start(cl.nodes["c"].cfg)
	cl.run(2 * time.Second)
	cfg := cl.nodes["b"].cfg
	cfg.Bootstrap, cfg.Self.ID = false, "b again"
	cl.start(cfg)
	cl.until(8*time.Second, "it has left", func() bool { return cl.nodes["a"].core.Departed() })
	if n := cl.holders(5, "a"); n < 2 {
		t.Fatalf("%d others hold the changes", n)
	}
}
