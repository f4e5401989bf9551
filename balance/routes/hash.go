package routes

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// tags are the match's tags in order, in a space for most of them.
func (m Match) tags(space *[MaxTags]string) []string {
	all := space[:0]
	for tag := range m {
		all = append(all, tag)
	}
	slices.Sort(all)
	return all
}

// key is the same for equal matches, and for no others.
func (m Match) key() string { return string(m.encode(nil)) }

func (m Match) encode(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(m)))
	var space [MaxTags]string
	for _, tag := range m.tags(&space) {
		b = appendText(appendText(b, tag), m[tag])
	}
	return b
}

func appendText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// Canonical is the same table with each rule's destinations in the one order that all tables share.
func (t Table) Canonical() Table {
	all := make(Table, len(t))
	for i, r := range t {
		if len(r.Destinations) < 2 {
			all[i] = r
			continue
		}
		keys, order := make([]string, len(r.Destinations)), make([]int, len(r.Destinations))
		for j, d := range r.Destinations {
			keys[j], order[j] = d.Match.key(), j
		}
		slices.SortStableFunc(order, func(x, y int) int { return strings.Compare(keys[x], keys[y]) })
		all[i] = r
		if slices.IsSorted(order) {
			continue
		}
		all[i].Destinations = make([]Destination, len(order))
		for at, j := range order {
			all[i].Destinations[at] = r.Destinations[j]
		}
	}
	return all
}

// encode is the same for tables that mean the same, and for no others.
func (t Table) encode() []byte {
	var b []byte
	for _, r := range t.Canonical() {
		b = r.Service.encode(r.Source.encode(appendText(b, r.Name)))
		b = binary.AppendUvarint(b, uint64(len(r.Destinations)))
		for _, d := range r.Destinations {
			size := byte(0)
			if d.PerSize {
				size = 1
			}
			// -0 and 0 are one weight.
			b = append(binary.LittleEndian.AppendUint64(d.Match.encode(b), math.Float64bits(d.Weight+0)), size)
		}
	}
	return b
}

// Hash is 16 hexadecimal digits that tables share which mean the same: the order of destinations is aside, that of rules counts.
func (t Table) Hash() string { return fmt.Sprintf("%016x", xxhash.Sum64(t.encode())) }
