package replication

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// reachCluster is three links, a spare and an observer.
func reachCluster(t *testing.T) *scriptedCluster {
	cl := threeNodes(t, 1, TestingKnobs{})
	seeds := []string{"a", "b", "c"}
	cl.start(observed("s", seeds, nil))
	cl.start(observed("o", seeds, []string{"o"}))
	cl.run(3 * time.Second)
	return cl
}

func (cl *scriptedCluster) partition(addr string) bool {
	n := cl.nodes[addr]
	return n.core.Partitioned(cl.clock(n))
}

// TestPartitioned cuts each kind of keeper off, both ways or one. Danger: it is not noticed, or lasts on after the cut, or keepers
// that the cut does not concern count as cut off too. While it is told, what is asked of the keeper is not answered.
func TestPartitioned(t *testing.T) {
	directions := map[string]func(from, to, cut string) bool{
		"both ways": func(from, to, cut string) bool { return from == cut || to == cut },
		"from it":   func(from, _, cut string) bool { return from == cut },
		"to it":     func(_, to, cut string) bool { return to == cut },
	}
	for name, stops := range directions {
		for place := range 5 {
			cl := reachCluster(t)
			keepers := []string{cl.replica(0), cl.replica(1), cl.replica(2), "s", "o"}
			cut := keepers[place]
			cl.filter = func(from, to string, _ *replicationpb.Message) bool { return !stops(from, to, cut) }
			noticed := cl.until(2500*time.Millisecond, "it is noticed", func() bool { return cl.partition(cut) })
			if noticed < time.Second {
				t.Errorf("%s, place %d: cut off after %v, within which a keeper may be silent", name, place, noticed)
			}
			for range 100 {
				id := cl.submit(cut, evacuating("z"), 700*time.Millisecond)
				for range 20 {
					cl.step()
					for _, other := range keepers {
						if got := cl.partition(other); got != (other == cut) {
							t.Fatalf("%s, place %d: cut off %v at %s while %s is cut", name, place, got, other, cut)
						}
					}
				}
				if cl.answered(id) {
					t.Fatalf("%s, place %d: a change was answered at a keeper that is cut off", name, place)
				}
			}
			cl.filter = nil
			ended := cl.until(1500*time.Millisecond, "its end is noticed", func() bool { return !cl.partition(cut) })
			t.Logf("%s, place %d: noticed after %v, its end after %v", name, place, noticed, ended)
		}
	}
}

// TestNotPartitionedWhileChangesAreAccepted: danger: a change is refused that the chain would take, since a few heartbeats were lost,
// the head was lost, the process stood still, or no voter but the head is reached. Changes are asked for at all keepers.
func TestNotPartitionedWhileChangesAreAccepted(t *testing.T) {
	const lasts = 20 * time.Second
	for name, prepare := range map[string]func(*scriptedCluster){
		"all is well": func(*scriptedCluster) {},
		"two of three heartbeats are lost": func(cl *scriptedCluster) {
			cl.filter = func(_, _ string, m *replicationpb.Message) bool {
				h := m.GetHeartbeat()
				return h == nil || h.GetReply() || h.GetNumber()%3 == 0
			}
		},
		"no voter but the head is reached": func(cl *scriptedCluster) {
			head := cl.replica(0)
			outside := func(a string) bool { return a == "s" || a == "o" }
			cl.filter = func(from, to string, _ *replicationpb.Message) bool {
				return !(outside(from) && to != head || outside(to) && from != head)
			}
		},
		"the head is lost, and its repair takes three seconds": func(cl *scriptedCluster) {
			cl.nodes[cl.replica(0)].core = nil
			ends := cl.now + 3*time.Second
			cl.filter = func(_, _ string, m *replicationpb.Message) bool { return m.GetPrepare() == nil || cl.now > ends }
		},
		"the head is lost":        func(cl *scriptedCluster) { cl.nodes[cl.replica(0)].core = nil },
		"the middle is lost":      func(cl *scriptedCluster) { cl.nodes[cl.replica(1)].core = nil },
		"the tail is lost":        func(cl *scriptedCluster) { cl.nodes[cl.replica(2)].core = nil },
		"a link stood still":      func(cl *scriptedCluster) { cl.pause(cl.replica(1)) },
		"the head stood still":    func(cl *scriptedCluster) { cl.pause(cl.replica(0)) },
		"an observer stood still": func(cl *scriptedCluster) { cl.pause("o") },
		"an observer starts anew": func(cl *scriptedCluster) { cl.start(observed("o", []string{"a", "b", "c"}, []string{"o"})) },
		"a spare starts anew":     func(cl *scriptedCluster) { cl.start(observed("s", []string{"a", "b", "c"}, nil)) },
	} {
		t.Run(name, func(t *testing.T) {
			cl := reachCluster(t)
			prepare(cl)
			asked := map[string][]uint64{}
			for began := cl.now; cl.now-began < lasts; cl.step() {
				for _, addr := range slices.Sorted(maps.Keys(cl.nodes)) {
					if cl.nodes[addr].core == nil {
						continue
					}
					if cl.partition(addr) {
						t.Fatalf("%s counts as cut off after %v", addr, cl.now-began)
					}
					if (cl.now-began)%(200*time.Millisecond) == 0 {
						asked[addr] = append(asked[addr], cl.submit(addr, evacuating("z"), 700*time.Millisecond))
					}
				}
			}
			for addr, ids := range asked {
				taken := 0
				for _, id := range ids {
					if cl.answered(id) {
						taken++
					}
				}
				if taken < len(ids)*3/4 {
					t.Errorf("%s: %d of %d changes were answered", addr, taken, len(ids))
				}
			}
		})
	}
}

// pause freezes a keeper for ten seconds.
func (cl *scriptedCluster) pause(addr string) {
	cl.nodes[addr].paused = true
	cl.run(10 * time.Second)
	cl.nodes[addr].paused = false
}

// TestNotPartitionedOverSlowNetwork: danger: keepers 150 ms apart count as cut off between two heartbeats.
func TestNotPartitionedOverSlowNetwork(t *testing.T) {
	cl := reachCluster(t)
	var underWay []arrival
	cl.filter = func(_, to string, m *replicationpb.Message) bool {
		underWay = append(underWay, arrival{cl.now + 150*time.Millisecond, Envelope{Addr: to, Msg: m}})
		return false
	}
	for began := cl.now; cl.now-began < 20*time.Second; cl.step() {
		for len(underWay) > 0 && underWay[0].at <= cl.now {
			e := underWay[0].envelope
			underWay = underWay[1:]
			cl.deliver(e)
		}
		for addr := range cl.nodes {
			if cl.partition(addr) {
				t.Fatalf("%s counts as cut off after %v", addr, cl.now-began)
			}
		}
	}
}

// TestPartitionedBeforeAnyView: a keeper that hears nobody and knows of no view is cut off, one that hears another waits.
func TestPartitionedBeforeAnyView(t *testing.T) {
	for others := range 2 {
		cl := newScriptedCluster(t)
		seeds := []string{"a", "b", "c"}
		for _, a := range seeds[:1+others] {
			cfg := observed(a, seeds, nil)
			cfg.Bootstrap = false
			cl.start(cfg)
		}
		cl.run(time.Second)
		early := cl.partition("a")
		cl.run(9 * time.Second)
		if late := cl.partition("a"); early || late != (others == 0) {
			t.Errorf("%d others: cut off %v after 1 s, %v after 10 s", others, early, late)
		}
	}
}
