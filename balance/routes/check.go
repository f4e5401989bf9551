package routes

import (
	"errors"
	"fmt"
	"math"
	"unicode/utf8"
)

// Bounds of a table.
const (
	MaxRules        = 20_000
	MaxDestinations = 128     // of a rule
	MaxTags         = 16      // of a match
	MaxTextBytes    = 128     // bytes of a name, a tag or a value
	MaxTableBytes   = 4 << 20 // of a table: its texts, and some for each of its parts
)

// Check says what is wrong with a table, naming the rule and its field: it is over a bound, two rules have one name, two
// destinations of a rule one match, or CheckRule refuses a rule.
func (t Table) Check() error {
	if len(t) > MaxRules {
		return fmt.Errorf("%d rules: %d at most", len(t), MaxRules)
	}
	names := make(map[string]bool, len(t))
	for i, r := range t {
		err := r.check()
		if names[r.Name] && err == nil {
			err = errors.New("another rule has this name")
		}
		if err != nil {
			return fmt.Errorf("rule %d, %.60q: %w", i, r.Name, err)
		}
		names[r.Name] = true
	}
	if n := t.sizeBytes(); n > MaxTableBytes {
		return fmt.Errorf("the table takes %d bytes: %d at most", n, MaxTableBytes)
	}
	return nil
}

// sizeBytes is what MaxTableBytes bounds.
func (t Table) sizeBytes() (sum int) {
	match := func(m Match) {
		for tag, v := range m {
			sum += len(tag) + len(v) + 2
		}
	}
	for _, r := range t {
		sum += len(r.Name) + 4
		match(r.Source)
		match(r.Service)
		for _, d := range r.Destinations {
			sum += 12
			match(d.Match)
		}
	}
	return sum
}

func (r Rule) check() error {
	if err := checkText(r.Name); err != nil {
		return fmt.Errorf("field Name: %w", err)
	}
	for _, f := range []struct {
		field string
		m     Match
	}{{"Source", r.Source}, {"Service", r.Service}} {
		if err := f.m.check(); err != nil {
			return fmt.Errorf("field %s: %w", f.field, err)
		}
	}
	if n := len(r.Destinations); n > MaxDestinations {
		return fmt.Errorf("field Destinations: %d, %d at most", n, MaxDestinations)
	}
	seen := make(map[string]bool, len(r.Destinations))
	for i, d := range r.Destinations {
		if err := d.Match.check(); err != nil {
			return fmt.Errorf("field Destinations[%d]: %w", i, err)
		}
		if len(r.Destinations) > 1 {
			key := d.Match.key()
			if seen[key] {
				return fmt.Errorf("field Destinations[%d]: another one matches the same", i)
			}
			seen[key] = true
		}
	}
	return CheckRule(r)
}

func (m Match) check() error {
	if len(m) > MaxTags {
		return fmt.Errorf("%d tags: %d at most", len(m), MaxTags)
	}
	var space [MaxTags]string
	for _, tag := range m.tags(&space) {
		if err := checkText(tag); err != nil {
			return fmt.Errorf("a tag: %w", err)
		}
		if v := m[tag]; v != "" {
			if err := checkText(v); err != nil {
				return fmt.Errorf("tag %q: %w", tag, err)
			}
		}
	}
	return nil
}

func checkText(s string) error {
	switch {
	case s == "":
		return errors.New("it is missing")
	case len(s) > MaxTextBytes:
		return fmt.Errorf("%d bytes: %d at most", len(s), MaxTextBytes)
	case !utf8.ValidString(s):
		return errors.New("it is no UTF-8") // and would be another one at the next reader
	}
	return nil
}

// CheckRule says what no rule may be, whatever table it is in: it needs tags to match on, and weights from 0 up with a sum
// above 0.
func CheckRule(r Rule) error {
	if len(r.Source) == 0 {
		return errors.New("field Source: no tag to match on")
	}
	if len(r.Service) == 0 {
		return errors.New("field Service: no tag to match on")
	}
	for tag := range r.Service {
		if tag != "service" {
			return fmt.Errorf("field Service: tag %q, only service is allowed", tag)
		}
	}
	var sum float64
	for i, d := range r.Destinations {
		if !(d.Weight >= 0 && d.Weight <= math.MaxFloat64) {
			return fmt.Errorf("field Destinations[%d]: weight %v is not a number from 0 up", i, d.Weight)
		}
		sum += d.Weight
	}
	if !(sum > 0 && sum <= math.MaxFloat64) {
		return errors.New("field Destinations: the weights have no sum above 0")
	}
	return nil
}
