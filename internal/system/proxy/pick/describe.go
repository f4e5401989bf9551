package pick

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Describe returns one line per server for operators, sorted by id: whether the server is eligible, or why not, and its load.
func (p *Picker) Describe(now Time) string {
	var b strings.Builder
	input := &pickInput{now: now}
	for _, id := range slices.Sorted(maps.Keys(p.servers)) {
		s := p.servers[id]
		fmt.Fprintf(&b, "%s %s %s: %s, own %d, others %d, prefill %d, slots %d\n", id, s.Service, s.Zone,
			p.eligibility(input, s), s.load.own.Requests, s.load.peers.Requests, s.load.own.Prefill+s.load.peers.Prefill, s.slots())
	}
	return b.String()
}
