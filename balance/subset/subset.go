// Package subset chooses which servers of a group a sidecar uses: a run of consecutive servers in the group's
// order, so that a sidecar with little traffic connects to few servers and has recent answers from each.
// Together, the runs of all sidecars use each server equally (deterministic subsetting; Google, Site
// Reliability Engineering, 2016, ch. 20).
package subset

import "math"

const (
	// minServers is the minimum length of a run, since some servers may fail.
	minServers = 4
	// levelHysteresis is the number of levels by which the traffic may deviate before the level changes. With
	// 0.5, levels would follow noise.
	levelHysteresis = 1
)

// Level returns the traffic level of a sidecar, which groups sidecars of similar traffic: 1 if all of n
// servers are used, and one more for each halving of that number, down to minServers. Share is the share of
// the servers that the traffic needs. Current is the previous level, or 0 if there was no traffic yet.
func Level(share float64, n, current int) int {
	exact := 1 - math.Log2(min(max(share, minServers/float64(n)), 1))
	isClose := current > 0 && math.Abs(exact-float64(current)) <= levelHysteresis
	if share <= 0 || isClose {
		return current
	}
	return int(math.Round(exact))
}

// ForIndex returns the run, out of n servers, of a sidecar that knows only its own index. The starts follow
// the golden ratio, which spreads any number of sidecars evenly.
func ForIndex(n, index int, share float64) (first, length int) {
	first = int(goldenFraction(index) * float64(n))
	return first, max(minServers, int(math.Ceil(share*float64(n))))
}

// ForMember returns the run of a sidecar, given its index among the count sidecars of the same level and
// zone. Their runs have about the same length and similar traffic. They are spaced evenly around the group,
// with a length such that all servers are in equally many runs. One more member moves each run by less than
// n/count.
func ForMember(n, level, index, count int) (first, length int) {
	step := float64(n) / float64(max(count, 1))
	exact := max(math.Ldexp(float64(n), 1-level), minServers)
	if runs := math.Round(exact / step); runs > 0 && n > 0 {
		exact = runs * step
	}
	from := (float64(index) + goldenFraction(level)) * step // each level starts at a different offset
	length = int(from+exact) - int(from)
	return int(from) % max(n, 1), min(max(length, minServers), n)
}

// goldenFraction returns the fractional part of i times the inverse golden ratio.
func goldenFraction(i int) float64 { return math.Mod(float64(i)*(math.Sqrt(5)-1)/2, 1) }
