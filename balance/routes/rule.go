// Package routes is the route table: rules from the oldest to the newest, which of them decides for a client, and the least
// change from one table to another. It is values and decisions, without I/O.
//
// # Terms
//
//   - A rule applies to the clients whose tags satisfy its Source and to the services that satisfy its Service; it sends their
//     requests to its weighted destinations. Best says which rule decides where several apply.
//   - An Op is one step from a table to another; Diff returns those of least cost, and says why they are.
//
// A table is never changed in place: what makes another one shares the rules that stay.
package routes

import (
	"maps"
	"reflect"
)

// Match is a set of tags and the values they must have; "*" matches any value, but the tag must be there, except for the tag
// "service", which every client and endpoint has.
type Match map[string]string

// equal tells whether two matches are the same. Tables that came one from the other share most of theirs.
func (m Match) equal(other Match) bool {
	return reflect.ValueOf(m).Pointer() == reflect.ValueOf(other).Pointer() || maps.Equal(m, other)
}

// Destination is one weighted group of a rule: the ready endpoints that carry all its tags. An endpoint carries the tags
// "service", "region" (its zone) and "version" (its kind).
type Destination struct {
	Weight float64
	Match  Match
	// PerSize makes Weight the weight of each unit of registered size that is ready in the group, in place of the weight of the
	// whole group.
	PerSize bool
}

// Rule is one routing rule.
type Rule struct {
	Name         string        `json:"name"`
	Source       Match         `json:"source"`  // which clients it applies to
	Service      Match         `json:"service"` // which service it applies to: only the tag "service"
	Destinations []Destination `json:"destinations"`
}

// Table is all rules, from the oldest to the newest. The order of a rule's destinations means nothing.
type Table []Rule

// Kind says what an Op does.
type Kind string

// The kinds of Ops.
const (
	Drop    Kind = "drop"  // the rule goes
	Add     Kind = "add"   // Rule comes, right after the rule After; "": in the oldest place
	Move    Kind = "move"  // the rule goes there
	Rematch Kind = "match" // the rule has this Source and Service
	Set     Kind = "set"   // the rule's destination of Match comes, or has this Weight and PerSize
	Unset   Kind = "unset" // the rule's destination of Match goes
)

// Op is one step from a table to another.
type Op struct {
	Kind            Kind
	Name            string // of the rule
	After           string // add, move
	Rule            Rule   // add
	Source, Service Match  // match
	Match           Match  // set, unset
	Weight          float64
	PerSize         bool
}

// Cost is what ops cost: 1 each, and 1 more for each destination that is added with a rule.
func Cost(ops []Op) (sum int) {
	for _, op := range ops {
		sum += 1 + len(op.Rule.Destinations)
	}
	return sum
}

// Relevant has the rules that can ever decide for a client with these tags that calls this service; nil: any client, "": any
// service.
func (t Table) Relevant(client map[string]string, service string) Table {
	relevant, called := Table{}, map[string]string{"service": service}
	for _, rule := range t {
		sourceMatches, _ := rule.Source.Matches(client)
		serviceMatches, _ := rule.Service.Matches(called)
		if (sourceMatches || client == nil) && (serviceMatches || service == "") {
			relevant = append(relevant, rule)
		}
	}
	return relevant
}
