package replication

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const faultsEnd = 20 * time.Second

// simulate runs a seed with the faults; the error is what was broken.
func simulate(seed uint64, faults []fault, h hooks, trace func(string, ...any)) (*world, error) {
	nodes, spares, losses := shape(seed)
	w := newWorld(seed, nodes, spares, losses, h)
	if trace != nil {
		w.trace = trace
	}
	for _, f := range faults {
		w.inject(f)
	}
	for i := range 3 {
		w.after(2*time.Second, func() { w.client(i) })
	}
	w.runUntil(faultsEnd)
	if w.broken != nil {
		return w, w.broken
	}
	w.heal()
	before := w.stats.accepted
	w.runUntil(faultsEnd + 10*time.Second)
	if w.broken == nil && w.stats.accepted == before {
		w.fail(fmt.Errorf("nothing was acknowledged within 10 s after the last fault"))
	}
	w.clientsEnd = true
	w.runUntil(faultsEnd + 16*time.Second)
	if w.broken == nil {
		w.settled()
	}
	return w, w.broken
}

func shape(seed uint64) (nodes, spares, losses int) {
	switch seed % 4 {
	case 0, 1:
		return 3, int(seed / 4 % 2), 1
	case 2:
		return 5, 0, 2
	default:
		return 5, 1, 2
	}
}

// heal ends all faults.
func (w *world) heal() {
	w.trace("%v HEAL", w.now)
	w.quiet, w.onAck = true, nil
	clear(w.cut)
	w.loss, w.slack = 0, 0
	for _, m := range w.nodes {
		m.full, m.stall, m.slow = false, false, 0
		m.thaw()
		m.start()
	}
}

// settled checks what must hold some time after the last fault and change.
func (w *world) settled() {
	if !w.whole() {
		w.fail(fmt.Errorf("the view has not been made whole: %v", w.newest))
	}
	if uint64(len(w.truth)) < w.acked {
		w.fail(fmt.Errorf("record %d was acknowledged, %d are left", w.acked, len(w.truth)))
	}
	for _, m := range w.nodes {
		if m.up() && !m.core.Current(m.clock()) {
			w.fail(fmt.Errorf("machine %d is not current", m.name))
		}
		if m.up() && m.core.committed != uint64(len(w.truth)) {
			w.fail(fmt.Errorf("machine %d has %d of %d records", m.name, m.core.committed, len(w.truth)))
		}
	}
	w.checkRefused()
}

func seedFaults(seed uint64) []fault {
	nodes, spares, _ := shape(seed)
	return faultsFor(rand.New(rand.NewPCG(seed, 2)), nodes+spares, faultsEnd)
}

// shrink drops faults as long as the rest still breaks something.
func shrink(seed uint64, faults []fault, h hooks) []fault {
	for again := true; again; {
		again = false
		for i := range faults {
			less := slices.Delete(slices.Clone(faults), i, i+1)
			if _, err := simulate(seed, less, h, nil); err != nil {
				faults, again = less, true
				break
			}
		}
	}
	return faults
}

func envInt(name string, or int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return or
}

// sweep runs seeds until one breaks; it gives that seed, or false.
func sweep(first, n uint64, h hooks, total *[7]atomic.Int64) (uint64, error) {
	var next atomic.Uint64
	var found atomic.Pointer[struct {
		seed uint64
		err  error
	}]
	defer debug.SetGCPercent(debug.SetGCPercent(400)) // the worlds are small, and there are many
	var wg sync.WaitGroup
	for range envInt("REPLICATION_WORKERS", 4) {
		wg.Go(func() {
			for found.Load() == nil {
				i := next.Add(1) - 1
				if i >= n {
					return
				}
				w, err := simulate(first+i, seedFaults(first+i), h, nil)
				if err != nil {
					found.CompareAndSwap(nil, &struct {
						seed uint64
						err  error
					}{first + i, err})
				}
				if total != nil {
					s := w.stats
					for k, v := range []int{s.accepted, s.unknown, s.refused, s.already, s.stale, s.reads, s.views} {
						total[k].Add(int64(v))
					}
				}
			}
		})
	}
	wg.Wait()
	if f := found.Load(); f != nil {
		return f.seed, f.err
	}
	return 0, nil
}

func TestSeeds(t *testing.T) {
	n := 100
	if testing.Short() || raceDetector {
		n = 20
	}
	first := uint64(envInt("REPLICATION_FIRST", 1))
	var total [7]atomic.Int64
	seed, err := sweep(first, uint64(envInt("REPLICATION_SEEDS", n)), hooks{}, &total)
	t.Logf("accepted %d, unknown %d, refused %d, already %d, stale %d, reads %d, views %d", total[0].Load(), total[1].Load(),
		total[2].Load(), total[3].Load(), total[4].Load(), total[5].Load(), total[6].Load())
	if err == nil {
		return
	}
	t.Errorf("seed %d: %v", seed, err)
	faults := shrink(seed, seedFaults(seed), hooks{})
	for _, f := range faults {
		t.Logf("  %v", f)
	}
	var lines []string
	_, err = simulate(seed, faults, hooks{}, func(s string, args ...any) { lines = append(lines, fmt.Sprintf(s, args...)) })
	t.Logf("with these alone: %v", err)
	if os.Getenv("REPLICATION_TRACE") != "" {
		for _, l := range lines {
			t.Log(l)
		}
	}
}
