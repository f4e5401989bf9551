package replication

import (
	"fmt"
	"testing"
	"time"
)

// lossKinds are the ways in which the first machine goes.
var lossKinds = []string{"killed", "wiped", "leaving", "replaced"}

// five forms a chain of five keepers that bears the loss of two, and has three changes acknowledged.
func five(t *testing.T) *scriptedCluster {
	cl := newScriptedCluster(t)
	var addrs []string
	for i := range 5 {
		addrs = append(addrs, fmt.Sprintf("k%d", i))
	}
	for i, a := range addrs {
		cl.start(Config{Self: Member{Addr: a, Zone: fmt.Sprint("zone ", i), Region: "r"}, MachineLosses: 2, Seeds: addrs[:3], Bootstrap: true})
	}
	cl.until(8*time.Second, "the first view", func() bool { return cl.complete(5, 5) })
	cl.run(500 * time.Millisecond)
	for i := range 3 {
		id := cl.submit("k0", replacing(int64(i), fmt.Sprint("c", i)), time.Second)
		cl.until(time.Second, "a change", func() bool { return cl.answered(id) })
	}
	return cl
}

// again starts a keeper with an empty disk, and so another identity, at addr.
func (cl *scriptedCluster) again(addr string, cfg Config) {
	cfg.Bootstrap = false
	cfg.Self.Addr = addr
	cl.lastCallID++
	cfg.Self.ID = ID(fmt.Sprint(addr, "#", cl.lastCallID))
	if n := cl.nodes[addr]; n != nil {
		n.disk = newMemDisk()
	}
	cl.start(cfg)
}

// heal brings the first machine heal as its kind of loss has it.
func (cl *scriptedCluster) heal(kind, addr string) {
	n := cl.nodes[addr]
	switch kind {
	case "killed", "leaving":
		cl.start(n.cfg)
	case "wiped":
		cl.again(addr, n.cfg)
	case "replaced":
		cl.again(addr+" new", n.cfg)
	}
}

// TestSecondLossAtEachStepOfRepair loses one machine of five, has it come back 1 s later, and loses a second one, with
// its disk, at each step on the way: every REPLICATION_STEP_MS from the first loss until all is well again. A third is not
// lost. Danger: at some step the system waits for the one that is lost next.
func TestSecondLossAtEachStepOfRepair(t *testing.T) {
	const until, comesBack = 3 * time.Second, time.Second
	steps := time.Duration(envInt("REPLICATION_STEP_MS", 150)) * time.Millisecond
	if raceDetector {
		steps *= 4
	}
	var longest time.Duration
	runs := 0
	for _, kind := range lossKinds {
		for first := range 3 { // head, middle, tail
			for second := range 2 { // the head or the tail of what is then the view
				for at := time.Duration(0); at < until; at += steps {
					name := fmt.Sprintf("link %d %s, after %v link %d lost", 2*first, kind, at, second)
					cl := five(t)
					lost := cl.replica(2 * first)
					if kind == "leaving" {
						cl.leave(lost)
						cl.until(2*time.Second, name+": it has left", func() bool { return cl.nodes[lost].core.Departed() })
					}
					cl.nodes[lost].core = nil
					returned := false
					for began := cl.now; cl.now-began < at; {
						if !returned && cl.now-began >= comesBack {
							cl.heal(kind, lost)
							returned = true
						}
						cl.step()
					}
					lost2 := cl.replica(second * (len(cl.view().Chain) - 1))
					if n := cl.nodes[lost2]; n.core != nil {
						n.core, n.disk = nil, newMemDisk()
					}
					if !returned {
						cl.heal(kind, lost)
					}
					at, newest := "", int64(0)
					for a, n := range cl.nodes {
						if n.core != nil && a != lost && a != lost+" new" {
							at = a
						}
					}
					id := cl.submit(at, replacing(3, "after"), 5*time.Second)
					longest = max(longest, cl.until(5*time.Second, name+": a change", func() bool { return cl.answered(id) }))
					newest = cl.nodes[at].core.chain.state.(*toy).rev
					read := cl.read(at, 2*time.Second)
					cl.until(2*time.Second, name+": a read", func() bool { return cl.answered(read) })
					if rev := cl.done[read].State.(*toy).rev; rev != 4 {
						t.Fatalf("%s: version %d is read back, %d is held", name, rev, newest)
					}
					runs++
				}
			}
		}
	}
	t.Logf("%d courses; a change waited %v at most", runs, longest)
}
