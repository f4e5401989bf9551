package subset

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"
)

// sidecar is a simulated sidecar: its sort key, its decaying count of requests and its traffic level.
type sidecar struct {
	sortKey float64
	traffic float64
	level   int
}

// randomSidecars returns n sidecars with the given mean count of requests. If uneven, the traffic has a coefficient of variation of 1, as
// in the benchmark fleet.
func randomSidecars(rng *rand.Rand, n int, mean float64, uneven bool) []sidecar {
	list := make([]sidecar, n)
	var sum float64
	for i := range list {
		list[i] = sidecar{sortKey: rng.Float64(), traffic: 1}
		if uneven {
			list[i].traffic = rng.ExpFloat64()
		}
		sum += list[i].traffic
	}
	for i := range list {
		list[i].traffic *= mean * float64(n) / sum
	}
	return list
}

type run struct{ first, length int }

// runsByIndex returns the runs of all sidecars over n servers if they know only their own index.
func runsByIndex(list []sidecar, n int) (runs []run) {
	for i, s := range list {
		first, length := ForIndex(n, i, s.traffic/float64(n))
		runs = append(runs, run{first, min(length, n)})
	}
	return runs
}

// runsByMember returns the runs of all sidecars over n servers if they know their position among the members of their level.
func runsByMember(list []sidecar, n int) (runs []run) {
	levels := map[int][]float64{}
	for i := range list {
		s := &list[i]
		s.level = Level(s.traffic/float64(n), n, s.level)
		levels[s.level] = append(levels[s.level], s.sortKey)
	}
	for _, names := range levels {
		slices.Sort(names)
	}
	for _, s := range list {
		place, _ := slices.BinarySearch(levels[s.level], s.sortKey)
		first, length := ForMember(n, s.level, place, len(levels[s.level]))
		runs = append(runs, run{first, length})
	}
	return runs
}

// measureSpread returns the maximum and the 99th percentile of the servers' load relative to the mean, and the mean number of runs that a
// server is in.
func measureSpread(list []sidecar, runs []run, n int) (highest, p99, cover float64) {
	got := make([]float64, n)
	var sum float64
	for i, r := range runs {
		for k := range r.length {
			got[(r.first+k)%n] += list[i].traffic / float64(r.length)
		}
		sum += list[i].traffic
		cover += float64(r.length) / float64(n)
	}
	slices.Sort(got)
	mean := sum / float64(n)
	return got[n-1] / mean, got[int(math.Ceil(0.99*float64(n)))-1] / mean, cover
}

// countMoved returns the number of servers of a run that are not in the run after a change, comparing ids.
func countMoved(before, after run, oldIDs, newIDs []string) (lost int) {
	now := map[string]bool{}
	for k := range after.length {
		now[newIDs[(after.first+k)%len(newIDs)]] = true
	}
	for k := range before.length {
		if !now[oldIDs[(before.first+k)%len(oldIDs)]] {
			lost++
		}
	}
	return lost
}

// churn returns the mean and maximum number of servers that a run loses, over the sidecars in both lists.
func churn(before, after []run, oldIDs, newIDs []string) (mean, most float64) {
	for i, r := range before {
		m := float64(countMoved(r, after[i], oldIDs, newIDs))
		mean, most = mean+m/float64(len(before)), max(most, m)
	}
	return mean, most
}

func servers(n int) (ids []string) {
	for i := range n {
		ids = append(ids, fmt.Sprintf("s-%05d", i))
	}
	return ids
}

func byHash(ids []string) []string {
	ids = slices.Clone(ids)
	slices.SortFunc(ids, func(a, b string) int {
		if xxhash.Sum64String(a) < xxhash.Sum64String(b) {
			return -1
		}
		return 1
	})
	return ids
}

// TestFairAndSteady compares runs by member position with runs by index. The balance is checked only if servers are in ten runs or
// more, since otherwise one run more or less changes a server's load by over a tenth. Levels round the length of runs, so servers may
// be in more runs by a factor of up to the square root of two.
func TestFairAndSteady(t *testing.T) {
	for _, size := range []struct {
		sidecars, servers int
		mean              float64
	}{{10, 10, 4}, {10, 100, 60}, {10, 1000, 400}, {100, 10, 5}, {100, 100, 10}, {100, 100, 40}, {100, 1000, 100}, {300, 33, 10},
		{300, 66, 30}, {300, 200, 20}, {300, 200, 60}, {1000, 10, 4}, {1000, 100, 4}, {1000, 100, 30}, {1000, 1000, 10}, {1000, 1000, 60}} {
		for _, uneven := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d sidecars, %d servers, %g requests, uneven %v", size.sidecars, size.servers, size.mean, uneven), func(t *testing.T) {
				m := measure(size.sidecars, size.servers, size.mean, uneven)
				m.log(t)
				m.check(t, size.sidecars, size.servers)
			})
		}
	}
}

// spreading is the result of spread, averaged over some seeds.
type spreading struct{ most, p99, cover float64 }

func (s *spreading) add(list []sidecar, runs []run, n int) {
	most, p99, cover := measureSpread(list, runs, n)
	s.most, s.p99, s.cover = s.most+most/seeds, s.p99+p99/seeds, s.cover+cover/seeds
}

// moving is the number of servers that a run loses: the mean over some seeds, and the maximum.
type moving struct{ mean, worst float64 }

func (m *moving) add(before, after []run, oldIDs, newIDs []string) {
	mean, worst := churn(before, after, oldIDs, newIDs)
	m.mean, m.worst = m.mean+mean/seeds, max(m.worst, worst)
}

const seeds = 4

