package failuredetector

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/testsupport/golden"
)

// goldenFile contains one line "scenario seed steps digest" per run; GRADEUSHER_WRITE_GOLDEN=1 rewrites it.
const goldenFile = "testdata/golden_trace.txt"

// goldenTrace is the digest of all output of the detectors of a simulation, in the order of the simulation. It includes wire bytes,
// numbers and fixed tags, but no identifiers of the code and no human-readable text. Nothing is sorted here: a simulation runs in one
// goroutine, on its own clock and random numbers, and the output of a detector has a deterministic order. The digests also depend on
// the random numbers that the harness draws: a change to the simulation requires rewriting them.
type goldenTrace struct{ *golden.Digest }

// traceOutputs records the output of the detectors of a simulation from now on.
func (g goldenTrace) traceOutputs(sim *simulation) {
	sim.onOutput = func(n *simNode, out *Output) { g.step(sim, n, out) }
}

// step records one Output of a detector: its time, its node, the requested actions, and whether the detector is connected.
func (g goldenTrace) step(sim *simulation, node *simNode, out *Output) {
	g.TextStep("step", uint64(sim.now), node.incarnation)
	g.Text(node.name)
	for _, e := range out.Send {
		g.Text("msg")
		g.Text(e.To)
		g.Bytes(e.Message.Append(nil))
	}
	for _, node := range out.Probe {
		g.Text("probe")
		g.Text(node)
	}
	for _, v := range out.DownReports {
		g.Text("verdict")
		g.Text(v.Node)
		g.Uints(v.Incarnation)
		g.Bools(v.Down)
	}
	g.Text("held")
	g.Bools(out.Resumed)
	g.Bools(node.detector.Connected(sim.now))
}

// end records the membership list at the end of a simulation.
func (g goldenTrace) end(sim *simulation) {
	g.Text("end")
	g.Uints(uint64(sim.now))
	for _, name := range sim.names {
		r := sim.members[name]
		g.Uints(r.incarnation, uint64(r.since))
		g.Bools(r.down)
	}
}

// goldenScenario is a number of nodes and the sequence of faults that they experience.
type goldenScenario struct {
	name  string
	nodes int
	loss  float64
	play  func(*simulation)
}

// trace runs the scenario and adds the output of the detectors to the digest.
func (s goldenScenario) trace(t *testing.T, digest *golden.Digest, seed uint64) {
	sim := newSimulation(t, seed, s.nodes, Options{})
	sim.loss = s.loss
	traced := goldenTrace{digest}
	traced.traceOutputs(sim)
	s.play(sim)
	traced.end(sim)
}

const goldenSeeds = 3 // per scenario

// goldenScenarios are run in order, each with every seed.
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

// playPartition partitions a third of the nodes from the others in both directions.
func playPartition(sim *simulation) {
	sim.run(3 * time.Second)
	sim.faultFreeSince = sim.now + time.Hour
	for _, on := range []bool{true, false} {
		for _, a := range sim.names[:4] {
			for _, b := range sim.names[4:] {
				sim.setPartitioned(a, b, on)
				sim.setPartitioned(b, a, on)
			}
		}
		sim.run(8 * time.Second)
	}
	sim.faultFreeSince = sim.now
	sim.run(3 * time.Second)
}

// playCrashes crashes four nodes at the same time, and another one later.
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

// playLeave shuts a node down gracefully and restarts it.
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

// TestGoldenTrace compares all output of the detectors, step by step, with recorded digests. Refactorings, such as renames, must not
// change the digests.
func TestGoldenTrace(t *testing.T) {
	var scenarios []golden.Scenario
	for _, s := range goldenScenarios {
		for seed := range uint64(goldenSeeds) {
			scenarios = append(scenarios, golden.Scenario{Name: s.name, Seed: seed, Play: s.trace})
		}
	}
	golden.CompareDigests(t, goldenFile, scenarios)
}
