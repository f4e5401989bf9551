package failuredetector

import (
	"bufio"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"os"
	"strings"
	"testing"
	"time"
)

// goldenFile holds a line "scenario seed steps digest" for each play; GRADEUSHER_WRITE_GOLDEN=1 writes it anew.
const goldenFile = "testdata/golden_trace.txt"

// goldenTrace is the digest of all that goes out of the detectors of a world, in the order of the simulation. It takes wire
// bytes, numbers and fixed tags, and no name of the code nor text meant for people. Nothing is sorted here: a play runs in one
// goroutine, on the clock and the random numbers of its world, and the detectors put out all in an order of their own. The
// digests also rest on what the harness draws: a change of the world needs them written anew.
type goldenTrace struct {
	sum   hash.Hash
	buf   []byte
	steps int
}

func newGoldenTrace(sim *simulation) *goldenTrace {
	g := &goldenTrace{sum: sha256.New()}
	sim.onOutput = func(n *simNode, out *Output) { g.step(sim, n, out) }
	return g
}

func (g *goldenTrace) number(list ...uint64) {
	for _, n := range list {
		g.buf = binary.BigEndian.AppendUint64(g.buf, n)
	}
}

func (g *goldenTrace) text(s string) {
	g.number(uint64(len(s)))
	g.buf = append(g.buf, s...)
}

func (g *goldenTrace) flag(b bool) {
	if b {
		g.number(1)
		return
	}
	g.number(0)
}

func (g *goldenTrace) flush() {
	g.sum.Write(g.buf)
	g.buf = g.buf[:0]
}

// step records one Take of a detector: when, whose, what it wants done, and whether it is connected then.
func (g *goldenTrace) step(sim *simulation, node *simNode, out *Output) {
	g.steps++
	g.text("step")
	g.number(uint64(sim.now), node.incarnation)
	g.text(node.name)
	for _, e := range out.Send {
		g.text("msg")
		g.text(e.To)
		g.text(string(e.Message.Append(nil)))
	}
	for _, node := range out.Probe {
		g.text("probe")
		g.text(node)
	}
	for _, v := range out.DownReports {
		g.text("verdict")
		g.text(v.Node)
		g.number(v.Incarnation)
		g.flag(v.Down)
	}
	g.text("held")
	g.flag(out.Resumed)
	g.flag(node.detector.Connected(sim.now))
	g.flush()
}

// end records what is counted live at the end of a play.
func (g *goldenTrace) end(sim *simulation) string {
	g.text("end")
	g.number(uint64(sim.now))
	for _, name := range sim.names {
		r := sim.members[name]
		g.number(r.incarnation, uint64(r.since))
		g.flag(r.down)
	}
	g.flush()
	return fmt.Sprintf("%d %x", g.steps, g.sum.Sum(nil))
}

// goldenScenario is a number of nodes and what happens to them.
type goldenScenario struct {
	name  string
	nodes int
	loss  float64
	play  func(*simulation)
}

const goldenSeeds = 3

// goldenScenarios are played in turn, with each seed.
var goldenScenarios = []goldenScenario{
	{name: "normal", nodes: 12, play: func(w *simulation) { w.run(10 * time.Second) }},
	{name: "cuts", nodes: 24, loss: 0.05, play: playPairPartitions},
	{name: "partition", nodes: 12, play: playPartition},
	{name: "dead", nodes: 24, loss: 0.02, play: playCrashes},
	{name: "restarts", nodes: 12, loss: 0.02, play: playRestarts},
	{name: "freezes", nodes: 12, loss: 0.02, play: playFreezes},
	{name: "leaving", nodes: 8, play: playLeave},
}

func playPairPartitions(sim *simulation) {
	sim.interRegion = true
	sim.run(3 * time.Second)
	partitionPairs(sim, true)
	sim.run(10 * time.Second)
	partitionPairs(sim, false)
	sim.run(5 * time.Second)
}

// playPartition cuts a third of the nodes off in both directions.
func playPartition(sim *simulation) {
	sim.run(3 * time.Second)
	sim.calmSince = sim.now + time.Hour
	for _, on := range []bool{true, false} {
		for _, a := range sim.names[:4] {
			for _, b := range sim.names[4:] {
				sim.setPartitioned(a, b, on)
				sim.setPartitioned(b, a, on)
			}
		}
		sim.run(8 * time.Second)
	}
	sim.calmSince = sim.now
	sim.run(3 * time.Second)
}

// playCrashes ends four nodes at once, and another later.
func playCrashes(sim *simulation) {
	sim.run(3 * time.Second)
	for _, name := range sim.names[4:8] {
		sim.kill(name)
	}
	sim.run(5 * time.Second)
	sim.kill(sim.names[9])
	sim.run(8 * time.Second)
}

func playRestarts(sim *simulation) {
	sim.run(3 * time.Second)
	for range 6 {
		name := sim.randomNode()
		sim.kill(name)
		sim.run(time.Duration(sim.rng.IntN(4000)) * time.Millisecond)
		sim.start(name)
		sim.run(time.Duration(sim.rng.IntN(4000)) * time.Millisecond)
	}
	sim.run(5 * time.Second)
}

// playLeave has a node leave and come back.
func playLeave(sim *simulation) {
	sim.run(3 * time.Second)
	n := sim.nodes[sim.names[0]]
	n.detector.Leave(sim.now)
	sim.processReady(n)
	sim.kill(n.name)
	sim.run(10 * time.Second)
	sim.start(n.name)
	sim.run(5 * time.Second)
}

// readGolden returns the recorded steps and digest by scenario and seed.
func readGolden(t *testing.T) map[string]string {
	t.Helper()
	f, err := os.Open(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	golden := map[string]string{}
	for in := bufio.NewScanner(f); in.Scan(); {
		if parts := strings.SplitN(in.Text(), " ", 3); len(parts) == 3 {
			golden[parts[0]+" "+parts[1]] = parts[2]
		}
	}
	return golden
}

// TestGoldenTrace holds the detectors to the recorded digests of all that goes out of them, step by step. A change of form
// alone, such as of names, leaves them as they are.
func TestGoldenTrace(t *testing.T) {
	writing := os.Getenv("GRADEUSHER_WRITE_GOLDEN") == "1"
	golden := map[string]string{}
	if !writing {
		golden = readGolden(t)
	}
	var lines []string
	plays := 0
	for _, s := range goldenScenarios {
		for seed := range uint64(goldenSeeds) {
			plays++
			key := fmt.Sprintf("%s %d", s.name, seed)
			t.Run(key, func(t *testing.T) {
				sim := newSimulation(t, seed, s.nodes, Options{})
				sim.loss = s.loss
				g := newGoldenTrace(sim)
				s.play(sim)
				got := g.end(sim)
				lines = append(lines, key+" "+got+"\n")
				if want := golden[key]; !writing && got != want {
					t.Errorf("steps and digest %s, recorded %q", got, want)
				}
			})
		}
	}
	switch {
	case !writing && len(golden) != plays:
		t.Errorf("%d plays are recorded, %d are known", len(golden), plays)
	case writing && len(lines) != plays:
		t.Errorf("%d of %d plays were played: nothing is written", len(lines), plays)
	case writing:
		if err := os.WriteFile(goldenFile, []byte(strings.Join(lines, "")), 0o644); err != nil {
			t.Error(err)
		}
	}
}
