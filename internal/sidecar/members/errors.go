package members

import "fmt"

// OptionError says which of the Options is not valid, and why.
type OptionError struct {
	Setting string // "name", "listen", "advertise", "join", "reach" or "bound" (TTL)
	Err     error
}

func (e *OptionError) Error() string { return e.Setting + ": " + e.Err.Error() }

// Unwrap returns the reason.
func (e *OptionError) Unwrap() error { return e.Err }

// BoundsError says that a state was not published, since its kind is not less than MaxKinds or its payload longer than MaxPayloadBytes.
type BoundsError struct {
	Kind  uint8
	Bytes int // of the payload
}

func (e *BoundsError) Error() string {
	return fmt.Sprintf("members: kind %d with %d bytes is over the bounds of %d and %d", e.Kind, e.Bytes, MaxKinds-1, MaxPayloadBytes)
}
