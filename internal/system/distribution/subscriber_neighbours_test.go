package distribution

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// TestStaleProxyLearnsOfEvacuationsFromNeighbours: a proxy loses contact to all nodes, but not to the other proxies. A zone is evacuated,
// and one of its servers becomes cold. The proxy must learn of that, or it would continue to send requests there.
func TestStaleProxyLearnsOfEvacuationsFromNeighbours(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleet("k1:1", "k2:1")
		defer fleet.stop()
		cut, other := fleet.startProxy("cut", nil), fleet.startProxy("other", nil)
		put := func(version uint64, s pick.Server) {
			t.Helper()
			putList(t, fleet.servers["k1:1"], 1, version, []pick.Server{s}, exactAge(0))
		}
		fleet.chain.add(controlstate.Record{Op: controlstate.OpNone})
		put(1, pick.Server{ID: "s", Zone: "z"})
		time.Sleep(6 * time.Second)
		for _, k := range fleet.names {
			fleet.mesh.setPartitioned("cut", k, true)
			fleet.mesh.setPartitioned(k, "cut", true)
		}
		time.Sleep(3 * time.Second)
		fleet.chain.add(controlstate.Record{Op: controlstate.OpEvacuate, Zone: "z"})
		put(2, pick.Server{ID: "s", Zone: "z", WarmUpMax: 20 * time.Second})
		time.Sleep(2 * time.Second)
		if update := other.update(); !update.State.Evacuated["z"] || update.Stale {
			t.Fatalf("the other proxy has evacuated zones %+v", update.State.Evacuated)
		}
		update := cut.update()
		if !update.State.Evacuated["z"] || len(update.Servers) != 1 || update.Servers[0].WarmUpMax < 17*time.Second {
			t.Errorf("2 s later the isolated proxy has evacuated zones %v and servers %+v", update.State.Evacuated, update.Servers)
		}
		if !update.Stale {
			t.Error("a neighbour's reply was treated as a node's")
		}
	})
}
