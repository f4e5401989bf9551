package replication

import (
	"fmt"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// leaveTimeout is how long a process that is asked to stop waits until it has left.
const leaveTimeout = 5 * time.Second

// leave drains the node and then ends it: when enough others hold what it holds, or at the latest after the timeout.
func (m *simNode) leave(timeout time.Duration, end func()) {
	if !m.isRunning() || m.paused {
		return
	}
	core, until := m.core, m.sim.now+timeout
	core.Leave(m.clock())
	m.executeOutputs() // a fault triggered by its messages may end the process here
	var checkDeparted func()
	checkDeparted = func() {
		if m.core == core && m.sim.now < until && (m.paused || !core.Departed()) {
			m.sim.after(20*time.Millisecond, checkDeparted)
			return
		}
		end()
	}
	m.sim.after(20*time.Millisecond, checkDeparted)
}

// checkLeft checks that a node that has left can stop without losing data, since enough others hold everything acknowledged.
func (w *clusterSim) checkLeft(m *simNode) {
	c := m.core
	if c == nil || !c.liveness.draining || m.observer || w.now-w.lostAt < 3*time.Second || !c.Departed() || c.acceptor.view.Epoch == 0 {
		return
	}
	holders := 0
	for _, o := range w.nodes {
		if r, ok := o.durableState(); ok && o != m && r.activeEpoch >= c.acceptor.view.Epoch && o.disk.end() >= w.acked {
			holders++
		}
	}
	if holders <= w.losses {
		w.fail(fmt.Errorf("node %d has left, but only %d others hold all %d acknowledged records", m.name, holders, w.acked))
	}
}

// playDrainingNode lets a node leave permanently that holds the only copy of what was acknowledged: one other node was down in the
// meantime, and the third has just lost its disk. It returns how long the leaving node stayed.
func playDrainingNode(seed uint64, timeout time.Duration) (time.Duration, error) {
	w := newClusterSim(seed, topology{3, 0, 1, 3, 0, 0}, TestingKnobs{})
	w.operate()
	w.runUntil(4 * time.Second)
	if !w.canLoseDisk() {
		return 0, fmt.Errorf("there is no complete view: %w", w.violation)
	}
	head, middle, tail := w.replica(0), w.replica(1), w.replica(2)
	if seed%2 == 0 {
		head, middle = middle, head
	}
	middle.kill()
	w.writeUnless(60, 50*time.Millisecond, middle)
	if !w.loseDisk(tail) {
		return 0, fmt.Errorf("the second copy cannot be lost: %w", w.violation)
	}
	for _, o := range []*simNode{middle, tail} {
		if o.disk.end() >= w.acked {
			return 0, fmt.Errorf("node %d holds a copy", o.name)
		}
	}
	began, stayed := w.now, time.Duration(0)
	middle.restartAfter(300 * time.Millisecond)
	tail.restartAfter(600 * time.Millisecond)
	w.after(time.Duration(w.rng.IntN(1500))*time.Millisecond, func() {
		head.leave(timeout, func() {
			stayed = w.now - began
			head.kill()
			head.removed = true
			w.successor(head, fault{}).restartAfter(time.Second)
		})
	})
	w.runUntil(w.now + leaveTimeout + 2*time.Second)
	w.expectAck("after the draining node has left")
	err := w.converge(8 * time.Second)
	return stayed, err
}

// TestHardeningDrainingNodeWithOnlyReplica checks that the node leaves when enough others hold what it holds, and not before. In the
// control it leaves immediately.
func TestHardeningDrainingNodeWithOnlyReplica(t *testing.T) {
	var longest time.Duration
	n := 40
	if raceDetector {
		n = 6
	}
	stays, errs := make([]time.Duration, n), make([]error, n)
	inParallel(n, func(i int) { stays[i], errs[i] = playDrainingNode(uint64(i+1), leaveTimeout) })
	for i, err := range errs {
		if err != nil {
			t.Errorf("seed %d: %v", i+1, err)
		}
		longest = max(longest, stays[i])
	}
	t.Logf("%d draining nodes with the only copy stayed for at most %v", n, longest)
	if longest == 0 || longest >= leaveTimeout {
		t.Errorf("the draining nodes stayed for up to %v", longest)
	}
	var err error
	seed := uint64(0)
	for err == nil && seed < 40 {
		seed++
		_, err = playDrainingNode(seed, 0)
	}
	if err == nil {
		t.Error("no invariant was violated when the draining node left immediately")
	}
	t.Logf("control, the draining node leaves immediately: seed %d: %v", seed, err)
}

// TestDrainingNodeDoesNotCountTimedOutReplicas checks that an old heartbeat of a replica is not taken as proof that its disk still
// exists.
func TestDrainingNodeDoesNotCountTimedOutReplicas(t *testing.T) {
	v := &View{Epoch: 3, Chain: []ID{"a", "b"}, Voters: []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	c := newCore(Config{MachineLosses: 1, Self: Member{ID: "c"}}, toyMachine{})
	c.acceptor.view = v
	for _, id := range v.Chain {
		c.liveness.peers[id] = &peer{member: Member{ID: id}, heartbeat: &replicationpb.Heartbeat{Epoch: 3, Active: 3}}
	}
	if !c.Departed() {
		t.Error("two replicas that are alive hold everything, but the draining node has not departed")
	}
	c.now = 20 * time.Second
	c.liveness.peers["a"].lastContactAt, c.liveness.peers["a"].echoedAt = c.now, c.now
	if c.Departed() {
		t.Error("one of two replicas has timed out, but the draining node has departed")
	}
}
