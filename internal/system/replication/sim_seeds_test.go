package replication

import (
	"cmp"
	"fmt"
	"maps"
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

const (
	faultsEnd        = 20 * time.Second
	longFaultsEnd    = 45 * time.Second // of the seeds with partitions of 20 s and more
	ackBound         = 10 * time.Second // after the last fault, until a change is acknowledged
	convergenceBound = 16 * time.Second // after the last fault, until all nodes and proxies have caught up
)

// faultsUntil returns when the faults of a seed end: one seed in five has long ones.
func faultsUntil(seed uint64) time.Duration {
	if seed%5 == 4 {
		return longFaultsEnd
	}
	return faultsEnd
}

// simulateSeed runs a seed with the faults; the error is the first violation.
func simulateSeed(seed uint64, faults []fault, h TestingKnobs, trace func(string, ...any)) (*clusterSim, error) {
	w := newClusterSim(seed, topologyOf(seed), h)
	if trace != nil {
		w.trace = trace
	}
	for _, f := range faults {
		w.inject(f)
	}
	w.operate()
	end := faultsUntil(seed)
	w.runUntil(end)
	if w.violation != nil {
		return w, w.violation
	}
	w.heal()
	w.expectAck("after the last fault")
	w.ackDelay = w.now - end
	w.runUntil(end + ackBound)
	return w, w.converge(end + convergenceBound - w.now)
}

// converge stops the clients, runs the nodes for d, and checks that all of them then hold the same state. It returns the first
// violation, which may be an earlier one.
func (w *clusterSim) converge(d time.Duration) error {
	w.clientsDone = true
	w.runUntil(w.now + d)
	if w.violation == nil {
		w.checkConverged()
	}
	return w.violation
}

// expectAck runs until a change is acknowledged, and fails if none is acknowledged within ackBound. when completes the error message.
func (w *clusterSim) expectAck(when string) {
	before := w.stats.accepted
	w.runWhile(ackBound, func() bool { return w.stats.accepted == before })
	if w.violation == nil && w.stats.accepted == before {
		w.fail(fmt.Errorf("nothing is acknowledged within %v %s", ackBound, when))
	}
}

// heal ends all faults.
func (w *clusterSim) heal() {
	w.trace("%v HEAL", w.now)
	w.faultsOver, w.onAck, w.triggers = true, nil, nil
	for _, k := range sortedPaths(slices.Collect(maps.Keys(w.partitioned))) {
		w.healPath(k)
	}
	w.loss, w.extraDelay = 0, 0
	for _, m := range w.nodes {
		m.diskFull, m.diskStalled, m.diskDelay = false, false, 0
		m.resume()
		m.start()
	}
	for _, p := range w.proxies {
		p.resume(p.incarnation)
		p.start()
	}
}

// sortedPaths sorts paths into an order that is the same in each run.
func sortedPaths(links [][2]string) [][2]string {
	slices.SortFunc(links, func(a, b [2]string) int { return cmp.Or(cmp.Compare(a[0], b[0]), cmp.Compare(a[1], b[1])) })
	return links
}

// checkConverged checks what must be true some time after the last fault and change.
func (w *clusterSim) checkConverged() {
	if !w.isFullyReplicated() {
		w.fail(fmt.Errorf("the view has not been repaired: %v", w.newest))
	}
	if uint64(len(w.committedRecords)) < w.acked {
		w.fail(fmt.Errorf("record %d was acknowledged, but only %d remain", w.acked, len(w.committedRecords)))
	}
	for _, m := range w.nodes {
		if m.isRunning() && !m.core.Current(m.clock()) {
			w.fail(fmt.Errorf("node %d is not current", m.name))
		}
		if m.isRunning() && m.core.chain.commitIndex != uint64(len(w.committedRecords)) {
			w.fail(fmt.Errorf("node %d has %d of %d records", m.name, m.core.chain.commitIndex, len(w.committedRecords)))
		}
	}
	for _, p := range w.proxies {
		if p.seq != uint64(len(w.committedRecords)) {
			w.fail(fmt.Errorf("proxy %s has %d of %d records", p.name, p.seq, len(w.committedRecords)))
		}
		if !p.isFresh() {
			w.fail(fmt.Errorf("proxy %s is not fresh", p.name))
		}
	}
	w.checkHistories()
}

func seedFaults(seed uint64) []fault {
	return faultsFor(rand.New(rand.NewPCG(seed, 2)), topologyOf(seed).machines(), faultsUntil(seed))
}

// shrinkFaults removes faults as long as the remaining ones still cause a violation.
func shrinkFaults(seed uint64, faults []fault, h TestingKnobs) []fault {
	for again := true; again; {
		again = false
		for i := range faults {
			less := slices.Delete(slices.Clone(faults), i, i+1)
			if _, err := simulateSeed(seed, less, h, nil); err != nil {
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

// topologyTally summarizes the runs of a topology.
type topologyTally struct {
	seeds, broken int
	slowest       time.Duration // from the last fault to the next acknowledgement
	stats         stats
}

// sweepResults collects the results of the seeds of a sweep.
type sweepResults struct {
	mu    sync.Mutex
	seed  uint64 // the lowest one with a violation
	err   error
	shape map[topology]*topologyTally
}

func (r *sweepResults) add(seed uint64, w *clusterSim, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.shape[w.topology]
	if t == nil {
		t = &topologyTally{}
		r.shape[w.topology] = t
	}
	t.seeds++
	t.stats.add(w.stats)
	t.slowest = max(t.slowest, w.ackDelay)
	if err != nil {
		t.broken++
		if r.err == nil || seed < r.seed {
			r.seed, r.err = seed, err
		}
	}
}

func (r *sweepResults) hasViolation() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err != nil
}

// inParallel calls do n times, with several calls at once.
func inParallel(n int, do func(i int)) {
	var next atomic.Int64
	defer debug.SetGCPercent(debug.SetGCPercent(400)) // the simulations are small, and there are many
	var wg sync.WaitGroup
	for range envInt("REPLICATION_WORKERS", 4) {
		wg.Go(func() {
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				do(i)
			}
		})
	}
	wg.Wait()
}

// sweep runs n seeds; with stop, until one has a violation.
func sweep(first, n uint64, h TestingKnobs, stop bool) *sweepResults {
	r := &sweepResults{shape: map[topology]*topologyTally{}}
	inParallel(int(n), func(i int) {
		if stop && r.hasViolation() {
			return
		}
		seed := first + uint64(i)
		w, err := simulateSeed(seed, seedFaults(seed), h, nil)
		r.add(seed, w, err)
	})
	return r
}

// TestSeeds runs a fixed set of seeds, which is sufficient for CI. The deep run:
//
//	REPLICATION_SEEDS=10000 REPLICATION_WORKERS=4 go test -run 'TestSeeds$' -timeout 60m -v ./internal/system/replication
//
// REPLICATION_FIRST sets the first seed, REPLICATION_TRACE=1 logs the trace of the seed with a violation, with its faults shrunk.
func TestSeeds(t *testing.T) {
	n := 120
	if testing.Short() || raceDetector {
		n = len(shapes)
	}
	playSeeds(t, uint64(envInt("REPLICATION_FIRST", 1)), uint64(envInt("REPLICATION_SEEDS", n)))
}

// TestSeedsLosingZones runs the topologies that must tolerate the loss of a complete zone, all of whose disks are lost at once.
func TestSeedsLosingZones(t *testing.T) {
	n := 40
	if testing.Short() || raceDetector {
		n = len(zoneShapes)
	}
	playSeeds(t, zoneSeeds+uint64(envInt("REPLICATION_FIRST", 1)), uint64(envInt("REPLICATION_SEEDS", n)))
}

// playSeeds runs seeds and logs the results. If there is a violation, it logs the faults that cause it.
func playSeeds(t *testing.T, first, n uint64) {
	t.Helper()
	r := sweep(first, n, TestingKnobs{}, true)
	for _, s := range slices.Concat(shapes[:], zoneShapes[:]) {
		if ta := r.shape[s]; ta != nil {
			t.Logf("%v: %d seeds, %d with a violation, acknowledged again after at most %v: %+v", s, ta.seeds, ta.broken, ta.slowest, ta.stats)
		}
	}
	if r.err == nil {
		return
	}
	t.Errorf("seed %d (%v): %v", r.seed, topologyOf(r.seed), r.err)
	faults := shrinkFaults(r.seed, seedFaults(r.seed), TestingKnobs{})
	for _, f := range faults {
		t.Logf("  %v", f)
	}
	var lines []string
	_, err := simulateSeed(r.seed, faults, TestingKnobs{}, func(s string, args ...any) { lines = append(lines, fmt.Sprintf(s, args...)) })
	t.Logf("with only these faults: %v", err)
	if os.Getenv("REPLICATION_TRACE") != "" {
		for _, l := range lines {
			t.Log(l)
		}
	}
}
