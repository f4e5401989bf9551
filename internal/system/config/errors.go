package config

import "github.com/cockroachdb/errors"

// ErrInvalid marks every error of Parse and Amend: the operator has to send something else. The error's text names the fault and
// the remedy and is the answer to the operator. Test with errors.Is of github.com/cockroachdb/errors, which sees marks.
var ErrInvalid = errors.New("invalid configuration")

// invalid returns an error of kind ErrInvalid.
func invalid(format string, args ...any) error {
	return errors.Mark(errors.NewWithDepthf(1, format, args...), ErrInvalid)
}
