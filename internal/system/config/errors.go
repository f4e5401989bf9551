package config

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// ErrInvalid is what every error of Parse and Amend is by errors.Is: the operator has to send something else.
var ErrInvalid = errors.New("invalid configuration")

// InvalidError says why a body was refused.
type InvalidError struct {
	Reason string // the fault and the remedy, in one line; the answer to the operator
}

// Error returns the reason.
func (e *InvalidError) Error() string { return e.Reason }

// Is makes an InvalidError an ErrInvalid.
func (*InvalidError) Is(target error) bool { return target == ErrInvalid }

func invalid(format string, args ...any) error {
	return &InvalidError{Reason: fmt.Sprintf(format, args...)}
}
