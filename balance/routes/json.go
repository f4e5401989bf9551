package routes

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
)

// destinationJSON is the JSON format of a destination. Weight is a pointer so that a missing weight can be detected.
type destinationJSON struct {
	Match   Match    `json:"match"`
	Weight  *float64 `json:"weight"`
	PerSize bool     `json:"per_size"`
}

func (f destinationJSON) destination() Destination {
	d := Destination{Weight: math.NaN(), Match: f.Match, PerSize: f.PerSize} // Check rejects NaN
	if f.Weight != nil {
		d.Weight = *f.Weight
	}
	return d
}

// MarshalJSON implements json.Marshaler.
func (d Destination) MarshalJSON() ([]byte, error) {
	return json.Marshal(destinationJSON{d.Match, &d.Weight, d.PerSize})
}

// UnmarshalJSON implements json.Unmarshaler. Unknown keys, such as those of later versions, are ignored.
func (d *Destination) UnmarshalJSON(text []byte) error {
	var f destinationJSON
	if err := json.Unmarshal(text, &f); err != nil {
		return err
	}
	*d = f.destination()
	return nil
}

// ParseRules parses rules written by a person. It rejects unknown keys, since they are probably mistakes, but does not validate
// the rules.
func ParseRules(text []byte) (Table, error) {
	var all []struct {
		Rule
		Destinations []destinationJSON `json:"destinations"`
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&all); err != nil {
		return nil, fmt.Errorf("rules: %w", err)
	}
	table := make(Table, 0, len(all))
	for _, form := range all {
		rule := form.Rule
		rule.Destinations = make([]Destination, 0, len(form.Destinations))
		for _, destination := range form.Destinations {
			rule.Destinations = append(rule.Destinations, destination.destination())
		}
		table = append(table, rule)
	}
	return table, nil
}

// opJSON is the JSON format of an op, which has only the keys that its kind needs.
type opJSON struct {
	Kind    Kind     `json:"op"`
	Name    string   `json:"name"`
	After   *string  `json:"after,omitempty"`
	Rule    *Rule    `json:"rule,omitempty"`
	Source  Match    `json:"source,omitempty"`
	Service Match    `json:"service,omitempty"`
	Match   *Match   `json:"match,omitempty"`
	Weight  *float64 `json:"weight,omitempty"`
	PerSize *bool    `json:"per_size,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (op Op) MarshalJSON() ([]byte, error) {
	form := opJSON{Kind: op.Kind, Name: op.Name, Source: op.Source, Service: op.Service}
	if op.Match == nil {
		op.Match = Match{}
	}
	switch op.Kind {
	case Add:
		form.After, form.Rule = &op.After, &op.Rule
	case Move:
		form.After = &op.After
	case Set:
		form.Match, form.Weight, form.PerSize = &op.Match, &op.Weight, &op.PerSize
	case Unset:
		form.Match = &op.Match
	}
	return json.Marshal(form)
}

// ErrIncompleteOp is returned for an op that lacks a key that its kind needs.
var ErrIncompleteOp = errors.New("lacks what it needs")

// UnmarshalJSON implements json.Unmarshaler. Unknown keys, such as those of later versions, are ignored. A missing key that the
// op's kind needs results in ErrIncompleteOp, not in a default.
func (op *Op) UnmarshalJSON(text []byte) error {
	var form opJSON
	if err := json.Unmarshal(text, &form); err != nil {
		return err
	}
	if !form.isComplete() {
		return fmt.Errorf("op %.20q on %.60q %w", form.Kind, form.Name, ErrIncompleteOp)
	}
	*op = Op{Kind: form.Kind, Name: form.Name, Source: form.Source, Service: form.Service}
	if form.hasPlace() {
		op.After = *form.After
	}
	if form.Kind == Add {
		op.Rule = *form.Rule
	}
	if form.hasDestination() {
		op.Match = *form.Match
	}
	if form.Kind == Set {
		op.Weight = *form.Weight
		op.PerSize = form.PerSize != nil && *form.PerSize
	}
	return nil
}

func (f opJSON) hasPlace() bool { return f.Kind == Add || f.Kind == Move }

func (f opJSON) hasDestination() bool { return f.Kind == Set || f.Kind == Unset }

// isComplete reports whether an op has the keys that its kind needs.
func (f opJSON) isComplete() bool {
	switch {
	case f.hasPlace() && f.After == nil:
		return false
	case f.Kind == Add && f.Rule == nil:
		return false
	case f.hasDestination() && f.Match == nil:
		return false
	case f.Kind == Set && f.Weight == nil:
		return false
	}
	return true
}
