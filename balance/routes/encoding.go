package routes

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// sortedTags returns the match's tags in sorted order. It uses the given space unless there are more than MaxTags of them.
func (m Match) sortedTags(space *[MaxTags]string) []string {
	all := space[:0]
	for tag := range m {
		all = append(all, tag)
	}
	slices.Sort(all)
	return all
}

// key returns a string that is the same for equal matches only.
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

// Canonical returns the same table with the destinations of each rule in a canonical order.
func (t Table) Canonical() Table {
	all := make(Table, len(t))
	for i, rule := range t {
		all[i] = rule.canonical()
	}
	return all
}

// canonical returns the rule with its destinations in canonical order. If they already are, it shares them with r.
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

// encode returns an encoding that is the same for equivalent tables only.
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
	const positiveZero = 0 // adding it turns -0 into 0, so that both encode as the same weight
	encoded = d.Match.encode(encoded)
	encoded = binary.LittleEndian.AppendUint64(encoded, math.Float64bits(d.Weight+positiveZero))
	if d.PerSize {
		return append(encoded, 1)
	}
	return append(encoded, 0)
}

// Hash returns a hash of 16 hexadecimal digits that is the same for equivalent tables. It does not depend on the order of
// destinations, but on the order of rules.
func (t Table) Hash() string { return fmt.Sprintf("%016x", xxhash.Sum64(t.encode())) }
