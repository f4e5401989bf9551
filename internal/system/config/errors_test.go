package config

import (
	stderrors "errors"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestInvalidError: an error of this package is an ErrInvalid and an InvalidError for the standard library's errors and for
// cockroachdb's, also where it is wrapped.
func TestInvalidError(t *testing.T) {
	_, err := Parse([]byte("{"))
	for name, err := range map[string]error{"as it is": err, "wrapped": errors.Wrap(err, "state")} {
		t.Run(name, func(t *testing.T) {
			if !errors.Is(err, ErrInvalid) || !stderrors.Is(err, ErrInvalid) {
				t.Errorf("not of kind ErrInvalid: %v", err)
			}
			if found := new(InvalidError); !errors.As(err, &found) || found.Reason == "" {
				t.Errorf("no InvalidError: %v", err)
			}
		})
	}
}
