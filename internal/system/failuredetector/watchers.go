package failuredetector

import (
	"slices"

	"gradeusher.example/gradeusher/internal/system/ownership"
)

// Watchers returns the count nodes that watch node and receive its heartbeats. The result depends only on the set of live nodes.
func Watchers(node string, live []string, count int) []string {
	others := slices.DeleteFunc(slices.Clone(live), func(n string) bool { return n == node })
	return ownership.Owners(node, others, count)
}

// Watched returns the nodes that self watches, in the order of live: those that have self among their Watchers.
func Watched(self string, live []string, count int) []string {
	nodes := ownership.NewNodes(live)
	var watched []string
	for _, n := range live {
		if n != self && nodes.IsOwner(n, self, n, count) {
			watched = append(watched, n)
		}
	}
	return watched
}
