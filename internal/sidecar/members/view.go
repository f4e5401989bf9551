package members

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// View is who is a member, as one of them sees it.
type View struct {
	Epoch uint64 // see epochs
	Index int    // of this member, in Names
	Count int    // of members, this one included; at least 1
	// Names are in the order of a hash of them: neighbours in a list of machines are not neighbours here.
	Names []string
}

// updateView computes the members and the view from the processes that are there. m.mu is held.
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
	// Without the leaving members, all indexes would change twice: at the farewell of an old process and at the arrival of the new one.
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

// sortByHash sorts names by their hash.
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
