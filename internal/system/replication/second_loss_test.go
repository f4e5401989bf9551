package replication

import (
	"fmt"
	"testing"
	"time"
)

// lossKinds are the ways in which the first node is lost.
var lossKinds = []string{"killed", "wiped", "leaving", "replaced"}

// newFiveNodeCluster forms a chain of five nodes that tolerates the loss of two, with three acknowledged changes.
func newFiveNodeCluster(t *testing.T) *scriptedCluster {
	cluster := newScriptedCluster(t)
	var addrs []string
	for i := range 5 {
		addrs = append(addrs, fmt.Sprintf("k%d", i))
	}
	for i, a := range addrs {
		cluster.start(Config{Self: Member{Addr: a, Zone: fmt.Sprint("zone ", i), Region: "r"}, MachineLosses: 2, Seeds: addrs[:3], Bootstrap: true})
	}
	cluster.until(8*time.Second, "the first view", func() bool { return cluster.complete(5, 5) })
	cluster.run(500 * time.Millisecond)
	for i := range 3 {
		id := cluster.submit("k0", replacing(int64(i), fmt.Sprint("c", i)), time.Second)
		cluster.until(time.Second, "a change", func() bool { return cluster.answered(id) })
	}
	return cluster
}

// startWithEmptyDisk starts a node at addr with an empty disk, and therefore with another identity.
func (cluster *scriptedCluster) startWithEmptyDisk(addr string, cfg Config) {
	cfg.Bootstrap = false
	cfg.Self.Addr = addr
	cluster.lastCallID++
	cfg.Self.ID = ID(fmt.Sprint(addr, "#", cluster.lastCallID))
	if n := cluster.nodes[addr]; n != nil {
		n.disk = newMemDisk()
	}
	cluster.start(cfg)
}

// bringBack brings the first lost node back according to its kind of loss.
func (cluster *scriptedCluster) bringBack(kind, addr string) {
	n := cluster.nodes[addr]
	switch kind {
	case "killed", "leaving":
		cluster.start(n.cfg)
	case "wiped":
		cluster.startWithEmptyDisk(addr, n.cfg)
	case "replaced":
		cluster.startWithEmptyDisk(addr+" new", n.cfg)
	}
}

// secondLoss is a run in which one node of five is lost and returns, and another one is lost permanently in the meantime.
type secondLoss struct {
	kind   string        // of the first loss
	first  int           // 0: the head, 1: the middle, 2: the tail
	second int           // 0: the head, 1: the tail of the view at that time
	at     time.Duration // of the second loss, after the first
}

// TestSecondLossAtEachStepOfRepair loses one node of five, which returns 1 s later, and loses a second one with its disk at each step
// of the repair: every REPLICATION_STEP_MS from the first loss until the repair is complete. No third node is lost. It guards against
// a step at which the system waits for the node that is lost next.
func TestSecondLossAtEachStepOfRepair(t *testing.T) {
	const until = 3 * time.Second
	steps := time.Duration(envInt("REPLICATION_STEP_MS", 150)) * time.Millisecond
	if raceDetector {
		steps *= 4
	}
	var longest time.Duration
	runs := 0
	for _, kind := range lossKinds {
		for place := range 3 * 2 {
			for at := time.Duration(0); at < until; at += steps {
				longest = max(longest, secondLoss{kind: kind, first: place / 2, second: place % 2, at: at}.play(t))
				runs++
			}
		}
	}
	t.Logf("%d runs; a change waited at most %v", runs, longest)
}

// play returns how long a change waits after the second loss.
func (l secondLoss) play(t *testing.T) time.Duration {
	t.Helper()
	const comesBack = time.Second
	name := fmt.Sprintf("replica %d %s, after %v replica %d lost", 2*l.first, l.kind, l.at, l.second)
	cluster := newFiveNodeCluster(t)
	lost := cluster.replica(2 * l.first)
	if l.kind == "leaving" {
		cluster.leave(lost)
		cluster.until(2*time.Second, name+": the node to leave", func() bool { return cluster.nodes[lost].core.Departed() })
	}
	cluster.nodes[lost].core = nil
	returned := false
	for began := cluster.now; cluster.now-began < l.at; {
		if !returned && cluster.now-began >= comesBack {
			cluster.bringBack(l.kind, lost)
			returned = true
		}
		cluster.step()
	}
	lost2 := cluster.replica(l.second * (len(cluster.view().Chain) - 1))
	if n := cluster.nodes[lost2]; n.core != nil {
		n.core, n.disk = nil, newMemDisk()
	}
	if !returned {
		cluster.bringBack(l.kind, lost)
	}
	return cluster.changeAndReadBack(name, lost)
}

// changeAndReadBack submits a fourth change to a running node other than the lost one, and reads it back. It returns how long the
// change waits.
func (cluster *scriptedCluster) changeAndReadBack(name, lost string) time.Duration {
	cluster.t.Helper()
	at := ""
	for addr, n := range cluster.nodes {
		if n.core != nil && addr != lost && addr != lost+" new" {
			at = addr
		}
	}
	id := cluster.submit(at, replacing(3, "after"), 5*time.Second)
	took := cluster.until(5*time.Second, name+": a change", func() bool { return cluster.answered(id) })
	newest := cluster.nodes[at].core.chain.state.(*toy).rev
	read := cluster.read(at, 2*time.Second)
	cluster.until(2*time.Second, name+": a read", func() bool { return cluster.answered(read) })
	if rev := cluster.done[read].State.(*toy).rev; rev != 4 {
		cluster.t.Fatalf("%s: version %d was read back, but the node holds version %d", name, rev, newest)
	}
	return took
}
