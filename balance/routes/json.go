package routes

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
)

// destinationJSON is a destination in JSON. A weight that is left out is no weight.
type destinationJSON struct {
	Match   Match    `json:"match"`
	Weight  *float64 `json:"weight"`
	PerSize bool     `json:"per_size"`
}

func (f destinationJSON) destination() Destination {
	d := Destination{Weight: math.NaN(), Match: f.Match, PerSize: f.PerSize} // which Check refuses
	if f.Weight != nil {
		d.Weight = *f.Weight
	}
	return d
}

// MarshalJSON implements json.Marshaler.
func (d Destination) MarshalJSON() ([]byte, error) {
	return json.Marshal(destinationJSON{d.Match, &d.Weight, d.PerSize})
}

// UnmarshalJSON implements json.Unmarshaler. Unknown keys, as of later versions, are passed over.
func (d *Destination) UnmarshalJSON(text []byte) error {
	var f destinationJSON
	if err := json.Unmarshal(text, &f); err != nil {
		return err
	}
	*d = f.destination()
	return nil
}

// ParseRules reads rules as a person wrote them: an unknown key is likely a mistake, and refused. What they say is not checked.
func ParseRules(text []byte) (Table, error) {
	var all []struct {
		Rule
		Destinations []destinationJSON `json:"destinations"`
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&all); err != nil {
		return nil, fmt.Errorf("rules: %w", err)
	}
	t := make(Table, 0, len(all))
	for _, f := range all {
		r := f.Rule
		r.Destinations = make([]Destination, 0, len(f.Destinations))
		for _, d := range f.Destinations {
			r.Destinations = append(r.Destinations, d.destination())
		}
		t = append(t, r)
	}
	return t, nil
}

// opJSON is an op in JSON, with the keys that its kind needs.
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
	f := opJSON{Kind: op.Kind, Name: op.Name, Source: op.Source, Service: op.Service}
	if op.Match == nil {
		op.Match = Match{}
	}
	switch op.Kind {
	case Add:
		f.After, f.Rule = &op.After, &op.Rule
	case Move:
		f.After = &op.After
	case Set:
		f.Match, f.Weight, f.PerSize = &op.Match, &op.Weight, &op.PerSize
	case Unset:
		f.Match = &op.Match
	}
	return json.Marshal(f)
}

// UnmarshalJSON implements json.Unmarshaler. Unknown keys, as of later versions, are passed over; a place or a weight that is
// left out is an error, not a default.
func (op *Op) UnmarshalJSON(text []byte) error {
	var f opJSON
	if err := json.Unmarshal(text, &f); err != nil {
		return err
	}
	*op = Op{Kind: f.Kind, Name: f.Name, Source: f.Source, Service: f.Service}
	places, destination := f.Kind == Add || f.Kind == Move, f.Kind == Set || f.Kind == Unset
	switch {
	case places && f.After == nil, f.Kind == Add && f.Rule == nil, destination && f.Match == nil, f.Kind == Set && f.Weight == nil:
		return fmt.Errorf("op %.20q on %.60q lacks what it needs", f.Kind, f.Name)
	}
	if places {
		op.After = *f.After
	}
	if f.Kind == Add {
		op.Rule = *f.Rule
	}
	if destination {
		op.Match = *f.Match
	}
	if f.Kind == Set {
		op.Weight, op.PerSize = *f.Weight, f.PerSize != nil && *f.PerSize
	}
	return nil
}
