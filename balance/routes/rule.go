// Package routes implements the route table: rules ordered from the oldest to the newest, the choice of the rule that applies
// to a client, and the minimal change from one table to another. It does no I/O.
//
// # Terms
//
//   - A rule applies to the clients whose tags satisfy its Source and to the services that satisfy its Service. It sends their
//     requests to its weighted destinations. If several rules apply, Best returns the one that decides.
//   - An Op is one step from a table to another. Diff returns the ops of minimal cost; its comment has the proof.
//
// A table is never modified in place: functions that return a new table share the unchanged rules with the old one.
package routes

import (
	"maps"
	"reflect"
)

// Match is a set of tags and the values they must have. "*" matches any value, but the tag must be present, except for the tag
// "service", which every client and endpoint has.
type Match map[string]string

// equal reports whether two matches are equal. It compares pointers first, since tables derived from each other share most of
// their matches.
func (m Match) equal(other Match) bool {
	return reflect.ValueOf(m).Pointer() == reflect.ValueOf(other).Pointer() || maps.Equal(m, other)
}

// Destination is one weighted group of a rule: the ready endpoints that carry all its tags. An endpoint carries the tags
// "service", "region" (its zone) and "version" (its kind).
type Destination struct {
	Weight float64
	Match  Match
	// PerSize makes Weight the weight per unit of registered size that is ready in the group, instead of the weight of the whole
	// group.
	PerSize bool
}

// Rule is one routing rule.
type Rule struct {
	Name         string        `json:"name"`
	Source       Match         `json:"source"`  // which clients it applies to
	Service      Match         `json:"service"` // which service it applies to: only the tag "service"
	Destinations []Destination `json:"destinations"`
}

// Table contains all rules, from the oldest to the newest. The order of a rule's destinations has no meaning.
type Table []Rule

// Kind is the kind of an Op.
type Kind string

// The kinds of Ops.
const (
	Drop    Kind = "drop"  // removes the rule
	Add     Kind = "add"   // inserts Rule right after the rule After; "": as the oldest rule
	Move    Kind = "move"  // moves the rule right after the rule After; "": as the oldest rule
	Rematch Kind = "match" // sets the rule's Source and Service
	Set     Kind = "set"   // adds the rule's destination with Match, or sets its Weight and PerSize
	Unset   Kind = "unset" // removes the rule's destination with Match
)

// Op is one step from a table to another.
type Op struct {
	Kind            Kind
	Name            string  // name of the rule
	After           string  // Add and Move only
	Rule            Rule    // Add only
	Source, Service Match   // Rematch only
	Match           Match   // Set and Unset only
	Weight          float64 // Set only
	PerSize         bool    // Set only
}

// Cost returns the cost of ops: 1 for each op, and 1 more for each destination of a rule that is added.
func Cost(ops []Op) (sum int) {
	for _, op := range ops {
		sum += 1 + len(op.Rule.Destinations)
	}
	return sum
}

// Relevant returns the rules that can apply to a client with these tags when it calls this service. A nil client stands for any
// client, and "" for any service.
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
