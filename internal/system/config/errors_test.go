package config

import (
	stderrors "errors"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestInvalidError: errors of this package, also when wrapped, match ErrInvalid and InvalidError with the standard library's errors
// package and with cockroachdb's.
func TestInvalidError(t *testing.T) {
	_, err := Parse([]byte("{"))
	for name, err := range map[string]error{"as it is": err, "wrapped": errors.Wrap(err, "state")} {
		t.Run(name, func(t *testing.T) {
			if !errors.Is(err, ErrInvalid) || !stderrors.Is(err, ErrInvalid) {
				t.Errorf("not of kind ErrInvalid: %v", err)
			}
			if found := new(InvalidError); !errors.As(err, &found) || found.Reason == "" {
				t.Errorf("not an InvalidError: %v", err)
			}
		})
	}
}
