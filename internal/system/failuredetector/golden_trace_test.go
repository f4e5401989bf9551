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

func newGoldenTrace(w *world) *goldenTrace {
	g := &goldenTrace{sum: sha256.New()}
	w.onOutput = func(n *simNode, out *Output) { g.step(w, n, out) }
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
func (g *goldenTrace) step(w *world, n *simNode, out *Output) {
	g.steps++
	g.text("step")
	g.number(uint64(w.now), n.incarnation)
	g.text(n.name)
	for _, e := range out.Send {
		g.text("msg")
		g.text(e.To)
		g.text(string(e.Message.Append(nil)))
	}
	for _, node := range out.Probe {
		g.text("probe")
		g.text(node)
	}
	for _, v := range out.Verdicts {
		g.text("verdict")
		g.text(v.Node)
		g.number(v.Incarnation)
		g.flag(v.Down)
	}
	g.text("held")
	g.flag(out.Resumed)
	g.flag(n.d.Connected(w.now))
	g.flush()
}

// end records what is counted live at the end of a play.
func (g *goldenTrace) end(w *world) string {
	g.text("end")
	g.number(uint64(w.now))
	for _, name := range w.names {
		r := w.table[name]
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
	play  func(*world)
}

const goldenSeeds = 3

// goldenScenarios are played in turn, with each seed.
var goldenScenarios = []goldenScenario{
	{name: "normal", nodes: 12, play: func(w *world) { w.run(10 * time.Second) }},
	{name: "cuts", nodes: 24, loss: 0.05, play: playCuts},
	{name: "partition", nodes: 12, play: playPartition},
	{name: "dead", nodes: 24, loss: 0.02, play: playDead},
	{name: "restarts", nodes: 12, loss: 0.02, play: playRestarts},
	{name: "freezes", nodes: 12, loss: 0.02, play: freezes},
	{name: "leaving", nodes: 8, play: playLeaving},
}

func playCuts(w *world) {
	w.slow = true
	w.run(3 * time.Second)
	pairCuts(w, true)
	w.run(10 * time.Second)
	pairCuts(w, false)
	w.run(5 * time.Second)
}

// playPartition cuts a third of the nodes off in both directions.
func playPartition(w *world) {
	w.run(3 * time.Second)
	w.calm = w.now + time.Hour
	for _, on := range []bool{true, false} {
		for _, a := range w.names[:4] {
			for _, b := range w.names[4:] {
				w.cut(a, b, on)
				w.cut(b, a, on)
			}
		}
		w.run(8 * time.Second)
	}
	w.calm = w.now
	w.run(3 * time.Second)
}

// playDead ends four nodes at once, and another later.
func playDead(w *world) {
	w.run(3 * time.Second)
	for _, name := range w.names[4:8] {
		w.kill(name)
	}
	w.run(5 * time.Second)
	w.kill(w.names[9])
	w.run(8 * time.Second)
}

func playRestarts(w *world) {
	w.run(3 * time.Second)
	for range 6 {
		name := w.pick()
		w.kill(name)
		w.run(time.Duration(w.r.IntN(4000)) * time.Millisecond)
		w.start(name)
		w.run(time.Duration(w.r.IntN(4000)) * time.Millisecond)
	}
	w.run(5 * time.Second)
}

// playLeaving has a node leave and come back.
func playLeaving(w *world) {
	w.run(3 * time.Second)
	n := w.nodes[w.names[0]]
	n.d.Leave(w.now)
	w.carryOut(n)
	w.kill(n.name)
	w.run(10 * time.Second)
	w.start(n.name)
	w.run(5 * time.Second)
}

// readGolden gives the recorded steps and digest by scenario and seed.
func readGolden(t *testing.T) map[string]string {
	t.Helper()
	f, err := os.Open(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
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
				w := newWorld(t, seed, s.nodes, Options{})
				w.loss = s.loss
				g := newGoldenTrace(w)
				s.play(w)
				got := g.end(w)
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