// measurement is what TestFairAndSteady measures of a fleet.
type measurement struct {
	byIndex, byMember spreading
	joined, listed    moving // after adding one sidecar, after adding one server
}

func measure(sidecars, n int, mean float64, uneven bool) (m measurement) {
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 1))
		list := randomSidecars(rng, sidecars, mean, uneven)
		ids := byHash(servers(n))
		old, runs := runsByIndex(list, n), runsByMember(list, n)
		m.byIndex.add(list, old, n)
		m.byMember.add(list, runs, n)
		more := append(slices.Clone(list), sidecar{sortKey: rng.Float64(), traffic: list[rng.IntN(len(list))].traffic})
		m.joined.add(runs, runsByMember(more, n), ids, ids)
		m.listed.add(runs, runsByMember(list, n+1), ids, byHash(append(servers(n), fmt.Sprint("new", seed))))
	}
	return m
}

// check checks the measurement against the bounds.
func (m measurement) check(t *testing.T, sidecars, servers int) {
	t.Helper()
	if b := m.byMember; b.cover >= 30 && b.most > 1.15 || b.cover >= 10 && (b.most > 1.3 || b.p99 > 1.25) {
		t.Errorf("servers in %.1f runs get up to %.2f of the mean load, %.2f at p99", b.cover, b.most, b.p99)
	}
	if a, b := m.byIndex, m.byMember; b.most > a.most+0.01 || b.cover > math.Sqrt2*a.cover {
		t.Errorf("servers get up to %.2f in %.1f runs by member position, %.2f in %.1f runs by index", b.most, b.cover, a.most, a.cover)
	}
	if 6*sidecars >= servers && m.joined.mean >= 2 || m.listed.mean >= 2 {
		t.Errorf("one more sidecar moves %.2f servers of a run, one more server %.2f; want under 2", m.joined.mean, m.listed.mean)
	}
}

func (m measurement) log(t *testing.T) {
	t.Helper()
	t.Logf("by index %+.2f, by member %+.2f, moved by one sidecar %+.2f, by one server %+.2f", m.byIndex, m.byMember, m.joined, m.listed)
}

// TestReleaseMovesOnlyReplacedServers renames a tenth of the servers so that the new names come last in a sorted list. In the order of
// names, whole runs shift; in the order of hashes, runs should lose little more than the servers that are gone.
func TestReleaseMovesOnlyReplacedServers(t *testing.T) {
	const n, part = 200, 20
	list := randomSidecars(rand.New(rand.NewPCG(1, 1)), 300, 60, true)
	oldIDs := servers(n)
	newIDs := servers(n + part)[part:]
	runs := runsByMember(list, n)
	named, _ := churn(runs, runs, oldIDs, newIDs)
	hashed, _ := churn(runs, runs, byHash(oldIDs), byHash(newIDs))
	var mean float64
	for _, r := range runs {
		mean += float64(r.length) / float64(len(runs))
	}
	t.Logf("of %.1f servers in a run %.1f move in the order of names, %.1f in the order of hashes", mean, named, hashed)
	if hashed > mean*part/n*1.5 || hashed > named/1.5 {
		t.Errorf("%.1f of %.1f servers in a run move in the order of hashes, %.1f in the order of names", hashed, mean, named)
	}
}

// TestLevelIgnoresNoise checks that a level does not follow the noise in a count of requests that decays to 1/e in 6 s.
func TestLevelIgnoresNoise(t *testing.T) {
	const n, minutes = 200, 5
	for _, rate := range []float64{1, 3, 10, 20} {
		rng := rand.New(rand.NewPCG(uint64(rate), 2))
		arrived, level, length, levels, lengths := 6*rate, 0, 0, 0, 0
		for second := range 60 * minutes {
			arrived *= math.Exp(-1.0 / 6)
			for at := rng.ExpFloat64(); at < rate; at += rng.ExpFloat64() {
				arrived++
			}
			_, l := ForIndex(n, 0, arrived/n)
			lengths += max(l-length, length-l)
			if length = l; second%12 == 0 {
				l := Level(arrived/n, n, level)
				if l != level && level > 0 {
					levels++
				}
				level = l
			}
		}
		t.Logf("%2.0f requests per second: %3d servers join or leave per minute by index, %.1f level changes", rate, lengths/minutes,
			float64(levels)/minutes)
		if levels > 2*minutes {
			t.Errorf("%d level changes in %d minutes", levels, minutes)
		}
	}
}

// TestRunsCoverServersEvenly checks that all runs of one level are within the group, and that the numbers of runs of any two servers differ
// by at most one, unless runs have the minimum length.
func TestRunsCoverServersEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, count := rapid.IntRange(1, 1000).Draw(t, "servers"), rapid.IntRange(1, 1000).Draw(t, "count")
		level := rapid.IntRange(1, 11).Draw(t, "level")
		in := make([]int, n)
		shortest := n
		for place := range count {
			first, length := ForMember(n, level, place, count)
			if first < 0 || first >= n || length < min(n, minServers) || length > n {
				t.Fatalf("invalid run of length %d from %d of %d servers", length, first, n)
			}
			shortest = min(shortest, length)
			for k := range length {
				in[(first+k)%n]++
			}
		}
		if low, high := slices.Min(in), slices.Max(in); shortest > minServers && high > low+1 {
			t.Fatalf("servers are in %d to %d runs with a length of at least %d", low, high, shortest)
		}
	})
}

// TestEmptyGroup checks that the run in an empty group is empty.
func TestEmptyGroup(t *testing.T) {
	if first, length := ForMember(0, 3, 0, 0); first != 0 || length != 0 {
		t.Errorf("run of length %d from %d in an empty group", length, first)
	}
}
