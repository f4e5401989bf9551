// Package subset chooses which servers of a group a sidecar uses: a run of consecutive servers in the group's
// order, so that a sidecar with little traffic knows its servers and connects to few. Together the runs of
// all sidecars use each server equally (deterministic subsetting; Google, Site Reliability Engineering, 2016,
// ch. 20).
package subset

import "math"

const (
	// minServers is the least length of a run: some may fail.
	minServers = 4
	// levelHysteresis is how many levels the traffic may be off; at 0.5 levels would follow noise.
	levelHysteresis = 1
)

// Level groups sidecars of like traffic: 1 where all of n servers are used, one more for each halving, down
// to minServers. Share is the part of the servers that the traffic needs, current the level so far, or 0: no
// traffic yet.
func Level(share float64, n, current int) int {
	exact := 1 - math.Log2(min(max(share, minServers/float64(n)), 1))
	isClose := current > 0 && math.Abs(exact-float64(current)) <= levelHysteresis
	if share <= 0 || isClose {
		return current
	}
	return int(math.Round(exact))
}

// ForIndex is the run, of n servers, of a sidecar that knows only its own index: starts that follow the
// golden ratio spread any number of sidecars evenly.
func ForIndex(n, index int, share float64) (first, length int) {
	first = int(goldenFraction(index) * float64(n))
	return first, max(minServers, int(math.Ceil(share*float64(n))))
}

// ForMember is the run of a sidecar that has an index among those alike, count of one level and zone. Runs of
// one length and near one traffic are laid evenly round the group, each on until all servers are in equally
// many. One member more moves each by less than n/count.
func ForMember(n, level, index, count int) (first, length int) {
	step := float64(n) / float64(max(count, 1))
	exact := max(math.Ldexp(float64(n), 1-level), minServers)
	if runs := math.Round(exact / step); runs > 0 && n > 0 {
		exact = runs * step
	}
	from := (float64(index) + goldenFraction(level)) * step // levels start apart
	length = int(from+exact) - int(from)
	return int(from) % max(n, 1), min(max(length, minServers), n)
}

// goldenFraction is the fraction of i times the inverse golden ratio.
func goldenFraction(i int) float64 { return math.Mod(float64(i)*(math.Sqrt(5)-1)/2, 1) }
