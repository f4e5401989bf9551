package hitters

import (
	"cmp"
	"math"
	"slices"
)

// maxMin is the level up to which each client gets what it asks for, so that together they get what is left: the max-min
// fair share, found by filling up from the least (Bertsekas and Gallager, Data networks, 1992, 6.5.2). It is infinite
// where all can have all, and below 0 where less than nothing is left. It puts clients in the order of what they ask for.
func maxMin(left float64, clients []tally) float64 {
	slices.SortFunc(clients, func(x, y tally) int { return cmp.Or(cmp.Compare(x.total, y.total), cmp.Compare(x.key, y.key)) })
	for i, t := range clients {
		if each := left / float64(len(clients)-i); each < float64(t.total) {
			return each
		}
		left -= float64(t.total)
	}
	return math.Inf(1)
}
