package distribution

import (
	"testing"
	"testing/synctest"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// TestStaleProxyLearnsOfEvacuationsFromNeighbours: a proxy loses all keepers, though not the other proxies. A zone is evacuated, and one of its
// servers turns cold. Danger: it goes on to send there.
func TestStaleProxyLearnsOfEvacuationsFromNeighbours(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet("k1:1", "k2:1")
		defer fl.stop()
		cut, other := fl.startProxy("cut", nil), fl.startProxy("other", nil)
		put := func(version uint64, s pick.Server) {
			t.Helper()
			if err := fl.servers["k1:1"].PutList(1, version, []pick.Server{s}, madeAgo(exactAge(0))); err != nil {
				t.Fatal(err)
			}
		}
		fl.chain.add(controlstate.Record{Op: controlstate.OpNone})
		put(1, pick.Server{ID: "s", Zone: "z"})
		time.Sleep(6 * time.Second)
		for _, k := range fl.names {
			fl.mesh.setPartitioned("cut", k, true)
			fl.mesh.setPartitioned(k, "cut", true)
		}
		time.Sleep(3 * time.Second)
		fl.chain.add(controlstate.Record{Op: controlstate.OpEvacuate, Zone: "z"})
		put(2, pick.Server{ID: "s", Zone: "z", WarmUpMax: 20 * time.Second})
		time.Sleep(2 * time.Second)
		if u := other.update(); !u.State.Evacuated["z"] || u.Stale {
			t.Fatalf("the other one holds %+v", u.State.Evacuated)
		}
		u := cut.update()
		if !u.State.Evacuated["z"] || len(u.Servers) != 1 || u.Servers[0].WarmUpMax < 17*time.Second {
			t.Errorf("2 s after it holds zones %v and %+v", u.State.Evacuated, u.Servers)
		}
		if !u.Stale {
			t.Error("a neighbour's word counts as a keeper's")
		}
	})
}
