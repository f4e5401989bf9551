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
	MaxDestinations = 128     // per rule
	MaxTags         = 16      // per match
	MaxTextBytes    = 128     // of a name, a tag or a value
	MaxTableBytes   = 4 << 20 // of a table: its texts plus an overhead per part, see below
)

// The overhead in bytes that each part of a table counts for, in addition to its texts.
const (
	tagBytes         = 2
	ruleBytes        = 4
	destinationBytes = 12
)

var (
	errSameName = errors.New("another rule has this name")
	errNoText   = errors.New("it is missing")
	errNotUTF8  = errors.New("it is no UTF-8") // other readers could decode it as a different text
)

// FieldError reports an invalid field of a rule.
type FieldError struct {
	Field string
	Err   error
}

func (e *FieldError) Error() string { return "field " + e.Field + ": " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *FieldError) Unwrap() error { return e.Err }

func badField(field, format string, args ...any) error {
	return &FieldError{Field: field, Err: fmt.Errorf(format, args...)}
}

func destinationField(i int) string { return fmt.Sprintf("Destinations[%d]", i) }

// Check returns an error that names the rule and field if the table exceeds a bound, two rules have the same name, two
// destinations of a rule have the same match, or CheckRule rejects a rule.
func (t Table) Check() error {
	if len(t) > MaxRules {
		return fmt.Errorf("%d rules: %d at most", len(t), MaxRules)
	}
	names := make(map[string]bool, len(t))
	for i, rule := range t {
		err := rule.check()
		if err == nil && names[rule.Name] {
			err = errSameName
		}
		if err != nil {
			return fmt.Errorf("rule %d, %.60q: %w", i, rule.Name, err)
		}
		names[rule.Name] = true
	}
	if size := t.sizeBytes(); size > MaxTableBytes {
		return fmt.Errorf("the table takes %d bytes: %d at most", size, MaxTableBytes)
	}
	return nil
}

// sizeBytes returns the size that MaxTableBytes limits.
func (t Table) sizeBytes() (sum int) {
	for _, rule := range t {
		sum += len(rule.Name) + ruleBytes + rule.Source.sizeBytes() + rule.Service.sizeBytes()
		for _, destination := range rule.Destinations {
			sum += destinationBytes + destination.Match.sizeBytes()
		}
	}
	return sum
}

func (m Match) sizeBytes() (sum int) {
	for tag, value := range m {
		sum += len(tag) + len(value) + tagBytes
	}
	return sum
}

func (r Rule) check() error {
	if err := checkText(r.Name); err != nil {
		return &FieldError{Field: "Name", Err: err}
	}
	if err := r.Source.check(); err != nil {
		return &FieldError{Field: "Source", Err: err}
	}
	if err := r.Service.check(); err != nil {
		return &FieldError{Field: "Service", Err: err}
	}
	if count := len(r.Destinations); count > MaxDestinations {
		return badField("Destinations", "%d, %d at most", count, MaxDestinations)
	}
	if err := r.checkDestinations(); err != nil {
		return err
	}
	return CheckRule(r)
}

func (r Rule) checkDestinations() error {
	seen := make(map[string]bool, len(r.Destinations))
	for i, destination := range r.Destinations {
		if err := destination.Match.check(); err != nil {
			return &FieldError{Field: destinationField(i), Err: err}
		}
		if len(r.Destinations) == 1 {
			return nil
		}
		key := destination.Match.key()
		if seen[key] {
			return badField(destinationField(i), "another one matches the same")
		}
		seen[key] = true
	}
	return nil
}

func (m Match) check() error {
	if len(m) > MaxTags {
		return fmt.Errorf("%d tags: %d at most", len(m), MaxTags)
	}
	var space [MaxTags]string
	for _, tag := range m.sortedTags(&space) {
		if err := checkText(tag); err != nil {
			return fmt.Errorf("a tag: %w", err)
		}
		if value := m[tag]; value != "" {
			if err := checkText(value); err != nil {
				return fmt.Errorf("tag %q: %w", tag, err)
			}
		}
	}
	return nil
}

func checkText(text string) error {
	switch {
	case text == "":
		return errNoText
	case len(text) > MaxTextBytes:
		return fmt.Errorf("%d bytes: %d at most", len(text), MaxTextBytes)
	case !utf8.ValidString(text):
		return errNotUTF8
	}
	return nil
}

// CheckRule checks what is required of a rule independent of its table: it must have tags to match on, and its weights must be
// non-negative with a sum above 0.
func CheckRule(r Rule) error {
	if len(r.Source) == 0 {
		return badField("Source", "no tag to match on")
	}
	if len(r.Service) == 0 {
		return badField("Service", "no tag to match on")
	}
	for tag := range r.Service {
		if tag != "service" {
			return badField("Service", "tag %q, only service is allowed", tag)
		}
	}
	var sum float64
	for i, destination := range r.Destinations {
		if !(destination.Weight >= 0 && destination.Weight <= math.MaxFloat64) {
			return badField(destinationField(i), "weight %v is not a number from 0 up", destination.Weight)
		}
		sum += destination.Weight
	}
	if !(sum > 0 && sum <= math.MaxFloat64) {
		return badField("Destinations", "the weights have no sum above 0")
	}
	return nil
}
