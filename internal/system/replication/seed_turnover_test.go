package replication

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// exchangedSeeds is a cluster of three nodes with a disk, which form the view, and three observers, which are the seeds of whatever
// starts later.
type exchangedSeeds struct {
	*scriptedCluster
	core, observers []string
}

func newExchangedSeeds(t *testing.T, knobs TestingKnobs) *exchangedSeeds {
	cluster := &exchangedSeeds{newScriptedCluster(t), []string{"k1", "k2", "k3"}, []string{"o1", "o2", "o3"}}
	for _, addr := range slices.Concat(cluster.core, cluster.observers) {
		cfg := nodeConfig(addr, cluster.core, cluster.observers)
		cfg.knobs = knobs
		cluster.start(cfg)
	}
	cluster.until(5*time.Second, "the first view", func() bool { return cluster.complete(3, 3) })
	cluster.run(time.Second)
	return cluster
}

// restartObservers ends all observers at the same moment, and starts them after down with each other as seeds.
func (cluster *exchangedSeeds) restartObservers(down time.Duration) {
	for _, addr := range cluster.observers {
		cluster.nodes[addr].core = nil
	}
	cluster.run(down)
	for _, addr := range cluster.observers {
		restarted := nodeConfig(addr, cluster.observers, cluster.observers)
		restarted.Bootstrap = false
		cluster.startWithEmptyDisk(addr, restarted)
	}
}

// setSeeds tells a running node that its settings name other seeds.
func (cluster *scriptedCluster) setSeeds(addr string, seeds []string) {
	n := cluster.nodes[addr]
	n.core.SetSeeds(cluster.clock(n), seeds)
	cluster.processOutputs(addr)
}

// nameSeeds tells the running nodes with a disk that the settings name the observers as seeds.
func (cluster *exchangedSeeds) nameSeeds() {
	for _, addr := range cluster.core {
		cluster.setSeeds(addr, cluster.observers)
	}
}

// replace ends a node with a disk for good and starts another one in its place, which knows the observers only.
func (cluster *exchangedSeeds) replace(gone, successor string) {
	cluster.t.Helper()
	cluster.nodes[gone].core = nil
	cluster.startWithEmptyDisk(successor, nodeConfig(successor, cluster.observers, cluster.observers))
	cluster.until(5*time.Second, successor+" to be a replica in place of "+gone, func() bool {
		return cluster.complete(3, 3) && !slices.Contains(cluster.view().Chain, ID(gone))
	})
}

// TestRestartedSeedsAreFound restarts three observers that are each other's seeds, and then replaces two nodes with a disk. It guards
// against observers, and nodes that start after them, that never learn of the chain because no member sends them heartbeats.
func TestRestartedSeedsAreFound(t *testing.T) {
	for _, down := range []time.Duration{0, 500 * time.Millisecond, time.Second, 3 * time.Second, 30 * time.Second, 4 * time.Minute} {
		for _, settingsRead := range []bool{true, false} {
			t.Run(fmt.Sprint(down, " settings read ", settingsRead), func(t *testing.T) {
				cluster := newExchangedSeeds(t, TestingKnobs{})
				if settingsRead {
					cluster.nameSeeds()
				}
				cluster.restartObservers(down)
				cluster.until(4*time.Second, "the observers to be current", cluster.observersAreCurrent)
				cluster.replace("k1", "n1")
				cluster.replace("k2", "n2")
			})
		}
	}
}

func (cluster *exchangedSeeds) observersAreCurrent() bool {
	for _, addr := range cluster.observers {
		if n := cluster.nodes[addr]; !n.core.Current(cluster.clock(n)) {
			return false
		}
	}
	return true
}

// playRestartedSeeds restarts the observers while the members' settings still name the members as seeds.
func playRestartedSeeds(t *testing.T, knobs TestingKnobs) string {
	cluster := newExchangedSeeds(t, knobs)
	cluster.restartObservers(time.Second)
	cluster.run(30 * time.Second)
	if !cluster.observersAreCurrent() {
		return "observers that restart together never learn of the chain"
	}
	return ""
}

// TestNewSeedsAreFound starts observers that no member has heard of, with each other as seeds, and names them in the members' settings.
// It guards against members that look for seeds only at the addresses of their start.
func TestNewSeedsAreFound(t *testing.T) {
	cluster := newExchangedSeeds(t, TestingKnobs{})
	cluster.observers = []string{"o4", "o5", "o6"}
	for _, addr := range cluster.observers {
		started := nodeConfig(addr, cluster.observers, cluster.observers)
		started.Bootstrap = false
		cluster.start(started)
	}
	cluster.run(5 * time.Second)
	if cluster.observersAreCurrent() {
		t.Fatal("the observers know the view before the settings have changed: the test proves nothing")
	}
	cluster.nameSeeds()
	cluster.until(2*time.Second, "the new observers to be current", cluster.observersAreCurrent)
	cluster.replace("k1", "n1")
}

// TestLostPeersAreBounded lets many observers come and go. It guards against addresses that are contacted for ever.
func TestLostPeersAreBounded(t *testing.T) {
	cluster := newExchangedSeeds(t, TestingKnobs{})
	contacts := &cluster.nodes["k1"].core.liveness.contacts
	for i := range 2 * maxLostPeers {
		contacts.addLost(fmt.Sprint("gone", i), cluster.now)
	}
	if len(contacts.lost) != maxLostPeers || contacts.lost[0].addr != fmt.Sprint("gone", maxLostPeers) {
		t.Errorf("%d lost peers are remembered, the oldest is %s", len(contacts.lost), contacts.lost[0].addr)
	}
	contacts.addLost("o1", cluster.now)
	cluster.run(time.Second)
	if slices.ContainsFunc(contacts.lost, func(p lostPeer) bool { return p.addr == "o1" }) {
		t.Error("an observer that sends heartbeats counts as lost")
	}
	cluster.run(lostPeerTTL + 2*lostPeerInterval)
	if len(contacts.lost) != 0 {
		t.Errorf("%d lost peers are still remembered after %v", len(contacts.lost), lostPeerTTL)
	}
}
