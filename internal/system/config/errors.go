package config

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// ErrInvalid matches every error of Parse and Amend by errors.Is. The operator has to correct the request.
var ErrInvalid = errors.New("invalid configuration")

// InvalidError contains the reason why a body was rejected.
type InvalidError struct {
	Reason string // the fault and the remedy, in one line; sent to the operator
}

// Error returns the reason.
func (e *InvalidError) Error() string { return e.Reason }

// Is makes every InvalidError match ErrInvalid.
func (*InvalidError) Is(target error) bool { return target == ErrInvalid }

func invalid(format string, args ...any) error {
	return &InvalidError{Reason: fmt.Sprintf(format, args...)}
}
