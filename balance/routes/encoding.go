package routes

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// sortedTags are the match's tags in order, in a space for most of them.
func (m Match) sortedTags(space *[MaxTags]string) []string {
	all := space[:0]
	for tag := range m {
		all = append(all, tag)
	}
	slices.Sort(all)
	return all
}

// key is the same for equal matches, and for no others.
func (m Match) key() string { return string(m.encode(nil)) }

func (m Match) encode(encoded []byte) []byte {
	encoded = binary.AppendUvarint(encoded, uint64(len(m)))
	var space [MaxTags]string
	for _, tag := range m.sortedTags(&space) {
		encoded = appendText(appendText(encoded, tag), m[tag])
	}
	return encoded
}

func appendText(encoded []byte, text string) []byte {
	return append(binary.AppendUvarint(encoded, uint64(len(text))), text...)
}

// Canonical is the same table with each rule's destinations in the one order that all tables share.
func (t Table) Canonical() Table {
	all := make(Table, len(t))
	for i, rule := range t {
		all[i] = rule.canonical()
	}
	return all
}

// canonical shares the destinations of a rule that has them in order.
func (r Rule) canonical() Rule {
	if len(r.Destinations) < 2 {
		return r
	}
	keys, order := make([]string, len(r.Destinations)), make([]int, len(r.Destinations))
	for i, destination := range r.Destinations {
		keys[i], order[i] = destination.Match.key(), i
	}
	slices.SortStableFunc(order, func(x, y int) int { return strings.Compare(keys[x], keys[y]) })
	if slices.IsSorted(order) {
		return r
	}
	sorted := make([]Destination, len(order))
	for to, from := range order {
		sorted[to] = r.Destinations[from]
	}
	r.Destinations = sorted
	return r
}

// encode is the same for tables that mean the same, and for no others.
func (t Table) encode() []byte {
	var encoded []byte
	for _, rule := range t.Canonical() {
		encoded = appendText(encoded, rule.Name)
		encoded = rule.Source.encode(encoded)
		encoded = rule.Service.encode(encoded)
		encoded = binary.AppendUvarint(encoded, uint64(len(rule.Destinations)))
		for _, destination := range rule.Destinations {
			encoded = destination.encode(encoded)
		}
	}
	return encoded
}

func (d Destination) encode(encoded []byte) []byte {
	const positiveZero = 0 // added, it makes -0 and 0 one weight
	encoded = d.Match.encode(encoded)
	encoded = binary.LittleEndian.AppendUint64(encoded, math.Float64bits(d.Weight+positiveZero))
	if d.PerSize {
		return append(encoded, 1)
	}
	return append(encoded, 0)
}

// Hash is 16 hexadecimal digits that tables share which mean the same: the order of destinations does not count, that of rules
// does.
func (t Table) Hash() string { return fmt.Sprintf("%016x", xxhash.Sum64(t.encode())) }
