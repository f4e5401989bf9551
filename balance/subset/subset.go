// Package subset chooses which servers of a group a sidecar uses: a run of the group's order, so that one
// with little traffic knows its servers and connects to few.
package subset

import "math"

const (
	minServers      = 4 // servers of a run: some may fail
	levelHysteresis = 1 // levels that the traffic may be off; at 0.5 they would follow noise
)

// Level tells sidecars of like traffic: 1 where all of n servers are used, one more for each halving, down to
// least. Was is the level so far, or 0: no traffic yet.
func Level(part float64, n, was int) int {
	exact := 1 - math.Log2(min(max(part, minServers/float64(n)), 1))
	if part <= 0 || was > 0 && math.Abs(exact-float64(was)) <= levelHysteresis {
		return was
	}
	return int(math.Round(exact))
}

// ForIndex is the first of n servers, and the number, for a sidecar that knows only its own number: places
// that follow the golden ratio spread any number of sidecars evenly.
func ForIndex(n, self int, part float64) (first, length int) {
	return int(goldenFraction(self) * float64(n)), max(minServers, int(math.Ceil(part*float64(n))))
}

// ForMember is the same for one that has a place among those alike, count of one level and zone. Runs of one
// length and near one traffic are laid evenly round the group, each on until all servers are in equally
// many. One member more moves each by under n/count.
func ForMember(n, level, place, count int) (first, length int) {
	lap, own := float64(n)/float64(max(count, 1)), max(math.Ldexp(float64(n), 1-level), minServers)
	if runs := math.Round(own / lap); runs > 0 && n > 0 {
		own = runs * lap
	}
	from := (float64(place) + goldenFraction(level)) * lap // levels begin apart
	return int(from) % max(n, 1), min(max(int(from+own)-int(from), minServers), n)
}

func goldenFraction(i int) float64 { return math.Mod(float64(i)*(math.Sqrt(5)-1)/2, 1) }
