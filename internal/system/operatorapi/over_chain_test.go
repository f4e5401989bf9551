package operatorapi_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// TestSameOrderOverTheChain checks, with the real chain, that each of hundreds of changes that are sent to all nodes concurrently is
// applied once and acknowledged by all nodes. Changes that are sent again later are acknowledged again, also after a restart of all
// nodes.
func TestSameOrderOverTheChain(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newCluster(t)
		cluster.start()
		defer cluster.stop()
		var all []apiRequest
		for i := range 300 {
			o := replacement(i, i+1, "")
			if i%4 == 3 {
				o = apiRequest{http.MethodPost, "/Config.Amend", fmt.Sprint(i),
					fmt.Sprintf(`{"revision":%d,"built_on":%d,"upsert":{"services":[{"name":"a"}]}}`, i+1, i)}
			}
			if got := cluster.callAllNodes(o); got[200] != len(machines) {
				t.Fatalf("change %d: %v", i, got)
			}
			all = append(all, o)
		}
		resendAll := func(when string) {
			for i, o := range all {
				if status, body := cluster.callUntilResolved(machines[i%3], o); status != 200 || body != fmt.Sprintf(`{"revision":%d}`, i+1) {
					t.Fatalf("%s: change %d: status %d: %s", when, i, status, body)
				}
			}
			if state, err := cluster.nodes[machines[0]].Read(t.Context()); err != nil || state.Seq != uint64(len(all)) {
				t.Errorf("%s: records up to %d, %v", when, state.Seq, err)
			}
		}
		resendAll("later")
		cluster.stop()
		cluster.start()
		resendAll("after a restart")
	})
}

// TestRaceOverTheChain checks, with the real chain, that of three changes on the same version one is acknowledged and two are rejected.
func TestRaceOverTheChain(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newCluster(t)
		cluster.start()
		defer cluster.stop()
		for i := range 50 {
			got := cluster.callAllNodes(replacement(i, i+1, "one"), replacement(i, i+1, "two"), replacement(i, i+1, "three"))
			if got[200] != 1 || got[412] != 2 {
				t.Fatalf("version %d: %v", i, got)
			}
		}
	})
}

// TestPartitionedNode checks that a node that is partitioned from the others, and can still be reached by callers, acknowledges no
// change, rejects no change for a reason that depends on the state, and returns no configuration. After the partition it must answer
// again within two seconds. This must hold by the chain alone, and also if the API answers changes immediately.
func TestPartitionedNode(t *testing.T) {
	for name, waitWhenPartitioned := range map[string]bool{"orders are held": true, "orders are answered at once": false} {
		t.Run(name, func(t *testing.T) { testPartitionedNode(t, waitWhenPartitioned) })
	}
}

func testPartitionedNode(t *testing.T, waitWhenPartitioned bool) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		cluster := newCluster(t)
		cluster.waitWhenPartitioned = waitWhenPartitioned
		cluster.start()
		defer cluster.stop()
		for i := range 3 {
			cluster.mustSucceed(machines[0], replacement(i, i+1, ""))
		}
		cluster.mustSucceed(machines[1], apiRequest{method: http.MethodPost, path: "/Evacuation.Start/z"})
		for _, addr := range machines { // the head, the middle, the tail
			cluster.setPartitioned(addr, true)
			for began := time.Now(); time.Since(began) < 20*time.Second; {
				cluster.mustBeUnavailable(addr)
			}
			cluster.setPartitioned(addr, false)
			cluster.mustReadWithin(addr, 2*time.Second)
			if status, _ := cluster.callUntilResolved(addr, replacement(1, 2, "")); status != http.StatusOK {
				t.Errorf("after the partition a change that was applied got %d", status)
			}
		}
	})
}

// TestChangesAtAPartitionedNodeAreAnsweredAtOnce checks that a node that has been partitioned from the chain for two seconds, whatever
// its position, answers changes immediately, so that callers try another node. The other nodes accept changes meanwhile, and so does
// this node soon after the partition.
func TestChangesAtAPartitionedNodeAreAnsweredAtOnce(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newCluster(t)
		cluster.start()
		cluster.startNode(observer)
		defer cluster.stop()
		if status, body := cluster.callUntilResolved(observer, replacement(0, 1, "")); status != 200 {
			t.Fatalf("status %d: %s", status, body)
		}
		for index, addr := range append([]string{observer}, machines...) {
			cluster.setPartitioned(addr, true)
			time.Sleep(2 * time.Second) // of the bubble's clock
			start := apiRequest{method: http.MethodPost, path: "/Evacuation.Start/" + addr}
			for _, o := range []apiRequest{start, replacement(index+1, index+2, addr), {http.MethodPost, "/Config.Amend", fmt.Sprint(index + 1), "{}"}} {
				began := time.Now()
				status, body := cluster.call(addr, o)
				if took := time.Since(began); status != 503 || took > 20*time.Millisecond {
					t.Errorf("%s at %s: status %d after %v, want 503 at once: %s", o.path, addr, status, took, body)
				}
			}
			other := machines[(index+1)%len(machines)] // never addr
			if status, body := cluster.callUntilResolved(other, start); status != 200 {
				t.Errorf("%s at %s: status %d: %s", start.path, other, status, body)
			}
			cluster.setPartitioned(addr, false)
			time.Sleep(2 * time.Second)
			if status, body := cluster.call(addr, replacement(index+1, index+2, addr)); status != 200 {
				t.Errorf("at %s after the partition: status %d: %s", addr, status, body)
			}
		}
	})
}

// BenchmarkEvacuation measures an evacuation over a chain in memory, and for comparison a change without the linearizable read before
// it. Run it with -benchtime 500x: a head accepts at most 4,096 changes in 15 s.
func BenchmarkEvacuation(b *testing.B) {
	cluster := newCluster(b)
	cluster.start()
	defer cluster.stop()
	if status, body := cluster.callUntilResolved(machines[0], replacement(0, 1, "")); status != 200 {
		b.Fatal(status, body)
	}
	b.Run("order", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			path := "/Evacuation.Start/z"
			if i%2 == 1 {
				path = "/Evacuation.Finish/z"
			}
			if status, body := cluster.callUntilResolved(machines[1], apiRequest{method: http.MethodPost, path: path}); status != 200 {
				b.Fatal(status, body)
			}
		}
	})
	b.Run("change alone", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			s, _ := cluster.nodes[machines[1]].Committed()
			change := controlstate.Change{Op: controlstate.OpEvacuate, Zone: "y", Base: int64(s.Seq)}
			if _, err := cluster.nodes[machines[1]].Submit(b.Context(), change); err != nil {
				b.Fatal(err)
			}
		}
	})
}
