// Package subset chooses which servers of a group a sidecar uses: a run of the group's order, so that one
// with little traffic knows its servers and connects to few.
package subset

import "math"

const (
	least = 4 // servers of a run: some may fail
	keep  = 1 // levels that the traffic may be off; at 0.5 they would follow noise
)

// Level tells sidecars of like traffic: 1 where all of n servers are used, one more for each halving, down to
// least. Was is the level so far, or 0: no traffic yet.
func Level(part float64, n, was int) int {
	exact := 1 - math.Log2(min(max(part, least/float64(n)), 1))
	if part <= 0 || was > 0 && math.Abs(exact-float64(was)) <= keep {
		return was
	}
	return int(math.Round(exact))
}

// Alone is the first of n servers, and the number, for a sidecar that knows only its own number: places that
// follow the golden ratio spread any number of sidecars evenly.
func Alone(n, self int, part float64) (first, length int) {
	return int(golden(self) * float64(n)), max(least, int(math.Ceil(part*float64(n))))
}

// Among is the same for one that has a place among those alike, count of one level and zone. Runs of one
// length and near one traffic are laid evenly round the group, each on until all servers are in equally
// many. One member more moves each by under n/count.
func Among(n, level, place, count int) (first, length int) {
	lap, own := float64(n)/float64(max(count, 1)), max(math.Ldexp(float64(n), 1-level), least)
	if runs := math.Round(own / lap); runs > 0 && n > 0 {
		own = runs * lap
	}
	from := (float64(place) + golden(level)) * lap // levels begin apart
	return int(from) % max(n, 1), min(max(int(from+own)-int(from), least), n)
}

func golden(i int) float64 { return math.Mod(float64(i)*(math.Sqrt(5)-1)/2, 1) }
