package members

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// View is the set of members as one of them sees it.
type View struct {
	Epoch uint64 // equal epochs of two members mean equal sets; it never decreases
	Index int    // of this member in Names
	Count int    // of members, this one included; at least 1
	// Names are sorted by a hash of them, so that neighbours in a list of machines are not neighbours here.
	Names []string
}

// updateView computes members and view from the processes that are there and the farewells. It drops farewells that have expired, and
// claims an epoch for a set that is new. m.mu is held.
func (m *Members) updateView() {
	now := time.Now()
	clear(m.members)
	for _, n := range m.nodes {
		m.members[n.name] = max(m.members[n.name], n.start)
	}
	names := make([]string, 0, len(m.members))
	for name := range m.members {
		names = append(names, name)
	}
	// A member whose process said farewell stays in the view for handoverTime. Else an upgrade would change all indexes twice: when the
	// old process leaves, and when the new one joins.
	for name, p := range m.farewells {
		if _, there := m.members[name]; now.Sub(p.receivedAt) >= handoverTime {
			delete(m.farewells, name)
		} else if !there {
			names = append(names, name)
		}
	}
	sortByHash(names)
	if slices.Equal(names, m.view.Names) {
		return
	}
	hash := xxhash.Sum64String(strings.Join(names, "\x00"))
	if m.epochs.adoptSet(uint32(hash)) {
		m.queueClaim(m.epochs.own)
	}
	m.view = View{Epoch: m.epochs.own.epoch(), Index: slices.Index(names, m.options.Name), Count: len(names), Names: names}
}

// sortByHash sorts names by their hash, and names of equal hash by themselves.
func sortByHash(names []string) {
	slices.SortFunc(names, func(x, y string) int {
		if a, b := xxhash.Sum64String(x), xxhash.Sum64String(y); a != b {
			if a < b {
				return -1
			}
			return 1
		}
		return strings.Compare(x, y)
	})
}
