package config

import "github.com/cockroachdb/errors"

// ErrInvalid marks every error of Parse and Amend: the operator has to send something else. Test with errors.Is of
// cockroachdb/errors, which sees marks.
var ErrInvalid = errors.New("invalid configuration")

func invalid(format string, args ...any) error {
	return errors.Mark(errors.NewWithDepthf(1, format, args...), ErrInvalid)
}
