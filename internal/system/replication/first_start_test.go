package replication

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// firstStart is the first start of a number of nodes, which is interrupted: at one event, some of the processes end. They start again
// with the disks that they had by then, and with settings that no longer announce the first start and name other seeds.
type firstStart struct {
	*scriptedCluster
	seeds, addrs []string
	knobs        TestingKnobs
	events       int // messages sent and writes done so far
	crashAt      int // the event at which the processes end
	crashing     []string
	crashed      bool
	firstViews   map[string]bool // that any node has entered
}

// crash says which processes end, and what becomes of their writes in progress.
type crash struct {
	nodes      int    // number of nodes of the first start
	killed     string // "all", "a majority", "all but one" or "one"
	keepWrites bool   // writes in progress reach the disk, but nobody learns of that
}

func (c crash) String() string {
	return fmt.Sprintf("%d nodes, %s killed, writes in progress kept: %v", c.nodes, c.killed, c.keepWrites)
}

func newFirstStart(t *testing.T, c crash, crashAt int, knobs TestingKnobs) *firstStart {
	play := &firstStart{scriptedCluster: newScriptedCluster(t), knobs: knobs, crashAt: crashAt, firstViews: map[string]bool{}}
	for i := range c.nodes {
		play.addrs = append(play.addrs, fmt.Sprint("k", i+1))
	}
	play.seeds = play.addrs[:min(3, c.nodes)]
	switch c.killed {
	case "all":
		play.crashing = play.addrs
	case "a majority":
		play.crashing = play.addrs[:c.nodes/2+1]
	case "all but one":
		play.crashing = play.addrs[:c.nodes-1]
	case "one":
		play.crashing = play.addrs[:1]
	}
	play.filter = func(from, _ string, _ *replicationpb.Message) bool {
		play.events++
		return !play.isCrashing(from)
	}
	for _, addr := range play.addrs {
		play.start(play.config(addr, play.seeds, true))
	}
	return play
}

func (f *firstStart) config(addr string, seeds []string, bootstrap bool) Config {
	cfg := nodeConfig(addr, seeds, nil)
	cfg.Bootstrap, cfg.knobs = bootstrap, f.knobs
	return cfg
}

// isCrashing reports whether the process at an address has ended, or ends with the present step.
func (f *firstStart) isCrashing(addr string) bool {
	return !f.crashed && f.events >= f.crashAt && slices.Contains(f.crashing, addr)
}

// advance runs one step, ends the processes once the event has come, and records the first views.
func (f *firstStart) advance(c crash) {
	f.step()
	for _, n := range f.nodes {
		if n.core == nil {
			continue
		}
		f.events += len(n.pending)
		if view := n.core.acceptor.view; view.Epoch == 1 {
			f.firstViews[fmt.Sprint(view.Chain, view.Voters)] = true
		}
	}
	if !f.crashed && f.events >= f.crashAt {
		f.crash(c)
	}
}

// crash ends the processes. Messages of theirs that are in flight still arrive.
func (f *firstStart) crash(c crash) {
	f.crashed = true
	for _, addr := range f.crashing {
		n := f.nodes[addr]
		if c.keepWrites {
			for _, op := range n.pending {
				n.disk.p.do(op, len(op.Entries))
			}
		}
		n.core, n.pending = nil, nil
	}
}

// play interrupts a first start, and returns what went wrong, or an empty text. interrupted is false if the event did not come.
func (c crash) play(t *testing.T, crashAt int, knobs TestingKnobs) (broken string, interrupted bool) {
	t.Helper()
	start := newFirstStart(t, c, crashAt, knobs)
	for start.now < 3*time.Second && !start.crashed {
		start.advance(c)
	}
	if !start.crashed {
		return "", false
	}
	const down = 900 * time.Millisecond
	for until := start.now + down; start.now < until; {
		start.advance(c)
	}
	for i, addr := range start.crashing {
		stored := start.nodes[addr].disk.p.meta[metaFirstStart] != nil
		if !stored && len(start.nodes[addr].disk.p.meta) > 0 {
			return fmt.Sprintf("%s has stored something before that it takes part in the first start", addr), true
		}
		cfg := start.config(addr, []string{"elsewhere"}, false)
		cfg.Self.ID = ID(fmt.Sprint(addr, " again", i))
		start.start(cfg)
		start.setSeeds(addr, start.seeds)
	}
	for until := start.now + 12*time.Second; start.now < until && !start.isComplete(c); {
		start.advance(c)
	}
	switch {
	case len(start.firstViews) > 1:
		return fmt.Sprintf("%d first views: %v", len(start.firstViews), start.firstViews), true
	case start.majorityStored() && !start.isComplete(c):
		return "no view with enough replicas is formed", true
	}
	return "", true
}

// majorityStored reports whether a majority of the seeds has stored that it takes part in the first start. Without one there is no first
// view: these disks are no different from ones that were lost.
func (f *firstStart) majorityStored() bool {
	stored := 0
	for _, addr := range f.seeds {
		if f.nodes[addr].disk.p.meta[metaFirstStart] != nil {
			stored++
		}
	}
	return stored > len(f.seeds)/2
}

// isComplete reports whether there is a view with as many replicas and voters as the nodes allow.
func (f *firstStart) isComplete(c crash) bool { return f.complete(min(c.nodes, 3), min(c.nodes, 3)) }

// interruptedFirstStarts are the crashes at each of whose events a first start is interrupted.
func interruptedFirstStarts() (all []crash) {
	for _, nodes := range []int{1, 3, 5, 9} {
		for _, killed := range []string{"all", "a majority", "all but one", "one"} {
			if nodes == 1 && killed != "all" {
				continue
			}
			all = append(all, crash{nodes, killed, false}, crash{nodes, killed, true})
		}
	}
	return all
}

// TestInterruptedFirstStart ends processes at each message and each write of a first start. It guards against a core that never forms a
// view because its processes died before the first one, and against two first views. REPLICATION_EVENT_STRIDE sets the distance between
// the events that are played (default: several, so that about 40 are played for each crash).
func TestInterruptedFirstStart(t *testing.T) {
	plays := 0
	for _, c := range interruptedFirstStarts() {
		stride := envInt("REPLICATION_EVENT_STRIDE", 1+c.nodes*c.nodes/3)
		if raceDetector {
			stride *= 4
		}
		for crashAt := 0; ; crashAt += stride {
			broken, interrupted := c.play(t, crashAt, TestingKnobs{})
			if broken != "" {
				t.Fatalf("%v, event %d: %s", c, crashAt, broken)
			}
			if !interrupted {
				break
			}
			plays++
		}
	}
	t.Logf("%d first starts were interrupted", plays)
}

// playInterruptedFirstStart interrupts a first start when every node has stored its identity and none has formed a view.
func playInterruptedFirstStart(t *testing.T, knobs TestingKnobs) string {
	c := crash{nodes: 3, killed: "all"}
	broken, interrupted := c.play(t, 30, knobs)
	if !interrupted {
		t.Fatal("the first start was not interrupted: the scenario proves nothing")
	}
	return broken
}
