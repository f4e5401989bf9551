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

// UnmarshalJSON implements json.Unmarshaler. Unknown keys, as of later versions, are passed over; a place or a weight that is
// left out is an error, not a default.
func (op *Op) UnmarshalJSON(text []byte) error {
	var form opJSON
	if err := json.Unmarshal(text, &form); err != nil {
		return err
	}
	*op = Op{Kind: form.Kind, Name: form.Name, Source: form.Source, Service: form.Service}
	places, destination := form.Kind == Add || form.Kind == Move, form.Kind == Set || form.Kind == Unset
	switch {
	case places && form.After == nil, form.Kind == Add && form.Rule == nil, destination && form.Match == nil, form.Kind == Set && form.Weight == nil:
		return fmt.Errorf("op %.20q on %.60q lacks what it needs", form.Kind, form.Name)
	}
	if places {
		op.After = *form.After
	}
	if form.Kind == Add {
		op.Rule = *form.Rule
	}
	if destination {
		op.Match = *form.Match
	}
	if form.Kind == Set {
		op.Weight, op.PerSize = *form.Weight, form.PerSize != nil && *form.PerSize
	}
	return nil
}
