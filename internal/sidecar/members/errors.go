package members

import "fmt"

// OptionError says which option is not valid, by the name of its setting, and why.
type OptionError struct {
	Setting string
	Err     error
}

func (e *OptionError) Error() string { return e.Setting + ": " + e.Err.Error() }

// Unwrap returns the reason.
func (e *OptionError) Unwrap() error { return e.Err }

// BoundsError says that a state was not published: its kind has to be less than MaxKinds, and its payload at most MaxPayloadBytes
// long.
type BoundsError struct {
	Kind  uint8
	Bytes int // of the payload
}

func (e *BoundsError) Error() string {
	return fmt.Sprintf("members: kind %d with %d bytes is over the bounds of %d and %d", e.Kind, e.Bytes, MaxKinds-1, MaxPayloadBytes)
}
