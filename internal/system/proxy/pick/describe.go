package pick

import (
	"fmt"
	"strings"
)

// Describe tells an operator what each server may get and why one gets nothing, a line for each, in the order of ids.
func (p *Picker) Describe(now Time) string {
	var b strings.Builder
	for _, id := range p.sortedIDs() {
		s := p.servers[id]
		fmt.Fprintf(&b, "%s %s %s: %s, own %d, others %d, prefill %d, slots %d\n", id, s.Service, s.Zone,
			p.eligibility(now, s, nil, nil), s.ownLoad.Requests, s.peerLoad.Requests, s.ownLoad.Prefill+s.peerLoad.Prefill, s.slots())
	}
	return b.String()
}
