package failuredetector

import (
	"slices"

	"gradeusher.example/gradeusher/internal/system/ownership"
)

// Watchers names the k nodes that watch node: those that it beats to. It is the same for all who count the same nodes
// live.
func Watchers(node string, live []string, k int) []string {
	others := slices.DeleteFunc(slices.Clone(live), func(n string) bool { return n == node })
	return ownership.Owners(node, others, k)
}

// Watched names the nodes that self watches, in the order of live: those that count self among their Watchers.
func Watched(self string, live []string, k int) []string {
	nodes := ownership.NewNodes(live)
	var watched []string
	for _, n := range live {
		if n != self && nodes.IsOwner(n, self, n, k) {
			watched = append(watched, n)
		}
	}
	return watched
}
